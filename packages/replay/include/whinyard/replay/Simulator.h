// Runs a trace in virtual time under one strategy and counts what came of it.
//
// The strategy "whinyard" runs the code of the policy package that the router runs; the others are what could be run
// instead, or bounds that no router can reach. The report compares them.
#pragma once

#include "whinyard/replay/Trace.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace whinyard::replay {

enum class StrategyKind : std::uint8_t {
    alwaysStrong, // The strong version, endpoints by two random choices.
    alwaysCheap, // The cheap version, endpoints by two random choices.
    random, // Versions and endpoints at random.
    roundRobin, // Versions and endpoints in turn.
    twoChoices, // Versions at random, endpoints by two random choices.
    fixedCanary, // The strong version, a fixed share of sessions on the new one, endpoints by two random choices.
    knowingCost, // Knows quality, load and failures in advance: the cheapest version that reaches the target.
    knowingLatency, // Knows the same: the quality target where a first token comes in time, else the soonest one.
    whinyard,
    whinyardUnjudged, // The same without waiting for ratings before an answer is shown.
};

inline constexpr std::size_t strategyCount = static_cast<std::size_t>(StrategyKind::whinyardUnjudged) + 1;

// Returns the enumerator's name.
std::string_view toText(StrategyKind kind);

// What came of a run. While a customer is beyond its limit it is chance which of its requests pass, so its requests
// about such a time are counted apart, as contended, and stand in no other count but the totals of work. The other
// strategies refuse exactly what an exact limiter would refuse; the product has its own limits.
struct RunResult {
    std::uint64_t requests = 0; // All but the contended ones.
    std::uint64_t contended = 0;
    std::uint64_t contendedServed = 0;
    std::uint64_t answered = 0; // Wholly.
    std::uint64_t refused = 0; // Before anything was shown.
    std::uint64_t givenUp = 0; // The caller's patience ended before the first token.
    std::uint64_t cut = 0; // After something was shown, or with its instance.
    double cost = 0; // Of all work for `requests`.
    double qualitySum = 0; // Of wholly answered requests.
    std::uint64_t badShown = 0; // Answers below the bad mark that were shown.
    std::uint64_t exposed = 0; // Answers shown of a version after it had turned bad.
    std::uint64_t badVersionShown = 0; // Bad ones among these.
    std::uint64_t work = 0; // Tokens, prompt and completion, worked by all engines.
    std::uint64_t workRefused = 0; // Of these for requests that were refused or given up.
    std::uint64_t sessionsMoved = 0; // Times a session's answer came from another version than the one before.
    std::vector<std::chrono::microseconds> firstToken; // By request; the patience for one that was refused or given up.

    double costPerAnswer() const { return answered == 0 ? 0 : cost / static_cast<double>(answered); }
    double quality() const { return answered == 0 ? 0 : qualitySum / static_cast<double>(answered); }
    double refusedWorkShare() const { return work == 0 ? 0 : static_cast<double>(workRefused) / static_cast<double>(work); }

    // The time to the first token below which `percent` of the requests lie.
    std::chrono::microseconds firstTokenPercentile(double percent) const;
};

// Runs the trace. The same trace, strategy and seed give the same result.
RunResult runStrategy(const Trace& trace, StrategyKind kind, std::uint64_t seed);

}
