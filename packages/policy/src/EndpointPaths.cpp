#include "whinyard/policy/EndpointPaths.h"

#include <algorithm>

namespace whinyard::policy {

namespace {

    // Relays that rest beyond these are forgotten: there are enough others to draw from.
    constexpr std::size_t mostResting = 64;

    // Draws of any other instance before it counts as none that is left.
    constexpr int mostDraws = 16;

    bool contains(const std::vector<InstanceName>& list, const InstanceName& wanted)
    {
        return std::find(list.begin(), list.end(), wanted) != list.end();
    }

}

EndpointPaths::EndpointPaths(const EndpointPathSettings& settings, Random random)
    : m_settings(settings)
    , m_random(random)
{
}

void EndpointPaths::useRelays(std::vector<InstanceName> relays)
{
    m_relays = std::move(relays);
    for (auto& [name, service] : m_services)
        std::erase_if(service.working, [this](const InstanceName& relay) { return !contains(m_relays, relay); });
}

const EndpointPaths::Service* EndpointPaths::find(const ServiceName& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : &found->second;
}

bool EndpointPaths::isDirect(const ServiceName& service) const
{
    const Service* known = find(service);
    return !known || known->isDirect;
}

bool EndpointPaths::mayRelayAfter(const ServiceName& service, SteadyTime began) const
{
    const Service* known = find(service);
    return !m_relays.empty() && known && (!known->lastSuccessBegan || *known->lastSuccessBegan < began);
}

bool EndpointPaths::relaysFailed(const Service& service) const
{
    return service.working.empty() && service.failedRelays.size() >= std::min(m_settings.relaysToGiveUp, m_relays.size());
}

bool EndpointPaths::isLost(const ServiceName& service, SteadyTime now)
{
    const auto found = m_services.find(service);
    if (found == m_services.end() || found->second.isDirect || !relaysFailed(found->second))
        return false;
    if (m_relays.empty() || now < found->second.nextTry)
        return true;
    found->second.nextTry = now + m_settings.probeInterval;
    return false;
}

std::optional<InstanceName> EndpointPaths::drawRelay(const ServiceName& service, const std::vector<InstanceName>& asked, SteadyTime now)
{
    const Service& known = at(service);
    std::vector<InstanceName> working = known.working;
    std::erase_if(working, [&](const InstanceName& relay) { return contains(asked, relay); });
    // Some more than one are kept, so that the load is spread.
    const bool explores = known.working.size() < m_settings.relaysKept && uniform(m_random) < m_settings.exploredShare;
    if (!working.empty() && !explores)
        return working[below(m_random, working.size())];
    for (int draws = 0; draws < mostDraws && !m_relays.empty(); ++draws) {
        const InstanceName& drawn = m_relays[below(m_random, m_relays.size())];
        const auto resting = known.resting.find(drawn);
        if (!contains(asked, drawn) && (resting == known.resting.end() || resting->second <= now))
            return drawn;
    }
    return working.empty() ? std::nullopt : std::optional(working[below(m_random, working.size())]);
}

void EndpointPaths::recordDirect(const ServiceName& service, const EndpointName& endpoint, bool isConnected, SteadyTime began)
{
    Service& known = at(service);
    if (isConnected)
        noteSuccess(known, began);
    else if (!isInDoubt(known) && (!known.lastSuccessBegan || *known.lastSuccessBegan < began))
        known.failed.insert(endpoint);
}

void EndpointPaths::noteSuccess(Service& service, SteadyTime began)
{
    service.lastSuccessBegan = std::max(service.lastSuccessBegan.value_or(began), began);
    service.failed.clear();
}

void EndpointPaths::leaveOwnPath(Service& service)
{
    service.isDirect = false;
    service.probesInARow = 0;
}

void EndpointPaths::returnToOwnPath(Service& service, SteadyTime began)
{
    service.isDirect = true;
    service.failedRelays.clear();
    noteSuccess(service, began);
}

void EndpointPaths::rest(Service& service, const InstanceName& relay, SteadyTime until, SteadyTime now)
{
    std::erase(service.working, relay);
    service.missed.erase(relay);
    std::erase_if(service.resting, [now](const auto& entry) { return entry.second <= now; });
    if (service.resting.size() < mostResting)
        service.resting[relay] = until;
    if (service.failedRelays.size() < m_settings.relaysToGiveUp)
        service.failedRelays.insert(relay);
    service.nextTry = now + m_settings.probeInterval;
}

bool EndpointPaths::recordRelay(const ServiceName& service, const InstanceName& relay, RelayOutcome outcome, std::optional<SteadyTime> directBegan, SteadyTime now)
{
    Service& known = at(service);
    if (outcome == RelayOutcome::connected) {
        known.failedRelays.clear();
        known.resting.erase(relay);
        known.missed.erase(relay);
        if (!contains(known.working, relay) && known.working.size() < m_settings.relaysKept)
            known.working.push_back(relay);
        if (directBegan && isInDoubt(known) && mayRelayAfter(service, *directBegan))
            leaveOwnPath(known);
        return false;
    }
    // A relay that has worked lately says something of the endpoint; of another one it isn't known which of them is at fault.
    const bool worksElse = contains(known.working, relay) && known.missed.insert(relay).second;
    const bool blamesEndpoint = outcome == RelayOutcome::endpointUnreachable && (known.isDirect || worksElse);
    if (!blamesEndpoint)
        rest(known, relay, now + m_settings.relayRest, now);
    return !blamesEndpoint;
}

std::vector<PathProbe> EndpointPaths::takeProbes(SteadyTime now)
{
    std::vector<PathProbe> probes;
    for (auto& [name, service] : m_services) {
        if (service.isProbing || now < service.nextProbe || (service.isDirect && !isInDoubt(service)))
            continue;
        const bool needsMany = service.isDirect || relaysFailed(service);
        service.isProbing = true;
        service.nextProbe = now + m_settings.probeInterval;
        probes.push_back({ name, needsMany ? m_settings.probesInDoubt : 1 });
    }
    return probes;
}

void EndpointPaths::recordProbes(const ServiceName& service, std::size_t connected, std::size_t failed, SteadyTime began)
{
    Service& known = at(service);
    known.isProbing = false;
    if (known.isDirect) {
        if (connected > 0)
            noteSuccess(known, began);
        else if (failed > 0 && (!known.lastSuccessBegan || *known.lastSuccessBegan < began))
            leaveOwnPath(known);
        return;
    }
    known.probesInARow = failed > 0 ? 0 : known.probesInARow + static_cast<std::uint32_t>(connected);
    if (known.probesInARow >= m_settings.probesToReturn || (connected > 0 && relaysFailed(known)))
        returnToOwnPath(known, began);
}

PathChange::State EndpointPaths::stateOf(const Service& service) const
{
    if (service.isDirect)
        return PathChange::State::direct;
    return relaysFailed(service) ? PathChange::State::lost : PathChange::State::relayed;
}

std::vector<PathChange> EndpointPaths::takeChanges()
{
    std::vector<PathChange> changes;
    for (auto& [name, service] : m_services) {
        if (const PathChange::State state = stateOf(service); state != service.told) {
            service.told = state;
            changes.push_back({ name, state });
        }
    }
    return changes;
}

}
