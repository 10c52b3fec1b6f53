#include "whinyard/policy/AnswerLengths.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    // Estimates between the outer two stand. The middle one is above the median: what too short an expectation costs, a preempted
    // request, is worse than a little room that stays unused.
    constexpr double lowQuantile = 0.2;
    constexpr double usualQuantile = 0.7;
    constexpr double highQuantile = 0.95;

    constexpr double step = 0.08; // Relative change of a quantile by one sample.
    constexpr std::uint32_t leastSamples = 30; // Before these the quantiles have not settled.
    constexpr double timeWeight = 0.05; // Of a new sample.
    constexpr std::uint32_t unknownLength = 512; // Where neither the caller nor the route tells anything.
    constexpr std::chrono::milliseconds unknownTime { 20 }; // Of one token, as most engines take.
    constexpr double stillToCome = 0.25; // Of the tokens of a stream that has become longer than was expected.

    // A stochastic approximation of the quantile (Robbins, Monro, Annals of Mathematical Statistics 22, 1951).
    void approach(double& value, double quantile, double sample)
    {
        value = value == 0 ? sample : value * std::exp(step * (sample > value ? quantile : quantile - 1));
    }

}

void AnswerLengths::learn(const std::string& route, std::uint32_t tokens, std::chrono::nanoseconds generating)
{
    if (tokens == 0 || (m_routes.size() >= mostRoutes && !m_routes.contains(route)))
        return;
    Route& known = m_routes[route];
    ++known.samples;
    approach(known.low, lowQuantile, tokens);
    approach(known.usual, usualQuantile, tokens);
    approach(known.high, highQuantile, tokens);
    if (tokens < 2 || generating.count() <= 0)
        return;
    const double each = static_cast<double>(generating.count()) / (tokens - 1);
    known.nanosecondsEach = known.nanosecondsEach == 0 ? each : known.nanosecondsEach + timeWeight * (each - known.nanosecondsEach);
}

std::uint32_t AnswerLengths::expected(const std::string& route, std::uint32_t estimate, std::uint32_t limit, std::uint32_t generated) const
{
    const auto known = m_routes.find(route);
    double tokens = estimate;
    if (known != m_routes.end() && known->second.samples >= leastSamples)
        tokens = estimate > 0 ? std::clamp(tokens, std::min(known->second.low, known->second.high), known->second.high) : known->second.usual;
    else if (estimate == 0)
        tokens = limit > 0 ? limit : unknownLength;
    if (generated > 0)
        tokens = std::max(tokens, (1 + stillToCome) * generated);
    const auto whole = static_cast<std::uint32_t>(std::min(std::ceil(tokens), 4e9));
    return limit > 0 ? std::min(whole, limit) : whole;
}

std::chrono::nanoseconds AnswerLengths::tokenTime(const std::string& route) const
{
    const auto known = m_routes.find(route);
    if (known == m_routes.end() || known->second.nanosecondsEach == 0)
        return unknownTime;
    return std::chrono::nanoseconds(static_cast<std::int64_t>(known->second.nanosecondsEach));
}

}
