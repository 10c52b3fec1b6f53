// Both errors of the verdict on a roll-out where little is known: few requests, few endpoints, endpoints that end. Whole fleets on a
// virtual clock.
#include "whinyard/policy/ShiftFleet.h"

#include <gtest/gtest.h>

#include <optional>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;
    using testing::ShiftFleet;
    using testing::ShiftLoad;
    using testing::ShiftRequest;

    constexpr int seeds = 40;

    // The aims: of sound versions one in 20 at most is rolled back, and of bad ones one in 20 at most is completed. Of a version that is
    // bad at a kind of request that fails by itself, and is rarely asked for, some ten bad answers show: one in five is missed at most.
    constexpr int mostWrong = seeds / 20;
    constexpr int mostMissed = seeds / 5;

    ShiftLoad plainService(std::size_t instances = 9, double requestsPerSecond = 34)
    {
        ShiftLoad load;
        load.instances = instances;
        load.requestsPerSecond = requestsPerSecond;
        load.period = 20s;
        load.slowFactor = 8;
        load.settings.exposureShare = 0.15;
        load.settings.exposureSlack = 30;
        return load;
    }

    // All endpoints of both versions but so many end.
    void leave(ShiftLoad& load, std::size_t left)
    {
        load.endOf = [left](bool, std::size_t endpoint) -> std::optional<std::chrono::milliseconds> {
            return endpoint < left ? std::nullopt : std::optional(5s + 100ms * static_cast<int>(endpoint));
        };
    }

    int verdictsOf(ShiftLoad load, ShiftState state)
    {
        int count = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            load.seed = static_cast<std::uint64_t>(seed);
            ShiftFleet fleet(load);
            fleet.run();
            count += fleet.state == state ? 1 : 0;
        }
        return count;
    }

    // Guards against a bad version that is completed because nearly all of its answers come from one endpoint.
    TEST(VersionShiftVerdictTest, RollsAVersionBackOfWhichOneEndpointIsLeft)
    {
        ShiftLoad load = plainService();
        load.targetFailure = [](const ShiftRequest& request) { return request.at >= 8s ? 0.5 : 0; };
        leave(load, 1);
        EXPECT_LE(verdictsOf(load, ShiftState::completed), mostWrong);
        leave(load, 2);
        EXPECT_LE(verdictsOf(load, ShiftState::completed), mostWrong);
    }

    // Guards against a slow version that is completed because each instance compares only what it has seen itself.
    TEST(VersionShiftVerdictTest, RollsASlowVersionBack)
    {
        for (const std::size_t instances : { 9, 30, 100 }) {
            ShiftLoad load = plainService(instances);
            load.targetSlowness = [](const ShiftRequest&) { return 0.5; };
            EXPECT_LE(verdictsOf(load, ShiftState::completed), mostWrong) << instances;
        }
    }

    // Guards against a slow version that is completed because its callers give up before its slow answers come.
    TEST(VersionShiftVerdictTest, RollsASlowVersionBackWhoseCallersGiveUp)
    {
        for (const std::size_t instances : { 9, 30, 100 }) {
            ShiftLoad load = plainService(instances);
            load.targetSlowness = [](const ShiftRequest&) { return 0.5; };
            load.patience = 400ms;
            EXPECT_LE(verdictsOf(load, ShiftState::completed), mostWrong) << instances;
        }
    }

    // Guards against a sound version that is rolled back since callers give up on both versions alike.
    TEST(VersionShiftVerdictTest, CompletesASoundVersionWhoseCallersGiveUp)
    {
        for (const std::size_t instances : { 9, 30, 100 }) {
            ShiftLoad load = plainService(instances);
            load.patience = 80ms;
            EXPECT_LE(verdictsOf(load, ShiftState::rolledBack), mostWrong) << instances;
        }
    }

    // Guards against what few answers of the other versions seem to allow.
    TEST(VersionShiftVerdictTest, RollsAVersionBackOfAServiceOfFewRequests)
    {
        ShiftLoad load = plainService(9, 10);
        load.targetFailure = [](const ShiftRequest&) { return 0.5; };
        EXPECT_LE(verdictsOf(load, ShiftState::completed), mostWrong);
        leave(load, 1);
        EXPECT_LE(verdictsOf(load, ShiftState::completed), mostWrong);
    }

    // Guards against a kind that fails by itself and hides that the new version fails at it far more often.
    TEST(VersionShiftVerdictTest, RollsAVersionBackThatFailsAtARareKind)
    {
        ShiftLoad load = plainService();
        load.targetFailure = [](const ShiftRequest& request) { return request.kind == 1 ? 0.5 : 0; };
        EXPECT_LE(verdictsOf(load, ShiftState::completed), mostMissed);
    }

    // Guards against a sound version that is rolled back for one endpoint that is bad by itself.
    TEST(VersionShiftVerdictTest, CompletesASoundVersionBesideAnEndpointThatIsSlow)
    {
        ShiftLoad load = plainService();
        load.targetSlowness = [](const ShiftRequest& request) { return request.endpoint == 1 && request.at >= 8s && request.at < 13s ? 0.9 : 0; };
        EXPECT_LE(verdictsOf(load, ShiftState::rolledBack), mostWrong);
    }

    TEST(VersionShiftVerdictTest, CompletesASoundVersionWhateverItsLoadAndEndpoints)
    {
        for (const double rate : { 3.0, 10.0, 34.0 }) {
            for (const std::size_t left : { std::size_t { 1 }, std::size_t { 2 }, std::size_t { 4 } }) {
                ShiftLoad load = plainService(9, rate);
                leave(load, left);
                EXPECT_LE(verdictsOf(load, ShiftState::rolledBack), mostWrong) << rate << ", " << left;
            }
        }
    }

}
}
