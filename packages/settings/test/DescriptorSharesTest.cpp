#include "whinyard/settings/DescriptorShares.h"

#include <gtest/gtest.h>

#include <sys/resource.h>

namespace whinyard::settings {
namespace {

    // Guards against a use that takes the descriptors of all others: the parts of all uses are within the limit, and none is empty.
    TEST(DescriptorSharesTest, LeavesSomeForEachUse)
    {
        for (std::size_t limit = 100; limit <= 8'000; limit = limit * 5 / 4) {
            Failure failure;
            const auto shares = shareDescriptors(limit, 0, failure);
            ASSERT_TRUE(shares) << limit << ": " << failure.reason;
            EXPECT_LT(shares->descriptors(), limit);
            for (const std::size_t share : { shares->callers, shares->endpoints, shares->probes, shares->relayed, shares->store, shares->instancesRead, shares->instancesAnswered, shares->readiness, shares->metrics })
                EXPECT_GT(share, 0U) << limit;
            EXPECT_LE(shares->callers, shares->endpoints) << "each request takes one of both";
        }
    }

    // Guards against a daemon that starts and can't serve.
    TEST(DescriptorSharesTest, RefusesALimitThatIsTooSmallForEachUse)
    {
        Failure failure;
        EXPECT_FALSE(shareDescriptors(60, 0, failure));
        EXPECT_EQ(failure.kind, ErrorKind::invalidSettings);
        const std::size_t least = std::stoul(failure.reason.substr(failure.reason.find("at least ") + 9));
        EXPECT_FALSE(shareDescriptors(least - 1, 0, failure));
        EXPECT_TRUE(shareDescriptors(least, 0, failure)) << failure.reason;
    }

    // Guards against settings that allow more than the system does.
    TEST(DescriptorSharesTest, KeepsToTheLimitOfTheSystem)
    {
        rlimit before {};
        ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
        rlimit small = before;
        small.rlim_cur = 300;
        ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &small), 0);
        Failure failure;
        for (const std::size_t stated : { std::size_t { 0 }, std::size_t { 3'900 } }) {
            const auto shares = shareDescriptors(stated, 0, failure);
            ASSERT_TRUE(shares) << failure.reason;
            EXPECT_LT(shares->descriptors(), 300U);
        }
        setrlimit(RLIMIT_NOFILE, &before);
    }

    // Guards against callers whose connections fill the memory before the descriptors: the process would end with all requests under way.
    TEST(DescriptorSharesTest, TakesNoMoreCallersThanTheMemoryBears)
    {
        Failure failure;
        const auto unbounded = shareDescriptors(3'900, 0, failure);
        const auto small = shareDescriptors(3'900, 32, failure);
        const auto large = shareDescriptors(3'900, 4'096, failure);
        ASSERT_TRUE(unbounded && small && large);
        EXPECT_LT(small->callers, unbounded->callers);
        EXPECT_EQ(large->callers, unbounded->callers);
        EXPECT_EQ(small->endpoints, unbounded->endpoints);
    }

}
}
