#include "whinyard/base/HybridTime.h"

#include <algorithm>

namespace whinyard {

HybridClock::HybridClock(const Clock& clock)
    : m_clock(clock)
{
}

std::chrono::microseconds HybridClock::wallMicroseconds() const
{
    return std::chrono::duration_cast<std::chrono::microseconds>(m_clock.wallNow().time_since_epoch());
}

HybridTime HybridClock::tick()
{
    const std::lock_guard lock(m_mutex);
    const auto wall = wallMicroseconds();
    if (wall > m_last.physical)
        m_last = { wall, 0 };
    else
        ++m_last.logical;
    return m_last;
}

void HybridClock::observe(const HybridTime& remote)
{
    const std::lock_guard lock(m_mutex);
    if (remote.physical > wallMicroseconds() + maximumSkew)
        return;
    m_last = std::max(m_last, remote);
}

}
