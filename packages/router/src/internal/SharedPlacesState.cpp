#include "internal/SharedPlacesState.h"

#include "whinyard/base/Log.h"
#include "whinyard/router/Forwarder.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

namespace {

    using std::chrono::milliseconds;

    milliseconds timeUntil(SteadyTime at, SteadyTime now)
    {
        return std::max(std::chrono::duration_cast<milliseconds>(at - now), milliseconds(0));
    }

}

void SharedPlaces::State::deliver(const PlaceTarget& target, const policy::PermitDecision& decision)
{
    if (decision.id.requester == self)
        takeDecision(self, target, decision);
    else
        parts.transport.send(decision.id.requester, peer::PlaceAnswerNotice { self, target.service, target.version, decision });
}

void SharedPlaces::State::send(Asked& entry)
{
    entry.request.objectiveLeft = timeUntil(entry.objectiveAt, now());
    entry.request.deadlineLeft = timeUntil(entry.deadlineAt, now());
    entry.sendAt = now() + settings.retransmitAfter;
    ++entry.unanswered;
    if (entry.coordinator == self)
        pools.request(entry.target, entry.request, now());
    else
        parts.transport.send(entry.coordinator, peer::PlaceRequestNotice { entry.target.service, entry.target.version, entry.request });
}

void SharedPlaces::State::sendReturn(const InstanceName& to, const PlaceTarget& target, const policy::PermitId& id, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime)
{
    if (to == self)
        pools.release(target, id, outcome, serviceTime, now());
    else
        parts.transport.send(to, peer::PlaceReturnNotice { target.service, target.version, id, outcome, std::chrono::duration_cast<std::chrono::microseconds>(serviceTime) });
}

void SharedPlaces::State::takeDecision(const InstanceName& coordinator, const PlaceTarget& target, const policy::PermitDecision& decision)
{
    const std::uint64_t number = decision.id.number;
    const auto entry = asked.find(number);
    if (entry != asked.end() && entry->second.coordinator == coordinator && !entry->second.answer) {
        noteAlive(coordinator);
        answer(number, entry->second, decision);
        return;
    }
    // A repeated grant of a permit that is in use says nothing new. Any other one came too late.
    if (decision.verdict != policy::PermitVerdict::granted || held.contains(number))
        return;
    parts.metrics.add("whinyard_places_late_total");
    sendReturn(coordinator, target, decision.id, std::nullopt, {});
}

void SharedPlaces::State::answer(std::uint64_t number, Asked& entry, const policy::PermitDecision& decision)
{
    entry.unanswered = 0;
    PlaceAnswer given;
    switch (decision.verdict) {
    case policy::PermitVerdict::waiting:
        entry.sendAt = now() + settings.repeatWaiting;
        return;
    case policy::PermitVerdict::granted:
        given = { .kind = PlaceAnswer::Kind::granted, .permit = number, .endpoint = decision.endpoint, .retryAfter = {} };
        held[number] = { entry.target, entry.coordinator, decision.endpoint };
        break;
    case policy::PermitVerdict::rejected:
        given = { .kind = PlaceAnswer::Kind::rejected, .permit = 0, .endpoint = {}, .retryAfter = decision.wait };
        break;
    case policy::PermitVerdict::noEndpoint:
        break;
    }
    entry.answer = given;
    if (entry.wakeup)
        entry.wakeup->notify();
}

void SharedPlaces::State::noteAlive(const InstanceName& coordinator)
{
    if (choice.noteAlive(coordinator))
        log::info("coordinator of slots answers again", { { "coordinator", coordinator.value } });
}

void SharedPlaces::State::noteSilent(const Asked& entry)
{
    parts.metrics.add("whinyard_place_coordinators_silent_total");
    if (choice.noteSilent(entry.coordinator, now()))
        log::info("coordinator of slots is silent", { { "service", entry.target.service.value }, { "coordinator", entry.coordinator.value } });
}

std::vector<EndpointName> SharedPlaces::State::excludedBy(const PlaceWish& wish, bool& leavesNone) const
{
    endpoint::EndpointWish wished;
    wished.version = targetName(wish.service, wish.version);
    wished.excluded = wish.excluded;
    wished.residency = wish.residency;
    std::vector<EndpointName> excluded = wish.excluded;
    leavesNone = true;
    for (const policy::PooledEndpoint& endpoint : parts.directory.liveEndpoints(wished.version)) {
        const bool isUsable = parts.directory.chooseNamed(endpoint.name, wished, now()).has_value();
        leavesNone = leavesNone && !isUsable;
        if (!isUsable && std::find(excluded.begin(), excluded.end(), endpoint.name) == excluded.end())
            excluded.push_back(endpoint.name);
    }
    excluded.resize(std::min(excluded.size(), peer::mostExcludedPlaces));
    return excluded;
}

bool SharedPlaces::State::wasFrozen()
{
    if (now() - tickedAt > settings.frozenBeyond) {
        tickedAt = now();
        dropUntil = now() + settings.dropAfterFreeze;
        parts.metrics.add("whinyard_place_freezes_total");
    }
    return now() < dropUntil;
}

void SharedPlaces::State::recount()
{
    countAt = now() + settings.recountInterval;
    const std::size_t instances = parts.directory.instances();
    std::set<ServiceName> scarce;
    const std::shared_ptr<const config::RoutingTable> table = parts.routing.newest();
    if (table && isFleetKnown) {
        for (const config::RoutedService& service : table->routing().services) {
            const bool isPlain = service.models.empty() && service.slots == 0;
            if (isPlain && parts.directory.slotsBelow(service.name, instances))
                scarce.insert(service.name);
        }
    }
    for (const ServiceName& service : scarce) {
        if (!shared.contains(service))
            log::info("slots of the service are shared", { { "service", service.value }, { "slots", std::to_string(parts.directory.slotsBelow(service, instances).value_or(0)) }, { "instances", std::to_string(instances) } });
    }
    for (const ServiceName& service : shared) {
        if (!scarce.contains(service))
            log::info("slots of the service are no longer shared", { { "service", service.value }, { "instances", std::to_string(instances) } });
    }
    shared = std::move(scarce);
    parts.metrics.set("whinyard_services_shared", static_cast<double>(shared.size()));
}

void SharedPlaces::State::noteCoordinators()
{
    std::erase_if(coordinators, [this](const auto& entry) { return !shared.contains(entry.first); });
    for (const ServiceName& service : shared) {
        const InstanceName current = choice.current(service).value_or(InstanceName {});
        InstanceName& known = coordinators[service];
        if (known == current)
            continue;
        log::info("coordinator of slots changed", { { "service", service.value }, { "from", known.value }, { "to", current.value } });
        known = current;
        // It hears of the permits that are out before it grants many.
        heldTold = {};
    }
}

void SharedPlaces::State::tellHeld()
{
    if (now() - heldTold < settings.heldInterval)
        return;
    heldTold = now();
    std::map<std::pair<InstanceName, PlaceTarget>, std::vector<peer::NoticedPermit>> notices;
    for (const auto& [number, permit] : held) {
        std::set<InstanceName> targets { permit.coordinator };
        if (const std::optional<InstanceName> current = choice.current(permit.target.service))
            targets.insert(*current);
        for (const InstanceName& to : targets)
            notices[{ to, permit.target }].push_back({ number, permit.endpoint });
    }
    for (const auto& [to, permits] : notices) {
        for (std::size_t begin = 0; begin < permits.size(); begin += peer::mostHeldPlaces) {
            const std::size_t end = std::min(begin + peer::mostHeldPlaces, permits.size());
            const peer::PlacesHeldNotice notice { self, to.second.service, to.second.version, { permits.begin() + static_cast<std::ptrdiff_t>(begin), permits.begin() + static_cast<std::ptrdiff_t>(end) } };
            if (to.first == self)
                confirm(notice);
            else
                parts.transport.send(to.first, notice);
        }
    }
}

void SharedPlaces::State::confirm(const peer::PlacesHeldNotice& notice)
{
    std::vector<policy::HeldPermit> permits;
    for (const peer::NoticedPermit& permit : notice.permits)
        permits.push_back({ { notice.requester, permit.number }, permit.endpoint });
    pools.confirm({ notice.service, notice.version }, permits, now());
}
}
