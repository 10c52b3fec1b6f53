// Compares the strategies on one trace or over many seeds, as ratios, and checks them against stated outcomes.
//
// The command prints it; CI checks the outcomes beside the sample traces.
#pragma once

#include "whinyard/replay/Simulator.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::replay {

// What is measured of the product, each as one number that should be low.
enum class MeasureKind : std::uint8_t {
    costRatio, // Cost of an answer, to that of alwaysStrong.
    qualityLoss, // Mean quality below that of alwaysStrong.
    firstTokenToBound, // 95th percentile of the first token, to that of knowingLatency.
    firstTokenToBaselines, // The same, to the lowest of all baselines.
    exposureRatio, // Bad answers shown of a version that turned bad, to those of fixedCanary.
    refusedWork, // Share of the work that was done for refused requests.
};

inline constexpr std::size_t measureCount = static_cast<std::size_t>(MeasureKind::refusedWork) + 1;

std::string_view toText(MeasureKind kind);

// What each measure should be at most.
double aimOf(MeasureKind kind);

// The results of all strategies on one trace.
struct Comparison {
    std::string trace;
    std::uint64_t seed = 0;
    std::array<RunResult, strategyCount> results;

    const RunResult& of(StrategyKind kind) const { return results[static_cast<std::size_t>(kind)]; }

    // Nothing where the trace can't tell, for example exposure without a version that turns bad.
    std::optional<double> measure(MeasureKind kind, StrategyKind subject = StrategyKind::whinyard) const;
};

Comparison compare(const Trace& trace, std::uint64_t seed);

// The spread of a measure over comparisons.
struct Spread {
    double median = 0;
    double lowest = 0;
    double highest = 0;
    std::size_t count = 0;
};

std::optional<Spread> spreadOf(const std::vector<Comparison>& comparisons, MeasureKind kind, StrategyKind subject);

// Renders one comparison as a table, a line a strategy, and the measures beside their aims.
std::string render(const Comparison& comparison);

// Renders the spread of all measures.
std::string renderSpread(const std::vector<Comparison>& comparisons);

// What is stated of a measure beside a trace.
struct StatedOutcome {
    MeasureKind measure = MeasureKind::costRatio;
    double atMost = 0;
    std::string note; // Where it misses its aim: why.
};

// Reads the outcomes stated beside a trace: {"measures": [{"name", "atMost", "note"}]}.
std::optional<std::vector<StatedOutcome>> parseOutcomes(std::string_view json, Failure& failure);

// Returns a line for each stated outcome that the comparison doesn't reach.
std::vector<std::string> missedOutcomes(const Comparison& comparison, const std::vector<StatedOutcome>& outcomes);

}
