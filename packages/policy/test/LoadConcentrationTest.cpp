#include "whinyard/policy/LoadConcentration.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

namespace whinyard::policy {
namespace {

    constexpr std::uint32_t slots = 6;

    std::vector<PooledEndpoint> endpoints(std::size_t count)
    {
        std::vector<PooledEndpoint> list;
        for (std::size_t i = 0; i < count; ++i)
            list.push_back({ { "e" + std::to_string(i) }, { "z" }, slots });
        return list;
    }

    TEST(LoadConcentrationTest, BringsASmallLoadToOneEndpoint)
    {
        EXPECT_EQ(concentratedEndpoints({ .draw = 1, .requests = 2 }, endpoints(4)).size(), 1U);
    }

    // Guards against an endpoint that gets more than it has slots for.
    TEST(LoadConcentrationTest, KeepsWithinTheSlotsOfTheEndpoints)
    {
        for (const double requests : { 1.0, 4.0, 5.0, 9.6, 20.0, 40.0 }) {
            const std::size_t count = concentratedEndpoints({ .draw = 1, .requests = requests }, endpoints(30)).size();
            EXPECT_LT(requests, static_cast<double>(count * slots)) << requests;
        }
    }

    // Guards against a verdict on a version by one of its endpoints, which some bursts that meet the same one would be.
    TEST(LoadConcentrationTest, MeetsEachEndpointOnceBeforeAnyAgain)
    {
        for (std::uint64_t draw = 1; draw <= 20; ++draw) {
            std::set<std::string> named;
            for (std::uint64_t turn = 0; turn < 12; ++turn)
                named.insert(concentratedEndpoints({ .draw = draw, .turn = turn, .requests = 2 }, endpoints(12)).front().value);
            EXPECT_EQ(named.size(), 12U);
        }
    }

    TEST(LoadConcentrationTest, BeginsElsewhereForAnotherDraw)
    {
        std::set<std::string> named;
        for (std::uint64_t draw = 1; draw <= 20; ++draw)
            named.insert(concentratedEndpoints({ .draw = draw, .requests = 2 }, endpoints(3)).front().value);
        EXPECT_EQ(named.size(), 3U);
    }

    TEST(LoadConcentrationTest, NamesTheSameWhateverTheirOrder)
    {
        std::vector<PooledEndpoint> list = endpoints(8);
        const std::vector<EndpointName> named = concentratedEndpoints({ .draw = 7, .requests = 9 }, list);
        std::reverse(list.begin(), list.end());
        EXPECT_EQ(concentratedEndpoints({ .draw = 7, .requests = 9 }, list), named);
    }

    TEST(LoadConcentrationTest, NamesNoneWhereAllAreNeeded)
    {
        EXPECT_TRUE(concentratedEndpoints({ .draw = 1, .requests = 12 }, endpoints(2)).empty());
        EXPECT_TRUE(concentratedEndpoints({ .draw = 1, .requests = 1 }, endpoints(1)).empty());
        EXPECT_TRUE(concentratedEndpoints({ .draw = 1, .requests = 1 }, {}).empty());
    }

    TEST(LoadConcentrationTest, NamesNoneWhereSlotsAreUnknown)
    {
        EXPECT_TRUE(concentratedEndpoints({ .draw = 1, .requests = 1 }, { { { "e0" }, {}, 0 }, { { "e1" }, {}, 0 } }).empty());
    }

}
}
