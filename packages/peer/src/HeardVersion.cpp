#include "whinyard/peer/HeardVersion.h"

namespace whinyard::peer {

void HeardVersion::hear(std::uint64_t version, SteadyTime now)
{
    if (version <= m_newest)
        return;
    m_newest = version;
    m_since = now;
}

bool HeardVersion::isBehind(std::uint64_t own, SteadyTime now)
{
    if (own >= m_newest || now - m_since < patience)
        return false;
    m_since = now;
    return true;
}

}
