#include "whinyard/policy/RepeatedReports.h"

#include <utility>

namespace whinyard::policy {

bool TakenReports::take(std::uint64_t identity, SteadyTime now)
{
    if (identity == 0)
        return true;
    if (now - m_turnedAt >= remembered) {
        m_earlier = std::exchange(m_latest, {});
        if (now - m_turnedAt >= 2 * remembered)
            m_earlier.clear();
        m_turnedAt = now;
    }
    return !m_earlier.contains(identity) && m_latest.insert(identity).second;
}

}
