#include "PermitEndpoint.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    // Weight of one sample in the means of service and hold times: they follow a change within about 16 requests.
    constexpr double sampleWeight = 1.0 / 16;

    // One failure more halves the permits. Fewer in a row also occur where single requests fail for their own contents.
    constexpr std::uint32_t toleratedFailures = 2;

    // An endpoint that fails at once is idle and would otherwise attract all requests. The pause doubles with each failed trial.
    constexpr std::chrono::milliseconds firstPause = 250ms;
    constexpr std::chrono::milliseconds longestPause = 4s;

    // An endpoint that is full for others' requests has room again after some service times.
    constexpr std::chrono::milliseconds withheldFor = 1s;

    constexpr std::uint32_t largestShift = 31;

}

PermitEndpoint::PermitEndpoint(std::chrono::nanoseconds initialServiceTime)
    : m_serviceTime(initialServiceTime)
    , m_hold(initialServiceTime)
{
}

void PermitEndpoint::list(const PooledEndpoint& endpoint, double permitsPerSlot)
{
    // Keeps the product of a whole number of permits from being rounded up to the next one.
    constexpr double roundingError = 1e-6;
    m_zone = endpoint.zone;
    m_isListed = true;
    m_slots = std::max<std::uint32_t>(endpoint.slots, 1);
    const double perSlot = endpoint.isBrittle ? std::min(permitsPerSlot, 1.0) : permitsPerSlot;
    m_permits = std::max(static_cast<std::uint32_t>(std::ceil(m_slots * perSlot - roundingError)), 1U);
}

std::uint32_t PermitEndpoint::limitByFailures() const
{
    if (m_failuresInRow <= toleratedFailures)
        return m_permits;
    return m_permits >> std::min(m_failuresInRow - toleratedFailures, largestShift);
}

std::uint32_t PermitEndpoint::limit(SteadyTime now) const
{
    if (!m_isListed || now < m_pausedUntil)
        return 0;
    std::uint32_t limit = limitByFailures();
    if (now < m_withheldUntil)
        limit = std::min(limit, m_permits - std::min(m_withheld, m_permits - 1));
    return std::max(limit, 1U);
}

std::chrono::duration<double> PermitEndpoint::expectedWait() const
{
    return m_serviceTime * m_held / m_slots;
}

double PermitEndpoint::releasesPerSecond(SteadyTime now) const
{
    if (!m_isListed)
        return 0;
    constexpr Seconds shortestHold { 0.001 };
    const Seconds hold = std::max(m_hold, shortestHold);
    if (now < m_pausedUntil)
        return 1 / (hold + Seconds(m_pausedUntil - now)).count();
    return limit(now) / hold.count();
}

std::chrono::duration<double> PermitEndpoint::longServiceTime() const
{
    return m_serviceTime + Seconds(1.5 * std::sqrt(m_variance));
}

void PermitEndpoint::recordFailure(SteadyTime now)
{
    ++m_failuresInRow;
    if (m_failuresInRow <= toleratedFailures || limitByFailures() > 1 || now < m_pausedUntil)
        return;
    m_pause = m_pause == 0ms ? firstPause : std::min(2 * m_pause, longestPause);
    m_pausedUntil = now + m_pause;
}

void PermitEndpoint::recordOutcome(EndpointOutcome outcome, std::chrono::nanoseconds serviceTime, SteadyTime now)
{
    switch (outcome) {
    case EndpointOutcome::succeeded: {
        m_failuresInRow = 0;
        m_pause = 0ms;
        m_pausedUntil = now;
        const Seconds difference = Seconds(serviceTime) - m_serviceTime;
        m_serviceTime += difference * (m_hasSample ? sampleWeight : 1);
        if (m_hasSample)
            m_variance = (1 - sampleWeight) * (m_variance + sampleWeight * difference.count() * difference.count());
        m_hasSample = true;
        break;
    }
    case EndpointOutcome::failed:
    case EndpointOutcome::stalled:
    case EndpointOutcome::unreachable:
        recordFailure(now);
        break;
    case EndpointOutcome::turnedAway:
        m_withheld = std::min(now < m_withheldUntil ? m_withheld + 1 : 1, m_permits - 1);
        m_withheldUntil = now + withheldFor;
        break;
    case EndpointOutcome::leaving:
        // The list of endpoints follows shortly; until then only single requests are refused.
        m_withheld = m_permits - 1;
        m_withheldUntil = now + withheldFor;
        break;
    case EndpointOutcome::cancelled:
        break;
    }
}

void PermitEndpoint::recordHold(std::chrono::nanoseconds hold)
{
    m_hold += (Seconds(hold) - m_hold) * sampleWeight;
}

}
