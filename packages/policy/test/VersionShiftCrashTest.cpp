// Verdicts on sound versions beside endpoints of both versions that end, by whole fleets on a virtual clock.
#include "whinyard/policy/KeeperFleet.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;
    using testing::KeeperFleet;
    using testing::KeeperLoad;

    constexpr int seeds = 40;
    constexpr int mostWrong = seeds / 20; // Of sound versions, one in 20 at most is rolled back.

    int rolledBack(std::chrono::milliseconds endsFrom, double endingShare, std::chrono::milliseconds workTime)
    {
        int count = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            KeeperLoad load;
            load.period = 24s;
            load.settings.exposureSlack = 30;
            load.workTime = workTime;
            load.endingShare = endingShare;
            load.endsFrom = endsFrom;
            load.seed = static_cast<std::uint64_t>(seed);
            KeeperFleet fleet(load);
            fleet.run();
            count += fleet.state == ShiftState::rolledBack ? 1 : 0;
        }
        return count;
    }

    TEST(VersionShiftCrashTest, CompletesASoundVersionWhereEndpointsOfBothEndBetweenBursts)
    {
        EXPECT_LE(rolledBack(13'200ms, 1, 500ms), mostWrong);
        EXPECT_LE(rolledBack(13'200ms, 0.5, 2s), mostWrong);
    }

    // Guards against a sound version that is rolled back for endpoints that end while a burst of its trial brings it all requests.
    TEST(VersionShiftCrashTest, CompletesASoundVersionWhereEndpointsOfBothEndInABurst)
    {
        EXPECT_LE(rolledBack(9'120ms, 1, 500ms), mostWrong);
        EXPECT_LE(rolledBack(15s, 1, 500ms), mostWrong);
        EXPECT_LE(rolledBack(9'120ms, 0.5, 2s), mostWrong);
    }

}
}
