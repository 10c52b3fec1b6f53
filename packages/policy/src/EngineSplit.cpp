#include "whinyard/policy/EngineSplit.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

EngineSplit::EngineSplit(const EngineSplitSettings& settings)
    : m_settings(settings)
{
}

double EngineSplit::keptOf(SteadyTime now) const
{
    return std::exp(-std::chrono::duration<double>(now - m_notedAt) / m_settings.memory);
}

void EngineSplit::note(bool isSmall, std::chrono::nanoseconds work, SteadyTime now)
{
    const double kept = keptOf(now);
    m_small *= kept;
    m_large *= kept;
    m_notedAt = now;
    (isSmall ? m_small : m_large) += std::chrono::duration<double>(work).count();
}

void EngineSplit::noteUse(double placesOfEngine, double takenShare, SteadyTime now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - m_useAt) / m_settings.memory);
    m_taken = kept * m_taken + (1 - kept) * takenShare;
    m_places = placesOfEngine;
    m_useAt = now;
}

EndpointPart EngineSplit::partFor(bool isSmall, SteadyTime now) const
{
    const double free = m_places * (1 - m_settings.concentration * m_taken);
    const double weight = std::clamp((free - m_settings.sharedUpTo) / (m_settings.dividedFrom - m_settings.sharedUpTo), 0.0, 1.0);
    if (weight <= 0)
        return {};
    const double kept = keptOf(now);
    const double initial = std::chrono::duration<double>(m_settings.initialWork).count();
    const double small = m_settings.smallHeadroom * m_small * kept + m_settings.initialPart * initial;
    const double large = m_large * kept + (1 - m_settings.initialPart) * initial;
    const double border = std::clamp(small / (small + large), m_settings.leastPart, 1 - m_settings.leastPart);
    return isSmall ? EndpointPart { 0, border, weight } : EndpointPart { border, 1, weight };
}

}
