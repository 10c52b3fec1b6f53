#include "whinyard/policy/ReadDelay.h"

#include <algorithm>

namespace whinyard::policy {

void ReadDelay::noteTurn(SteadyTime now)
{
    if (isLate(now))
        m_stalls.push_back({ *m_turnedAt, now });
    while (!m_stalls.empty() && now - m_stalls.front().to >= m_settings.catchUp)
        m_stalls.pop_front();
    m_turnedAt = now;
}

SteadyTime ReadDelay::sentSince(SteadyTime now) const
{
    SteadyTime since = isLate(now) ? *m_turnedAt : now;
    for (const Stall& stall : m_stalls) {
        if (now - stall.to < m_settings.catchUp)
            since = std::min(since, stall.from);
    }
    return since;
}

}
