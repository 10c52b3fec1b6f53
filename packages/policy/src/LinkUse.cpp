#include "whinyard/policy/LinkUse.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace whinyard::policy {

namespace {

    using Seconds = std::chrono::duration<double>;

    constexpr Seconds memory { 0.1 };

}

void LinkUse::note(const LinkBytes& bytes, SteadyTime now)
{
    if (m_bytesPerSecond <= 0)
        return;
    const Seconds elapsed = now - m_notedAt.value_or(now);
    const LinkBytes before = m_bytes;
    if (m_notedAt && elapsed.count() <= 0)
        return;
    m_notedAt = now;
    m_bytes = bytes;
    if (elapsed.count() <= 0)
        return;
    const auto carried = static_cast<double>(std::max(bytes.received - before.received, bytes.sent - before.sent));
    const double kept = std::exp(-elapsed / memory);
    m_share = m_share * kept + (1 - kept) * carried / (m_bytesPerSecond * elapsed.count());
}

}
