#include "whinyard/policy/ReturnSchedule.h"

#include <algorithm>

namespace whinyard::policy {

std::chrono::milliseconds ReturnSchedule::next(std::chrono::nanoseconds wait, double perSecond, SteadyTime now, Random& random)
{
    const std::chrono::duration<double> turn(perSecond > 0 ? 1 / perSecond : longest.count());
    const auto spacing = std::chrono::duration_cast<std::chrono::nanoseconds>(std::min<std::chrono::duration<double>>(turn, longest));
    const SteadyTime last = std::max<SteadyTime>(now + longest, now + wait);
    const auto drawn = std::chrono::duration_cast<std::chrono::nanoseconds>(spacing * uniform(random));
    m_latest = std::min(std::max<SteadyTime>(now + wait + drawn, m_latest + spacing), last);
    return std::chrono::ceil<std::chrono::milliseconds>(m_latest - now);
}

}
