#include "whinyard/replay/Report.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdarg>
#include <cstdio>

namespace whinyard::replay {

namespace {

    constexpr std::array<std::string_view, measureCount> measureNames { "costRatio", "qualityLoss", "firstTokenToBound", "firstTokenToBaselines", "exposureRatio", "refusedWork" };
    constexpr std::array<double, measureCount> aims { 0.5, 0.01, 1.3, 1.0, 0.2, 0.01 };
    constexpr std::array baselines { StrategyKind::alwaysStrong, StrategyKind::alwaysCheap, StrategyKind::random, StrategyKind::roundRobin, StrategyKind::twoChoices, StrategyKind::fixedCanary };
    constexpr std::array products { StrategyKind::whinyard, StrategyKind::whinyardUnjudged };
    constexpr double highPercentile = 95;

    __attribute__((format(printf, 1, 2))) std::string formatted(const char* format, ...)
    {
        char text[256];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        return text;
    }

    double latency(const RunResult& result) { return static_cast<double>(result.firstTokenPercentile(highPercentile).count()); }

    std::optional<double> ratio(double value, double base)
    {
        if (base <= 0)
            return std::nullopt;
        return value / base;
    }

    double milliseconds(const RunResult& result, double percent) { return static_cast<double>(result.firstTokenPercentile(percent).count()) / 1'000; }

    std::string line(StrategyKind kind, const RunResult& result)
    {
        const std::string name(toText(kind));
        return formatted("%-17s %6lu %6lu %6lu %5lu %8.3f %7.4f %7.0f %7.0f %7.0f %6lu %7lu %8.4f%%\n", name.c_str(), result.answered, result.refused + result.givenUp, result.cut, result.sessionsMoved, result.costPerAnswer(), result.quality(),
            milliseconds(result, 50), milliseconds(result, highPercentile), milliseconds(result, 99), result.badShown, result.badVersionShown, 100 * result.refusedWorkShare());
    }

}

std::string_view toText(MeasureKind kind) { return measureNames[static_cast<std::size_t>(kind)]; }

double aimOf(MeasureKind kind) { return aims[static_cast<std::size_t>(kind)]; }

std::optional<double> Comparison::measure(MeasureKind kind, StrategyKind subject) const
{
    const RunResult& own = of(subject);
    const RunResult& strong = of(StrategyKind::alwaysStrong);
    switch (kind) {
    case MeasureKind::costRatio:
        return ratio(own.costPerAnswer(), strong.costPerAnswer());
    case MeasureKind::qualityLoss:
        return strong.quality() - own.quality();
    case MeasureKind::firstTokenToBound:
        return ratio(latency(own), latency(of(StrategyKind::knowingLatency)));
    case MeasureKind::firstTokenToBaselines: {
        double lowest = latency(strong);
        for (const StrategyKind baseline : baselines)
            lowest = std::min(lowest, latency(of(baseline)));
        return ratio(latency(own), lowest);
    }
    case MeasureKind::exposureRatio:
        return ratio(static_cast<double>(own.badVersionShown), static_cast<double>(of(StrategyKind::fixedCanary).badVersionShown));
    case MeasureKind::refusedWork:
        return own.refusedWorkShare();
    }
    return std::nullopt;
}

Comparison compare(const Trace& trace, std::uint64_t seed)
{
    Comparison comparison;
    comparison.trace = trace.name;
    comparison.seed = seed;
    for (std::size_t kind = 0; kind < strategyCount; ++kind)
        comparison.results[kind] = runStrategy(trace, static_cast<StrategyKind>(kind), seed);
    return comparison;
}

std::optional<Spread> spreadOf(const std::vector<Comparison>& comparisons, MeasureKind kind, StrategyKind subject)
{
    std::vector<double> values;
    for (const Comparison& comparison : comparisons) {
        if (const auto value = comparison.measure(kind, subject))
            values.push_back(*value);
    }
    if (values.empty())
        return std::nullopt;
    std::sort(values.begin(), values.end());
    const std::size_t middle = values.size() / 2;
    const double median = values.size() % 2 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
    return Spread { median, values.front(), values.back(), values.size() };
}

std::string render(const Comparison& comparison)
{
    std::string text = formatted("%s, seed %lu: %lu requests, %lu contended\n", comparison.trace.c_str(), comparison.seed, comparison.of(StrategyKind::whinyard).requests, comparison.of(StrategyKind::whinyard).contended);
    text += formatted("%-17s %6s %6s %6s %5s %8s %7s %7s %7s %7s %6s %7s %9s\n", "strategy", "whole", "refuse", "cut", "moved", "cost", "quality", "p50 ms", "p95 ms", "p99 ms", "bad", "badVer", "lost work");
    for (std::size_t kind = 0; kind < strategyCount; ++kind)
        text += line(static_cast<StrategyKind>(kind), comparison.results[kind]);
    for (std::size_t kind = 0; kind < measureCount; ++kind) {
        const auto measure = static_cast<MeasureKind>(kind);
        const auto value = comparison.measure(measure);
        const std::string name(toText(measure));
        if (value)
            text += formatted("%-22s %8.4f  aim %6.2f  %s\n", name.c_str(), *value, aimOf(measure), *value <= aimOf(measure) ? "met" : "missed");
    }
    return text;
}

std::string renderSpread(const std::vector<Comparison>& comparisons)
{
    std::string text = formatted("%s, %lu seeds\n", comparisons.front().trace.c_str(), comparisons.size());
    text += formatted("%-17s %-22s %8s %8s %8s %6s\n", "strategy", "measure", "median", "lowest", "highest", "aim");
    for (const StrategyKind subject : products) {
        for (std::size_t kind = 0; kind < measureCount; ++kind) {
            const auto measure = static_cast<MeasureKind>(kind);
            const auto spread = spreadOf(comparisons, measure, subject);
            if (spread)
                text += formatted("%-17s %-22s %8.4f %8.4f %8.4f %6.2f\n", std::string(toText(subject)).c_str(), std::string(toText(measure)).c_str(), spread->median, spread->lowest, spread->highest, aimOf(measure));
        }
    }
    return text;
}

std::optional<std::vector<StatedOutcome>> parseOutcomes(std::string_view text, Failure& failure)
{
    failure = { ErrorKind::malformedRequest, "The stated outcomes must read {\"measures\": [{\"name\", \"atMost\", \"note\"}]}, each with the name of a measure." };
    const nlohmann::json object = nlohmann::json::parse(text, nullptr, false);
    if (!object.is_object() || !object.contains("measures") || !object["measures"].is_array())
        return std::nullopt;
    std::vector<StatedOutcome> outcomes;
    for (const auto& entry : object["measures"]) {
        if (!entry.is_object() || !entry.contains("name") || !entry["name"].is_string() || !entry.contains("atMost") || !entry["atMost"].is_number())
            return std::nullopt;
        const auto name = std::find(measureNames.begin(), measureNames.end(), entry["name"].get<std::string>());
        if (name == measureNames.end())
            return std::nullopt;
        outcomes.push_back({ static_cast<MeasureKind>(name - measureNames.begin()), entry["atMost"].get<double>(), entry.value("note", "") });
    }
    return outcomes;
}

std::vector<std::string> missedOutcomes(const Comparison& comparison, const std::vector<StatedOutcome>& outcomes)
{
    std::vector<std::string> missed;
    for (const StatedOutcome& outcome : outcomes) {
        const auto value = comparison.measure(outcome.measure);
        const std::string name(toText(outcome.measure));
        if (!value)
            missed.push_back(name + " can't be measured with this trace");
        else if (*value > outcome.atMost)
            missed.push_back(formatted("%s is %.4f, stated at most %.4f", name.c_str(), *value, outcome.atMost));
    }
    return missed;
}

}
