#include "PermitEndpoints.h"

#include <algorithm>

namespace whinyard::policy {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Endpoints whose expected waits differ by less are equally good: about the transit time between availability zones.
    constexpr Seconds equalWait { 0.001 };

    // Keeps forecasts finite while no endpoint can be used.
    constexpr double slowestDrain = 0.2;

    bool isExcluded(const PermitRequest& request, const EndpointName& endpoint)
    {
        return std::find(request.excluded.begin(), request.excluded.end(), endpoint) != request.excluded.end();
    }

}

PermitEndpoints::PermitEndpoints(const PlacePoolSettings& settings)
    : m_settings(settings)
{
}

void PermitEndpoints::use(const std::vector<PooledEndpoint>& endpoints)
{
    for (auto& [name, entry] : m_entries)
        entry.endpoint.unlist();
    for (const PooledEndpoint& endpoint : endpoints) {
        const auto entry = m_entries.try_emplace(endpoint.name, Entry { endpoint.name, PermitEndpoint(m_settings.initialServiceTime) }).first;
        entry->second.endpoint.list(endpoint, m_settings.permitsPerSlot);
    }
    std::erase_if(m_entries, [](const auto& entry) { return !entry.second.endpoint.isListed() && entry.second.endpoint.held() == 0; });
}

void PermitEndpoints::take(const EndpointName& name, bool isAdopted)
{
    Entry& entry = m_entries.try_emplace(name, Entry { name, PermitEndpoint(m_settings.initialServiceTime) }).first->second;
    entry.endpoint.take();
    if (!isAdopted)
        entry.lastGrant = ++m_grants;
}

void PermitEndpoints::free(const EndpointName& name)
{
    const auto entry = m_entries.find(name);
    entry->second.endpoint.free();
    if (!entry->second.endpoint.isListed() && entry->second.endpoint.held() == 0)
        m_entries.erase(entry);
}

const PermitEndpoints::Entry* PermitEndpoints::choose(const PermitRequest& request, SteadyTime now) const
{
    const auto isUsable = [&](const Entry& entry) { return entry.endpoint.hasFree(now) && !isExcluded(request, entry.name); };
    std::optional<Seconds> least;
    for (const auto& [name, entry] : m_entries) {
        if (isUsable(entry))
            least = std::min(least.value_or(Seconds::max()), entry.endpoint.expectedWait());
    }
    const Entry* best = nullptr;
    const auto isBetter = [&](const Entry& entry) {
        const bool isNear = entry.endpoint.zone() == request.zone;
        const bool isBestNear = best && best->endpoint.zone() == request.zone;
        return !best || (isNear != isBestNear ? isNear : entry.lastGrant < best->lastGrant);
    };
    for (const auto& [name, entry] : m_entries) {
        if (isUsable(entry) && entry.endpoint.expectedWait() < *least + equalWait && isBetter(entry))
            best = &entry;
    }
    return best;
}

bool PermitEndpoints::isAnyFree(SteadyTime now) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto& entry) { return entry.second.endpoint.hasFree(now); });
}

bool PermitEndpoints::hasAllowed(const PermitRequest& request) const
{
    const auto isAllowed = [&](const auto& entry) { return entry.second.endpoint.isListed() && !isExcluded(request, entry.first); };
    return std::any_of(m_entries.begin(), m_entries.end(), isAllowed);
}

SteadyTime PermitEndpoints::firstGranting(const PermitRequest& request, SteadyTime now) const
{
    SteadyTime first = SteadyTime::max();
    for (const auto& [name, entry] : m_entries) {
        if (entry.endpoint.isListed() && !isExcluded(request, name))
            first = std::min(first, std::max(entry.endpoint.pausedUntil(), now));
    }
    return first;
}

double PermitEndpoints::drainRate(SteadyTime now) const
{
    double rate = 0;
    for (const auto& [name, entry] : m_entries)
        rate += entry.endpoint.releasesPerSecond(now);
    return std::max(rate, slowestDrain);
}

// Covers nearly all requests, unless the objective is too short for that.
std::chrono::duration<double> PermitEndpoints::reservedTime(std::chrono::milliseconds objectiveLeft) const
{
    Seconds mean { 0 };
    Seconds longTime { 0 };
    for (const auto& [name, entry] : m_entries) {
        if (entry.endpoint.isListed()) {
            mean += entry.endpoint.meanServiceTime();
            longTime += entry.endpoint.longServiceTime();
        }
    }
    const auto count = static_cast<double>(std::max<std::size_t>(listed(), 1));
    return std::min(longTime / count, std::max(mean / count, Seconds(objectiveLeft) / 2));
}

std::size_t PermitEndpoints::listed() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.second.endpoint.isListed(); }));
}

std::size_t PermitEndpoints::permits(SteadyTime now) const
{
    std::size_t permits = 0;
    for (const auto& [name, entry] : m_entries)
        permits += entry.endpoint.limit(now);
    return permits;
}

}
