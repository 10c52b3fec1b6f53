// What an instance hears of others' work as the fleet grows: a constant times its own.
#include "whinyard/peer/DrawnPeers.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinyard::peer {
namespace {

    TEST(DrawnPeersTest, NamesAllInstancesOfASmallFleet)
    {
        Random random(1);
        EXPECT_EQ(drawnPeers(3, 96, random), (std::vector<std::size_t> { 0, 1, 2 }));
        EXPECT_TRUE(drawnPeers(0, 96, random).empty());
    }

    TEST(DrawnPeersTest, TellsEachInstanceAsMuchInAnyFleet)
    {
        constexpr std::size_t most = 96;
        constexpr std::size_t notices = 50; // Of each instance.
        Random random(2);
        for (const std::size_t instances : { 100, 300, 985, 2'000 }) {
            std::vector<std::size_t> heard(instances, 0);
            for (std::size_t notice = 0; notice < notices * instances; ++notice) {
                for (const std::size_t peer : drawnPeers(instances, most, random))
                    ++heard[peer];
            }
            const auto [least, greatest] = std::minmax_element(heard.begin(), heard.end());
            EXPECT_GT(*least, notices * most * 8 / 10) << instances;
            EXPECT_LT(*greatest, notices * most * 12 / 10) << instances;
        }
    }

}
}
