#include "whinyard/policy/RepeatFleet.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    // What may be used of the bound: the rest is for what no instance sees, such as the time that a request takes on its way.
    constexpr double mostUsed = 0.95;

    struct Size {
        std::size_t instances;
        double requestsPerSecond;
    };

    // Names the tests.
    void PrintTo(const Size& size, std::ostream* out)
    {
        *out << size.instances << "x" << size.requestsPerSecond;
    }

    class RepeatFleetTest : public testing::TestWithParam<Size> {
    protected:
        // Returns the largest margin of some seeds.
        static double margin(const std::vector<PlannedDisturbance>& plan, double rejectedShare = 0.8)
        {
            double most = 0;
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                RepeatFleet fleet({ .instances = GetParam().instances, .requestsPerSecond = GetParam().requestsPerSecond, .rejectedShare = rejectedShare, .seed = seed });
                for (const PlannedDisturbance& disturbance : plan)
                    fleet.plan(disturbance);
                most = std::max(most, fleet.run());
            }
            return most;
        }

        static constexpr PlannedDisturbance rejecting(std::chrono::milliseconds from) { return { .kind = Disturbance::reject, .at = from, .duration = 40s }; }
    };

    // Guards against budgets of several lives that add up: five lives of an instance took five parts of the slack in ten seconds.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereAllRestartInSeries)
    {
        std::vector<PlannedDisturbance> plan { rejecting(200ms) };
        for (int i = 1; i <= 5; ++i)
            plan.push_back({ .kind = Disturbance::restart, .at = i * 2s, .duration = 300ms });
        EXPECT_LE(margin(plan), mostUsed);
    }

    // Guards against a start that forgets what the life before spent: saved repeats were made at once, and earned anew after it.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereAllRestartAfterABurstOfRepeats)
    {
        EXPECT_LE(margin({ { .kind = Disturbance::breakOff, .at = 20s }, { .kind = Disturbance::restart, .at = 20'500ms, .duration = 300ms }, rejecting(21s) }), mostUsed);
    }

    // Guards against repeats that are earned twice, by an instance that vanishes and by those that get its callers.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereHalfVanishAfterABurstOfRepeats)
    {
        EXPECT_LE(margin({ { .kind = Disturbance::breakOff, .at = 20s }, { .kind = Disturbance::vanish, .at = 20'500ms, .share = 0.5 }, rejecting(21s) }), mostUsed);
    }

    // Guards against requests that count when they are read: those that waited while all stood still earned for a window that began later.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereAllStandStill)
    {
        for (const std::chrono::milliseconds duration : { 1'000ms, 1'500ms, 2'500ms, 4'000ms })
            EXPECT_LE(margin({ rejecting(200ms), { .kind = Disturbance::freeze, .at = 13s, .duration = duration } }), mostUsed) << duration.count() << " ms";
    }

    TEST_P(RepeatFleetTest, KeepsTheBoundWhereAllStandStillTwice)
    {
        EXPECT_LE(margin({ rejecting(200ms), { .kind = Disturbance::freeze, .at = 13s, .duration = 2'500ms }, { .kind = Disturbance::freeze, .at = 19s, .duration = 2'500ms } }), mostUsed);
    }

    // Guards against the same where instances are behind for long, and read each request some time after it was sent.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereAllFallBehind)
    {
        for (const std::chrono::milliseconds delay : { 200ms, 500ms, 1'000ms })
            EXPECT_LE(margin({ rejecting(200ms), { .kind = Disturbance::lag, .at = 13s, .duration = 12s, .delay = delay } }), mostUsed) << delay.count() << " ms";
    }

    // Guards against repeats that are granted in one window and sent in the next.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereRepeatsWaitBeforeTheyAreSent)
    {
        EXPECT_LE(margin({ rejecting(12s), { .kind = Disturbance::wait, .at = 12s, .duration = 2s, .delay = 9s } }), mostUsed);
    }

    // Guards against a window that is shorter than the bound's: what was spent in half a second was spent again 9.1 s later.
    TEST_P(RepeatFleetTest, KeepsTheBoundWhereAnswersBreakOffTwiceWithinAWindow)
    {
        EXPECT_LE(margin({ { .kind = Disturbance::breakOff, .at = 20'900ms }, { .kind = Disturbance::breakOff, .at = 30'050ms } }), mostUsed);
    }

    // Guards against a budget that keeps the bound by being of little use.
    TEST_P(RepeatFleetTest, UsesMostOfTheBoundWhereNothingElseHappens)
    {
        EXPECT_GE(margin({ rejecting(200ms) }), 0.75);
    }

    // A random walk over all disturbances, several of them at a time.
    TEST_P(RepeatFleetTest, KeepsTheBoundInARandomWalk)
    {
        constexpr std::uint64_t walks = 12;
        for (std::uint64_t seed = 1; seed <= walks; ++seed) {
            Random random(seed);
            RepeatFleet fleet({ .instances = GetParam().instances, .requestsPerSecond = GetParam().requestsPerSecond, .rejectedShare = 0.5 + 0.5 * uniform(random), .seed = seed });
            fleet.plan({ .kind = Disturbance::reject, .at = std::chrono::milliseconds(10 * below(random, 1'500)), .duration = 40s });
            for (int i = 0; i < 8; ++i) {
                constexpr std::array kinds { Disturbance::restart, Disturbance::restart, Disturbance::freeze, Disturbance::freeze, Disturbance::lag, Disturbance::breakOff, Disturbance::wait, Disturbance::surge };
                PlannedDisturbance next { .kind = kinds[below(random, kinds.size())], .at = std::chrono::milliseconds(10 * below(random, 3'500)) };
                next.share = uniform(random) < 0.5 ? 1 : uniform(random);
                next.duration = std::chrono::milliseconds(300 + 10 * below(random, 300));
                next.delay = std::chrono::milliseconds(100 + 10 * below(random, 90));
                next.factor = 0.3 + 2 * uniform(random);
                fleet.plan(next);
            }
            EXPECT_LE(fleet.run(), mostUsed) << "seed " << seed;
        }
    }

    INSTANTIATE_TEST_SUITE_P(Sizes, RepeatFleetTest, testing::Values(Size { 6, 90 }, Size { 6, 15 }, Size { 30, 450 }, Size { 360, 1'800 }));

}

}
