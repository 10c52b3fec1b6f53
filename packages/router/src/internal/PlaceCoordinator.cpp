#include "internal/PlaceCoordinator.h"

#include "whinyard/base/Log.h"
#include "whinyard/router/Forwarder.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

namespace {

    // A pool that was not used for so long has neither permits nor requests: both expire much earlier.
    constexpr std::chrono::seconds idlePool { 10 };

    std::string_view text(policy::PermitVerdict verdict)
    {
        switch (verdict) {
        case policy::PermitVerdict::granted:
            return "granted";
        case policy::PermitVerdict::waiting:
            return "waiting";
        case policy::PermitVerdict::rejected:
            return "rejected";
        case policy::PermitVerdict::noEndpoint:
            break;
        }
        return "noEndpoint";
    }

}

PlaceCoordinator::PlaceCoordinator(const endpoint::EndpointDirectory& directory, Metrics& metrics, const policy::PlacePoolSettings& settings, Deliver deliver)
    : m_directory(directory)
    , m_metrics(metrics)
    , m_settings(settings)
    , m_deliver(std::move(deliver))
{
}

std::vector<policy::PooledEndpoint> PlaceCoordinator::endpointsOf(const PlaceTarget& target) const
{
    std::vector<policy::PooledEndpoint> endpoints = m_directory.liveEndpoints(targetName(target.service, target.version));
    std::erase_if(endpoints, [](const policy::PooledEndpoint& endpoint) { return endpoint.slots == 0; });
    return endpoints;
}

// Targets come from other instances: only those that this one knows endpoints of get a pool.
PlaceCoordinator::Pool* PlaceCoordinator::poolFor(const PlaceTarget& target, SteadyTime now)
{
    auto known = m_pools.find(target);
    if (known == m_pools.end()) {
        if (endpointsOf(target).empty())
            return nullptr;
        known = m_pools.try_emplace(target, m_settings).first;
        follow(target, known->second, now);
        log::info("coordination of slots begun", { { "service", target.service.value }, { "version", target.version }, { "endpoints", std::to_string(known->second.endpoints.size()) } });
    }
    known->second.usedAt = now;
    return &known->second;
}

void PlaceCoordinator::follow(const PlaceTarget& target, Pool& pool, SteadyTime now)
{
    std::vector<policy::PooledEndpoint> endpoints = endpointsOf(target);
    if (endpoints == pool.endpoints)
        return;
    pool.endpoints = std::move(endpoints);
    deliver(target, pool.places.useEndpoints(pool.endpoints, now));
}

void PlaceCoordinator::deliver(const PlaceTarget& target, const std::vector<policy::PermitDecision>& decisions)
{
    for (const policy::PermitDecision& decision : decisions) {
        m_metrics.add("whinyard_place_decisions_total{verdict=\"" + std::string(text(decision.verdict)) + "\"}");
        m_deliver(target, decision);
    }
}

void PlaceCoordinator::request(const PlaceTarget& target, const policy::PermitRequest& request, SteadyTime now)
{
    Pool* pool = poolFor(target, now);
    if (pool)
        deliver(target, pool->places.request(request, now));
    else
        deliver(target, { { .id = request.id, .verdict = policy::PermitVerdict::noEndpoint, .endpoint = {}, .wait = {} } });
}

void PlaceCoordinator::release(const PlaceTarget& target, const policy::PermitId& id, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime, SteadyTime now)
{
    const auto known = m_pools.find(target);
    if (known != m_pools.end())
        deliver(target, known->second.places.release(id, outcome, serviceTime, now));
}

void PlaceCoordinator::confirm(const PlaceTarget& target, const std::vector<policy::HeldPermit>& held, SteadyTime now)
{
    if (Pool* pool = poolFor(target, now))
        pool->places.confirm(held, now);
}

void PlaceCoordinator::tick(SteadyTime now)
{
    for (auto entry = m_pools.begin(); entry != m_pools.end();) {
        const PlaceTarget& target = entry->first;
        Pool& pool = entry->second;
        follow(target, pool, now);
        expire(target, pool, now);
        if (now - pool.usedAt < idlePool) {
            show(target, pool.places.state(now));
            ++entry;
            continue;
        }
        log::info("coordination of slots ended", { { "service", target.service.value }, { "version", target.version } });
        show(target, {});
        entry = m_pools.erase(entry);
    }
}

void PlaceCoordinator::expire(const PlaceTarget& target, Pool& pool, SteadyTime now)
{
    const std::size_t before = pool.places.state(now).held;
    const std::vector<policy::PermitDecision> decisions = pool.places.expire(now);
    const auto granted = std::count_if(decisions.begin(), decisions.end(), [](const policy::PermitDecision& decision) { return decision.verdict == policy::PermitVerdict::granted; });
    // What expired went to the requests that were granted by it, or is free.
    const std::size_t expired = before + static_cast<std::size_t>(granted) - pool.places.state(now).held;
    deliver(target, decisions);
    if (expired == 0)
        return;
    m_metrics.add("whinyard_places_expired_total", expired);
    log::info("permits expired", { { "service", target.service.value }, { "version", target.version }, { "permits", std::to_string(expired) } });
}

void PlaceCoordinator::show(const PlaceTarget& target, const policy::PlacePoolState& state)
{
    const std::string labels = "{service=\"" + target.service.value + "\",version=\"" + target.version + "\"}";
    m_metrics.set("whinyard_place_pool_permits" + labels, static_cast<double>(state.permits));
    m_metrics.set("whinyard_place_pool_held" + labels, static_cast<double>(state.held));
    m_metrics.set("whinyard_place_pool_waiting" + labels, static_cast<double>(state.waiting));
    m_metrics.set("whinyard_place_pool_wait_seconds" + labels, std::chrono::duration<double>(state.expectedWait).count());
}

std::optional<policy::PlacePoolState> PlaceCoordinator::state(const PlaceTarget& target, SteadyTime now) const
{
    const auto known = m_pools.find(target);
    return known == m_pools.end() ? std::nullopt : std::optional(known->second.places.state(now));
}

}
