#include "whinyard/base/SettledWallClock.h"

namespace whinyard {

WallTime SettledWallClock::now()
{
    const SteadyTime steady = m_clock.now();
    const std::chrono::nanoseconds offset = m_clock.wallNow().time_since_epoch() - steady.time_since_epoch();
    const bool agrees = !m_offset || std::chrono::abs(offset - *m_offset) <= largestStep;
    if (agrees)
        m_differsSince.reset();
    else if (!m_differsSince)
        m_differsSince = steady;
    if (agrees || steady - *m_differsSince >= settleTime) {
        m_offset = offset;
        m_differsSince.reset();
    }
    return WallTime(std::chrono::duration_cast<WallTime::duration>(steady.time_since_epoch() + *m_offset));
}

}
