#include "whinyard/policy/EnginePrice.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

EnginePrice::EnginePrice(const EnginePriceSettings& settings)
    : m_settings(settings)
{
}

void EnginePrice::note(std::chrono::nanoseconds backlog, double busyShare, SteadyTime now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - m_notedAt) / m_settings.memory);
    m_backlog = kept * m_backlog + (1 - kept) * static_cast<double>(backlog.count());
    m_busyShare = kept * m_busyShare + (1 - kept) * busyShare;
    m_notedAt = now;
}

// Those that come while it is read wait for half of the reading on average, where they find no engine that is free.
double EnginePrice::share(std::chrono::nanoseconds reading, std::chrono::nanoseconds objective) const
{
    const double ownPart = m_settings.byBusyShare ? m_busyShare : 1;
    const double behind = m_backlog + ownPart * static_cast<double>(reading.count()) / 2;
    return m_settings.delayShare * behind / std::max(1.0, static_cast<double>(objective.count()));
}

}
