#include "whinyard/policy/VersionEvidence.h"

#include <cmath>

namespace whinyard::policy {

CountsByPlace::CountsByPlace(std::initializer_list<RatedCounts> counts)
{
    for (const RatedCounts& count : counts)
        m_counts.emplace(m_counts.size(), count);
}

RatedCounts CountsByPlace::at(std::size_t place) const
{
    const auto found = m_counts.find(place);
    return found == m_counts.end() ? RatedCounts() : found->second;
}

const KindCounts& countsOf(const CountsByKind& kinds, std::size_t place)
{
    static const KindCounts none;
    const auto found = kinds.find(place);
    return found == kinds.end() ? none : found->second;
}

std::size_t kindPlace(std::string_view measure)
{
    return stableHash(measure) % kindPlaces;
}

std::size_t endpointPlace(const EndpointName& endpoint)
{
    return stableHash(endpoint.value) % endpointPlaces;
}

void FadingCounts::add(const RatedCounts& counts, std::chrono::milliseconds memory, SteadyTime now)
{
    if (counts.total() == 0)
        return;
    if (m_good + m_bad == 0)
        m_since = now;
    const double kept = std::exp(-std::chrono::duration<double>(now - m_at) / memory);
    m_good = m_good * kept + static_cast<double>(counts.good);
    m_bad = m_bad * kept + static_cast<double>(counts.bad);
    m_at = now;
}

double FadingCounts::badShareAbove(double errors) const
{
    const double share = badShare();
    return share + errors * std::sqrt(share * (1 - share) / (m_good + m_bad + 1));
}

double FadingCounts::perSecond(std::chrono::milliseconds memory, std::chrono::milliseconds knownAfter, SteadyTime now) const
{
    if (m_good + m_bad == 0 || now - m_since < knownAfter)
        return 0;
    const double kept = std::exp(-std::chrono::duration<double>(now - m_at) / memory);
    const double filled = 1 - std::exp(-std::chrono::duration<double>(now - m_since) / memory);
    return (m_good + m_bad) * kept / filled / std::chrono::duration<double>(memory).count();
}

}
