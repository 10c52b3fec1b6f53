#include "whinyard/peer/RosterList.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    RosterList withEndpoints(int count)
    {
        RosterList list { { "entry-1" }, 11, 80, 95, {}, { { "i-gone" } } };
        for (int i = 0; i < count; ++i) {
            backing::ListedEndpoint endpoint;
            endpoint.name.value = "i-" + std::to_string(i * 7919);
            endpoint.address = { "10.1.64." + std::to_string(i % 250), 8'300 };
            endpoint.zone.value = "zone-" + std::to_string(i % 6);
            endpoint.service.value = "lm";
            endpoint.versions = { { "v1" } };
            endpoint.slots = 24;
            endpoint.leaving = i % 7 == 0;
            endpoint.born = 1'785'000'000'000U + static_cast<std::uint64_t>(i);
            list.endpoints.push_back(endpoint);
        }
        return list;
    }

    TEST(RosterListTest, ComesBackAsItWas)
    {
        Failure failure;
        for (const int count : { 0, 1, 1'700 }) {
            const RosterList list = withEndpoints(count);
            const std::optional<RosterList> read = decodeRoster(encodeRoster(list), failure);
            ASSERT_TRUE(read) << failure.reason;
            EXPECT_EQ(*read, list);
        }
    }

    TEST(RosterListTest, TakesLittleOfALink)
    {
        EXPECT_LT(encodeRoster(withEndpoints(330)).size(), 12'000U) << "300 instances read it at once where many endpoints change";
    }

    TEST(RosterListTest, RefusesAnyOtherBytes)
    {
        const std::string good = encodeRoster(withEndpoints(30));
        Random random(3);
        Failure failure;
        EXPECT_FALSE(decodeRoster("", failure));
        for (int trial = 0; trial < 2'000; ++trial) {
            EXPECT_FALSE(decodeRoster(good.substr(0, below(random, good.size())), failure));
            std::string bytes = good;
            bytes[below(random, bytes.size())] ^= static_cast<char>(1 + below(random, 255));
            decodeRoster(bytes, failure);
        }
    }

}
}
