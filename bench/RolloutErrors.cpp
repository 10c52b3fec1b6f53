// Prints both errors of the verdict on a roll-out as rates: bad versions that are completed, and sound ones that are rolled back, by
// kind of fault, number of endpoints, rate of requests and number of instances, with and without endpoints that end.
//
// Whole fleets on a virtual clock (whinyard/policy/ShiftFleet.h); run it by hand: RolloutErrors [SEEDS [INSTANCES...]].
#include "whinyard/policy/ShiftFleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using whinyard::policy::ShiftState;
using whinyard::policy::testing::ShiftFleet;
using whinyard::policy::testing::ShiftLoad;
using whinyard::policy::testing::ShiftRequest;

constexpr double badShare = 0.5; // Of the requests of a bad version.
constexpr std::chrono::milliseconds turnsBadAt { 8'000 };
constexpr std::chrono::milliseconds patience { 400 }; // Of callers: below the time of a slow answer.
constexpr std::chrono::milliseconds shortPatience { 80 }; // Below that of many sound ones.

struct Fault {
    const char* name;
    bool isBad; // The version; otherwise what happens beside a sound one.
    void (*apply)(ShiftLoad&);
};

const Fault faults[] = {
    { "errors", true, [](ShiftLoad& load) { load.targetFailure = [](const ShiftRequest&) { return badShare; }; } },
    { "slow", true, [](ShiftLoad& load) { load.targetSlowness = [](const ShiftRequest&) { return badShare; }; } },
    { "under load", true, [](ShiftLoad& load) { load.targetFailure = [slots = load.slots](const ShiftRequest& request) { return 2 * request.running >= slots ? badShare : 0; }; } },
    { "one kind", true, [](ShiftLoad& load) { load.targetFailure = [](const ShiftRequest& request) { return request.kind == 1 ? badShare : 0; }; } },
    { "late", true, [](ShiftLoad& load) { load.targetFailure = [](const ShiftRequest& request) { return request.at >= turnsBadAt ? badShare : 0; }; } },
    { "calm", false, [](ShiftLoad&) {} },
    { "failing endpoint", false, [](ShiftLoad& load) { load.targetFailure = [](const ShiftRequest& request) { return request.endpoint == 1 && request.at >= 8s && request.at < 13s ? 0.4 : 0; }; } },
    { "failing in move", false, [](ShiftLoad& load) { load.targetFailure = [](const ShiftRequest& request) { return request.endpoint == 1 && request.at >= 16s ? 0.4 : 0; }; } },
    { "slow endpoint", false, [](ShiftLoad& load) { load.targetSlowness = [](const ShiftRequest& request) { return request.endpoint == 1 && request.at >= 8s && request.at < 13s ? 0.9 : 0; }; } },
    { "slow, given up", true, [](ShiftLoad& load) { load.targetSlowness = [](const ShiftRequest&) { return badShare; }; load.patience = patience; } },
    { "calm, given up", false, [](ShiftLoad& load) { load.patience = patience; } },
    { "calm, soon given up", false, [](ShiftLoad& load) { load.patience = shortPatience; } },
    { "wave at all", false, [](ShiftLoad& load) { load.anyFailure = [](const ShiftRequest& request) { return request.at >= 9s && request.at < 11s ? 0.33 : 0; }; } },
};

// Which endpoints end, of both versions alike.
struct Ends {
    const char* name;
    std::size_t (*left)(std::size_t endpoints);
};

const Ends endings[] = {
    { "none", [](std::size_t endpoints) { return endpoints; } },
    { "half", [](std::size_t endpoints) { return (endpoints + 1) / 2; } },
    { "all but one", [](std::size_t) { return std::size_t { 1 }; } },
};

constexpr std::chrono::milliseconds endAt { 5'000 };

// A service of plain requests, before so many instances.
ShiftLoad loadOf(std::size_t instances, double requestsPerSecond, std::size_t endpoints, std::size_t left)
{
    ShiftLoad load;
    load.instances = instances;
    load.requestsPerSecond = requestsPerSecond;
    load.endpoints = endpoints;
    load.period = 20s;
    load.slowFactor = 8;
    load.settings.exposureShare = instances >= 30 ? 0.0975 : 0.15;
    load.settings.exposureSlack = 30;
    if (left < endpoints) {
        load.endOf = [left](bool, std::size_t endpoint) -> std::optional<std::chrono::milliseconds> {
            return endpoint < left ? std::nullopt : std::optional(endAt + 100ms * static_cast<int>(endpoint));
        };
    }
    return load;
}

}

int main(int argc, char** argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 40;
    std::vector<std::size_t> sizes;
    for (int i = 2; i < argc; ++i)
        sizes.push_back(static_cast<std::size_t>(std::atoi(argv[i])));
    if (sizes.empty())
        sizes = { 9 };
    std::printf("%-20s %9s %6s %9s %-12s %6s %9s %9s %9s\n", "fault", "instances", "rate", "endpoints", "end", "wrong", "late", "exposed", "allowed");
    for (const std::size_t instances : sizes) {
        for (const Fault& fault : faults) {
            int wrongOfFault = 0;
            int playsOfFault = 0;
            for (const double rate : { 3.0, 10.0, 34.0 }) {
                for (const std::size_t endpoints : { std::size_t { 1 }, std::size_t { 2 }, std::size_t { 4 }, std::size_t { 12 } }) {
                    for (const Ends& ends : endings) {
                        const std::size_t left = ends.left(endpoints);
                        if (std::any_of(std::begin(endings), &ends, [&](const Ends& earlier) { return earlier.left(endpoints) == left; }))
                            continue;
                        int wrong = 0;
                        int late = 0;
                        double exposed = 0;
                        double allowed = 0;
                        for (int seed = 1; seed <= seeds; ++seed) {
                            ShiftLoad load = loadOf(instances, rate, endpoints, left);
                            fault.apply(load);
                            load.seed = static_cast<std::uint64_t>(seed);
                            ShiftFleet fleet(load);
                            fleet.run();
                            wrong += fleet.state == (fault.isBad ? ShiftState::completed : ShiftState::rolledBack) ? 1 : 0;
                            late += fleet.state == ShiftState::running ? 1 : 0;
                            exposed += static_cast<double>(fleet.exposed);
                            allowed += load.settings.exposureShare * static_cast<double>(fleet.requests) + load.settings.exposureSlack;
                        }
                        wrongOfFault += wrong;
                        playsOfFault += seeds;
                        std::printf("%-20s %9zu %6.0f %9zu %-12s %6d %9d %9.1f %9.1f\n", fault.name, instances, rate, endpoints, ends.name, wrong, late, exposed / seeds, allowed / seeds);
                    }
                }
            }
            std::printf("%-20s %9zu %s: %d of %d\n", fault.name, instances, fault.isBad ? "bad and completed" : "sound and rolled back", wrongOfFault, playsOfFault);
            std::fflush(stdout);
        }
    }
    return 0;
}
