#include "whinyard/replay/Simulator.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace whinyard::replay {

std::string_view toText(StrategyKind kind)
{
    static constexpr std::array<std::string_view, strategyCount> names { "alwaysStrong", "alwaysCheap", "random", "roundRobin", "twoChoices", "fixedCanary", "knowingCost", "knowingLatency", "whinyard", "whinyardUnjudged" };
    return names[static_cast<std::size_t>(kind)];
}

std::chrono::microseconds RunResult::firstTokenPercentile(double percent) const
{
    if (firstToken.empty())
        return std::chrono::microseconds(0);
    std::vector<std::chrono::microseconds> sorted = firstToken;
    const auto rank = static_cast<std::size_t>(std::ceil(percent / 100 * static_cast<double>(sorted.size())));
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(std::max<std::size_t>(rank, 1) - 1);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

}
