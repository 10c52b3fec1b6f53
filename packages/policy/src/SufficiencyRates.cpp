#include "whinyard/policy/SufficiencyRates.h"

#include <bit>
#include <cmath>

namespace whinyard::policy {

namespace {

    // Sizes between two powers of two are alike; those below the first thousand too.
    int sizeClass(std::uint32_t promptTokens)
    {
        constexpr std::uint32_t smallest = 1'000;
        return std::bit_width(promptTokens / smallest);
    }

}

SufficiencyRates::SufficiencyRates(const SufficiencyRateSettings& settings)
    : m_settings(settings)
{
}

double SufficiencyRates::kept(const Count& count, SteadyTime now) const
{
    return std::exp(-std::chrono::duration<double>(now - count.at) / m_settings.memory);
}

void SufficiencyRates::note(const std::string& route, std::uint32_t promptTokens, bool sufficed, SteadyTime now)
{
    const auto [found, isNew] = m_counts.try_emplace({ route, sizeClass(promptTokens) });
    Count& count = found->second;
    const double part = isNew ? 0 : kept(count, now);
    count.answers = part * count.answers + 1;
    count.shown = part * count.shown + (sufficed ? 1 : 0);
    count.at = now;
}

double SufficiencyRates::chance(const std::string& route, std::uint32_t promptTokens, SteadyTime now) const
{
    const auto found = m_counts.find({ route, sizeClass(promptTokens) });
    if (found == m_counts.end())
        return m_settings.prior;
    const double part = kept(found->second, now);
    return (part * found->second.shown + m_settings.prior * m_settings.priorWeight) / (part * found->second.answers + m_settings.priorWeight);
}

}
