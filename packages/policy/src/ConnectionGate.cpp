#include "whinyard/policy/ConnectionGate.h"

namespace whinyard::policy {

ConnectionGate::ConnectionGate(const ConnectionGateSettings& settings)
    : m_settings(settings)
{
}

// A single long delay may be a suspension of the machine.
void ConnectionGate::note(std::chrono::nanoseconds delay, std::optional<SteadyTime>& since, SteadyTime now) const
{
    if (delay < m_settings.target)
        since.reset();
    else
        since = since.value_or(now);
}

bool ConnectionGate::isClosed(SteadyTime now) const
{
    const auto stands = [&](const std::optional<SteadyTime>& since) { return since && now - *since >= m_settings.standing; };
    return stands(m_workDelayedSince) || (stands(m_connectsDelayedSince) && now - m_connectedAt < m_settings.connectsMemory);
}

bool ConnectionGate::admits(SteadyTime now)
{
    if (isClosed(now) && now - m_admittedAt < m_settings.longestRefusal)
        return false;
    m_admittedAt = now;
    return true;
}

}
