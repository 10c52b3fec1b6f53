#include "whinyard/policy/ConnectionGate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace whinyard::policy {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Over which bytes and connections are compared: longer than most answers, so that their bytes meet their connections.
    constexpr Seconds costMemory { 4 };

    // What a connection costs each way before any is known, and how many such connections that knowledge counts for.
    constexpr double usualBytes = 8'000;
    constexpr double usualConnections = 5;

}

ConnectionGate::ConnectionGate(const ConnectionGateSettings& settings)
    : m_settings(settings)
    , m_linkUse(settings.linkBytesPerSecond)
{
}

// A single long delay may be a suspension of the machine.
void ConnectionGate::note(std::chrono::nanoseconds delay, std::optional<SteadyTime>& since, SteadyTime now)
{
    if (delay < m_settings.target) {
        since.reset();
        return;
    }
    since = since.value_or(now);
    noteBehind(now);
}

void ConnectionGate::noteWorkDelay(std::chrono::nanoseconds delay, SteadyTime now)
{
    note(delay, m_workDelayedSince, now);
}

void ConnectionGate::noteConnectTime(std::chrono::nanoseconds time, SteadyTime now)
{
    note(time, m_connectsDelayedSince, now);
    m_connectedAt = now;
}

void ConnectionGate::noteBytes(const LinkBytes& bytes, SteadyTime now)
{
    m_linkUse.note(bytes, now);
    const double kept = std::exp(-Seconds(now - std::exchange(m_fadedAt, now)) / costMemory);
    const LinkBytes before = std::exchange(m_bytes, bytes);
    m_connections *= kept;
    m_received = m_received * kept + static_cast<double>(bytes.received - before.received);
    m_sent = m_sent * kept + static_cast<double>(bytes.sent - before.sent);
    if (isLinkFull())
        noteBehind(now);
}

void ConnectionGate::noteWasted(std::uint64_t bytes)
{
    m_received = std::max(0.0, m_received - static_cast<double>(bytes));
}

double ConnectionGate::bytesPerConnection() const
{
    return (std::max(m_received, m_sent) + usualConnections * usualBytes) / (m_connections + usualConnections);
}

std::chrono::nanoseconds ConnectionGate::pauseForLink(SteadyTime now)
{
    const double perSecond = m_settings.linkBytesPerSecond * m_settings.usedShare;
    if (perSecond <= 0)
        return std::chrono::nanoseconds(0);
    const double cost = bytesPerConnection();
    m_owed = std::max(0.0, m_owed - perSecond * Seconds(now - std::exchange(m_owedAt, now)).count()) + cost;
    ++m_connections;
    // Where it is more, kept connections fill the link, and new ones come at the longest pause.
    m_owed = std::min(m_owed, perSecond);
    const double tooMuch = m_owed + cost - perSecond * Seconds(m_settings.burst).count();
    if (tooMuch <= 0)
        return std::chrono::nanoseconds(0);
    const auto pause = std::chrono::duration_cast<std::chrono::nanoseconds>(Seconds(tooMuch / perSecond));
    return std::clamp<std::chrono::nanoseconds>(pause, m_settings.shortestPause, m_settings.longestPause);
}

std::chrono::nanoseconds ConnectionGate::pauseAfterConnection(SteadyTime now)
{
    const std::chrono::nanoseconds pause = pauseForLink(now);
    return isDelayed(now) ? m_settings.longestPause : pause;
}

bool ConnectionGate::isDelayed(SteadyTime now) const
{
    const auto stands = [&](const std::optional<SteadyTime>& since) { return since && now - *since >= m_settings.standing; };
    return stands(m_workDelayedSince) || (stands(m_connectsDelayedSince) && now - m_connectedAt < m_settings.connectsMemory);
}

}
