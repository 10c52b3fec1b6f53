#include "whinyard/replay/Command.h"

#include "whinyard/replay/Generator.h"
#include "whinyard/replay/Report.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace whinyard::replay {

namespace {

    constexpr std::uint32_t maximumSeeds = 1'000;
    constexpr std::string_view traceEnding = ".jsonl";

    std::optional<std::string> readFile(const std::string& path, Failure& failure)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            failure = { ErrorKind::notFound, "Can't read the file \"" + path + "\"." };
            return std::nullopt;
        }
        return std::string(std::istreambuf_iterator<char>(file), {});
    }

    std::string outcomesBeside(const std::string& trace)
    {
        const bool hasEnding = trace.ends_with(traceEnding);
        return trace.substr(0, trace.size() - (hasEnding ? traceEnding.size() : 0)) + ".outcomes.json";
    }

    std::optional<std::string> checkOutcomes(const Comparison& comparison, const std::string& path, std::string report, Failure& failure)
    {
        const auto text = readFile(path, failure);
        const auto outcomes = text ? parseOutcomes(*text, failure) : std::nullopt;
        if (!outcomes)
            return std::nullopt;
        const auto missed = missedOutcomes(comparison, *outcomes);
        if (missed.empty())
            return report + "all " + std::to_string(outcomes->size()) + " stated outcomes are reached\n";
        for (const std::string& line : missed)
            report += "missed: " + line + "\n";
        failure = { ErrorKind::invalidConfiguration, std::move(report) };
        return std::nullopt;
    }

    std::optional<std::string> replayFile(const ReplayOptions& options, Failure& failure)
    {
        const auto text = readFile(options.trace, failure);
        const auto trace = text ? parseTrace(*text, failure) : std::nullopt;
        if (!trace)
            return std::nullopt;
        const Comparison comparison = compare(*trace, options.seed);
        std::string report = render(comparison);
        const std::string beside = outcomesBeside(options.trace);
        if (!options.outcomes.empty())
            return checkOutcomes(comparison, options.outcomes, std::move(report), failure);
        if (std::filesystem::exists(beside))
            return checkOutcomes(comparison, beside, std::move(report), failure);
        return report;
    }

    std::optional<std::string> replaySeeds(const ReplayOptions& options, Failure& failure)
    {
        std::vector<Comparison> comparisons;
        for (std::uint64_t seed = 1; seed <= options.seeds; ++seed) {
            const auto trace = generateTrace(options.name, seed, failure);
            if (!trace)
                return std::nullopt;
            comparisons.push_back(compare(*trace, seed));
        }
        return renderSpread(comparisons);
    }

    bool areSound(const ReplayOptions& options, Failure& failure)
    {
        const int modes = !options.trace.empty() + !options.generate.empty() + !options.name.empty();
        if (modes == 1 && options.seeds >= 1 && options.seeds <= maximumSeeds)
            return true;
        failure = { ErrorKind::malformedRequest, "Give one trace to replay, one name to generate, or one name to replay over 1 to 1000 seeds." };
        return false;
    }

}

std::optional<std::string> runReplay(const ReplayOptions& options, Failure& failure)
{
    if (!areSound(options, failure))
        return std::nullopt;
    if (!options.name.empty())
        return replaySeeds(options, failure);
    if (!options.trace.empty())
        return replayFile(options, failure);
    const auto trace = generateTrace(options.generate, options.seed, failure);
    return trace ? std::optional(toText(*trace)) : std::nullopt;
}

}
