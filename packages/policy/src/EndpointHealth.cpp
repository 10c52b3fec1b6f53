// The part of EndpointTable that ejects failing and slow endpoints and takes them back.
#include "whinyard/policy/EndpointTable.h"

#include <algorithm>

namespace whinyard::policy {

namespace {

    constexpr std::uint32_t maximumDoublings = 16;

}

void EndpointTable::recordFailure(EndpointIndex endpoint, std::uint32_t weight, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    changed.consecutiveSuccesses = 0;
    changed.consecutiveFailures += weight;
    if (changed.health == HealthState::probing) {
        eject(endpoint, now);
        return;
    }
    const bool isOverLimit = changed.consecutiveFailures >= m_settings.failuresToEject;
    if (changed.health == HealthState::healthy && isOverLimit && mayEject(endpoint))
        eject(endpoint, now);
}

bool EndpointTable::mayEject(EndpointIndex endpoint) const
{
    for (const TargetIndex index : m_targetsOf[static_cast<std::size_t>(endpoint)]) {
        const TargetMembers& target = members(index);
        if (target.size() < 2)
            return false;
        const auto share = static_cast<std::size_t>(static_cast<double>(target.size()) * m_settings.maximumEjectedShare);
        const std::size_t out = target.ejected.size() + target.probing.size();
        if (out + 1 > std::max<std::size_t>(share, 1))
            return false;
    }
    return true;
}

void EndpointTable::eject(EndpointIndex endpoint, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    if (changed.health == HealthState::healthy && now - changed.healthySince > m_settings.maximumEjection)
        changed.ejections = 0;
    const std::uint32_t doublings = std::min(changed.ejections, maximumDoublings);
    const std::chrono::milliseconds pause = std::min(m_settings.baseEjection * (1U << doublings), m_settings.maximumEjection);
    changed.ejectedUntil = now + pause;
    ++changed.ejections;
    changed.consecutiveSuccesses = 0;
    setHealth(endpoint, HealthState::ejected);
}

void EndpointTable::setHealth(EndpointIndex endpoint, HealthState health)
{
    const std::vector<TargetIndex>& targets = m_targetsOf[static_cast<std::size_t>(endpoint)];
    for (const TargetIndex target : targets)
        removeFromHealthList(m_targets[static_cast<std::size_t>(target)], endpoint);
    rowAt(endpoint).health = health;
    for (const TargetIndex target : targets)
        addToHealthList(m_targets[static_cast<std::size_t>(target)], endpoint);
}

void EndpointTable::refresh(SteadyTime now)
{
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
        const EndpointRow& read = m_rows[i];
        if (read.health == HealthState::ejected && read.ejectedUntil <= now) {
            setHealth(static_cast<EndpointIndex>(i), HealthState::probing);
            m_rows[i].firstByteSamples = 0;
        }
    }
    for (const TargetMembers& target : m_targets) {
        updatePriors(target, now);
        ejectSlowEndpoints(target, now);
    }
    m_memory.refresh(now, m_quotas.instances(), [this](TargetIndex target) { return members(target).size(); });
}

void EndpointTable::updatePriors(const TargetMembers& target, SteadyTime now)
{
    double sum = 0;
    std::uint32_t count = 0;
    for (const EndpointIndex endpoint : target.healthy) {
        const EndpointRow& read = row(endpoint);
        if (now - read.reportAt > m_settings.reportLifetime)
            continue;
        sum += read.othersInFlight;
        ++count;
    }
    const float mean = count > 0 ? static_cast<float>(sum / count) : 0.0F;
    for (const EndpointIndex endpoint : target.healthy)
        rowAt(endpoint).othersPrior = mean;
}

void EndpointTable::ejectSlowEndpoints(const TargetMembers& target, SteadyTime now)
{
    m_scratch.clear();
    for (const EndpointIndex endpoint : target.healthy) {
        if (row(endpoint).firstByteSamples >= m_settings.slowMinimumSamples)
            m_scratch.push_back(row(endpoint).firstByteTime);
    }
    if (m_scratch.size() < 3)
        return;
    const auto middle = m_scratch.begin() + static_cast<std::ptrdiff_t>((m_scratch.size() - 1) / 2);
    std::nth_element(m_scratch.begin(), middle, m_scratch.end());
    const auto slow = std::chrono::duration_cast<std::chrono::nanoseconds>(*middle * m_settings.slowFactor);
    const std::chrono::nanoseconds limit = std::max<std::chrono::nanoseconds>(slow, m_settings.slowMinimum);
    std::size_t i = 0;
    while (i < target.healthy.size()) {
        const EndpointIndex endpoint = target.healthy[i];
        const bool isSampled = row(endpoint).firstByteSamples >= m_settings.slowMinimumSamples;
        if (isSampled && row(endpoint).firstByteTime > limit && mayEject(endpoint))
            eject(endpoint, now);
        else
            ++i;
    }
}

}
