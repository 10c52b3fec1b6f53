#include "whinyard/policy/LinkUse.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    constexpr double bytesPerSecond = 1'000'000;

    TEST(LinkUseTest, TellsTheShareOfTheFullerDirection)
    {
        LinkUse use(bytesPerSecond);
        SteadyTime now { 1h };
        LinkBytes bytes;
        for (int i = 0; i < 20; ++i, now += 50ms, bytes.received += 45'000, bytes.sent += 10'000)
            use.note(bytes, now);
        EXPECT_NEAR(use.share(), 0.9, 0.01);
        for (int i = 0; i < 20; ++i, now += 50ms)
            use.note(bytes, now);
        EXPECT_LT(use.share(), 0.01);
    }

    // Guards against a burst of a few milliseconds that is taken for a full link.
    TEST(LinkUseTest, TellsWhatABurstUsesOfATenthOfASecond)
    {
        LinkUse use(bytesPerSecond);
        const SteadyTime now { 1h };
        use.note({}, now);
        use.note({ 10'000, 10'000 }, now + 1ms);
        EXPECT_NEAR(use.share(), 0.1, 0.01);
    }

    TEST(LinkUseTest, TellsNothingOfALinkThatIsUnknown)
    {
        LinkUse use;
        use.note({}, SteadyTime(1h));
        use.note({ 1'000'000, 1'000'000 }, SteadyTime(1h + 1ms));
        EXPECT_EQ(use.share(), 0);
    }

}
}
