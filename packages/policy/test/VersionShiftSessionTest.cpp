// Sessions under orders of one service that follow each other, by whole fleets on a virtual clock.
#include "whinyard/policy/SessionFleet.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;
    using testing::SessionFleet;
    using testing::SessionLoad;

    constexpr int seeds = 20;

    // Requests of a session that may change their version in a day.
    constexpr std::size_t mostChanges = 3;

    SessionLoad smallSite()
    {
        SessionLoad load;
        load.settings.exposureShare = 0.15;
        load.settings.exposureSlack = 30;
        return load;
    }

    SessionLoad largeSite()
    {
        SessionLoad load = smallSite();
        load.instances = 82;
        load.requestsPerSecond = 160;
        load.settings.exposureShare = 0.0975;
        return load;
    }

    // Returns how many seeds have more changes than are allowed.
    int seedsOverBound(SessionLoad load)
    {
        int over = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            load.seed = static_cast<std::uint64_t>(seed);
            SessionFleet fleet(load);
            fleet.run();
            over += fleet.violations > mostChanges ? 1 : 0;
        }
        return over;
    }

    SessionLoad withSecondOrder(SessionLoad load)
    {
        load.orders.resize(2);
        load.orders[1].at = load.orders[0].at + load.orders[0].period + 300ms;
        return load;
    }

    TEST(VersionShiftSessionTest, KeepsSessionsOnTheirVersionUnderOneOrder)
    {
        EXPECT_EQ(seedsOverBound(smallSite()), 0);
    }

    // Guards against sessions that ran on a version until a completed order ended it, and that meet the next order within their gap:
    // neither of the versions that are left is theirs.
    TEST(VersionShiftSessionTest, KeepsSessionsOnTheirVersionWhereAnOrderFollowsAnother)
    {
        EXPECT_EQ(seedsOverBound(withSecondOrder(smallSite())), 0) << "small site";
        EXPECT_EQ(seedsOverBound(withSecondOrder(largeSite())), 0) << "large site";
    }

}
}
