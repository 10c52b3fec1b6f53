#include "internal/CoordinatorChoice.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

void CoordinatorChoice::useInstances(const std::vector<InstanceName>& instances)
{
    if (m_instances == instances)
        return;
    m_instances = instances;
    m_ranked.clear();
    std::erase_if(m_silent, [&](const auto& entry) { return std::find(m_instances.begin(), m_instances.end(), entry.first) == m_instances.end(); });
}

const std::vector<InstanceName>& CoordinatorChoice::rankedFor(const ServiceName& service) const
{
    const auto [entry, isNew] = m_ranked.try_emplace(service);
    if (!isNew)
        return entry->second;
    const std::uint64_t seed = stableHash(service.value);
    std::vector<std::pair<std::uint64_t, const InstanceName*>> hashes;
    hashes.reserve(m_instances.size());
    for (const InstanceName& instance : m_instances)
        hashes.emplace_back(stableHash(instance.value, seed), &instance);
    const std::size_t count = std::min(mostRanked, hashes.size());
    std::partial_sort(hashes.begin(), hashes.begin() + static_cast<std::ptrdiff_t>(count), hashes.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    for (std::size_t i = 0; i < count; ++i)
        entry->second.push_back(*hashes[i].second);
    return entry->second;
}

std::optional<InstanceName> CoordinatorChoice::current(const ServiceName& service) const
{
    for (const InstanceName& instance : rankedFor(service)) {
        if (!m_silent.contains(instance))
            return instance;
    }
    return std::nullopt;
}

std::optional<InstanceName> CoordinatorChoice::draw(const ServiceName& service, SteadyTime now)
{
    for (const InstanceName& instance : rankedFor(service)) {
        const auto silent = m_silent.find(instance);
        if (silent == m_silent.end())
            return instance;
        if (silent->second.until <= now && !std::exchange(silent->second.isAsked, true))
            return instance;
    }
    return std::nullopt;
}

bool CoordinatorChoice::noteSilent(const InstanceName& instance, SteadyTime now)
{
    const auto [silent, isNew] = m_silent.try_emplace(instance);
    silent->second = { now + m_silentFor, false };
    return isNew;
}

bool CoordinatorChoice::noteAlive(const InstanceName& instance)
{
    return m_silent.erase(instance) > 0;
}

void CoordinatorChoice::noteUndecided(const InstanceName& instance)
{
    if (const auto silent = m_silent.find(instance); silent != m_silent.end())
        silent->second.isAsked = false;
}

}
