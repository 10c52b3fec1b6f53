#include "entry/LeaderWork.h"

#include "Shared.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds shortestTellInterval { 400 };
    constexpr std::chrono::milliseconds tellIntervalPerInstance { 4 }; // A follower takes 250 tellings a second at the most.

    // An order of the same number is repeated after the time that its endpoints take to start and as much again: some may have been
    // lost meanwhile.
    constexpr std::chrono::milliseconds repeatOrderAfter { 10'000 };

    constexpr std::chrono::milliseconds untilToldAll { 1'500 };

    leadership::LeaderLeaseSettings leaseSettings(const settings::EntrySettings& settings)
    {
        leadership::LeaderLeaseSettings lease;
        lease.timeToLive = std::max(settings.bounds.leaderGap, settings.store.shortestLease) + leadership::Provider::callTimeout;
        return lease;
    }

    leadership::UsageReporterSettings reporterSettings(const settings::ServiceBounds& bounds)
    {
        leadership::UsageReporterSettings reporter;
        reporter.windowLength = bounds.usageWindow;
        reporter.due = bounds.usageDue;
        return reporter;
    }

    std::string outcomeOf(std::optional<leadership::ProviderAnswer> answer, const Failure& failure)
    {
        if (!answer)
            return failure.reason;
        switch (*answer) {
        case leadership::ProviderAnswer::accepted:
            return "accepted";
        case leadership::ProviderAnswer::noCapacity:
            return "none to be had";
        case leadership::ProviderAnswer::refused:
            break;
        }
        return "refused";
    }

    // Splits a window into notices that fit into a datagram.
    std::vector<leadership::UsageWindow> partsOf(const leadership::UsageWindow& window)
    {
        std::vector<leadership::UsageWindow> parts;
        for (const auto& entry : window.counts) {
            if (parts.empty() || parts.back().counts.size() == peer::mostCustomers)
                parts.push_back({ window.number, {} });
            parts.back().counts.insert(entry);
        }
        return parts;
    }

}

LeaderWork::LeaderWork(EntryShared& shared, ServeDuty& serving, RosterWatch& roster, InstanceWatch& instances, backing::WatchableStore& store, std::unique_ptr<leadership::Provider> provider)
    : m_shared(shared)
    , m_serving(serving)
    , m_roster(roster)
    , m_instances(instances)
    , m_provider(std::move(provider))
    , m_life(seededRandom()())
    , m_lease(store, shared.clock, shared.settings.instance, leaseSettings(shared.settings))
    , m_reporter(store, *m_provider, m_lease, m_totals, shared.settings.instance, reporterSettings(shared.settings.bounds))
    , m_wallClock(shared.clock)
{
}

std::chrono::milliseconds LeaderWork::tellInterval() const
{
    return std::max<std::chrono::milliseconds>(shortestTellInterval, tellIntervalPerInstance * static_cast<int>(m_instances.size()));
}

void LeaderWork::takeUsage(const peer::UsageNotice& notice)
{
    m_totals.take(notice.instance, notice.life, notice.window);
}

void LeaderWork::takeDemand(const peer::DemandNotice& notice)
{
    for (const policy::ServiceLoad& load : notice.loads)
        m_demand.take(notice.instance, notice.life, load, m_shared.clock.now());
}

void LeaderWork::tell()
{
    const std::vector<InstanceName> followers = m_roster.followers();
    // While the store is away nobody follows it, and those who did will lead again.
    const std::set<InstanceName> targets = followers.empty() ? m_toldTo : std::set<InstanceName>(followers.begin(), followers.end());
    const bool hasNew = std::any_of(targets.begin(), targets.end(), [this](const InstanceName& name) { return !m_toldTo.contains(name); });
    m_toldTo = targets;
    if (targets.empty())
        return; // Nobody was ever heard of.
    if (hasNew)
        m_serving.tellUsageAgain();
    const std::vector<peer::UsageNotice> usage = usageToTell();
    const peer::DemandNotice demand = demandToTell();
    for (const InstanceName& target : targets) {
        for (const peer::UsageNotice& notice : usage)
            deliver(target, notice, &LeaderWork::takeUsage);
        if (!demand.loads.empty())
            deliver(target, demand, &LeaderWork::takeDemand);
    }
    forgetOldWindows();
}

std::vector<peer::UsageNotice> LeaderWork::usageToTell()
{
    std::vector<peer::UsageNotice> notices;
    if (!takesUsage())
        return notices;
    for (const leadership::UsageWindow& window : m_serving.takeUsageNews()) {
        for (leadership::UsageWindow& part : partsOf(window))
            notices.push_back({ m_shared.settings.instance, m_life, std::move(part) });
    }
    return notices;
}

peer::DemandNotice LeaderWork::demandToTell()
{
    std::vector<policy::ServiceLoad> loads;
    if (takesOrders())
        loads = m_serving.loads();
    loads.resize(std::min(loads.size(), peer::mostLoads));
    return { m_shared.settings.instance, m_life, std::move(loads) };
}

// A follower takes what it counted itself without a datagram.
template <typename Notice>
void LeaderWork::deliver(const InstanceName& target, const Notice& notice, void (LeaderWork::*take)(const Notice&))
{
    if (target == m_shared.settings.instance)
        (this->*take)(notice);
    else if (const std::optional<net::Address> address = m_instances.addressOf(target))
        m_serving.sendTo(*address, notice);
}

void LeaderWork::forgetOldWindows()
{
    const settings::ServiceBounds& bounds = m_shared.settings.bounds;
    const auto kept = static_cast<leadership::WindowNumber>(2 * bounds.usageDue / bounds.usageWindow);
    const leadership::WindowNumber present = leadership::windowAt(m_wallClock.now(), bounds.usageWindow);
    m_totals.forgetBefore(present - std::min(present, kept));
}

void LeaderWork::keepLease()
{
    Failure failure;
    m_lease.observeEra();
    if (m_shared.draining || !m_roster.isFollower()) {
        m_lease.resign();
        noteLeadership(false);
        return;
    }
    noteLeadership(m_lease.turn(failure));
}

void LeaderWork::noteLeadership(bool leads)
{
    m_shared.metrics.set("whinyard_leads", leads ? 1 : 0);
    if (std::exchange(m_leads, leads) == leads)
        return;
    const std::optional<std::uint64_t> fence = m_lease.fenceFor(std::chrono::milliseconds(0));
    log::info(leads ? "leads" : "no longer leads", { { "instance", m_shared.settings.instance.value }, { "fence", std::to_string(fence.value_or(0)) }, { "leader", m_lease.leader().value } });
    m_isNewLeader = true;
    m_leadsSince = m_shared.clock.now();
    m_placed.clear();
}

void LeaderWork::reportUsage()
{
    Failure failure;
    // Instances begin to tell a new follower what they counted when they hear of it.
    if (!m_leads || !m_lease.isHeld() || m_shared.clock.now() - m_leadsSince < untilToldAll)
        return;
    if (std::exchange(m_isNewLeader, false))
        m_reporter.reset();
    if (!m_reporter.turn(m_wallClock.now(), failure))
        log::info("usage not reported", { { "reason", failure.reason } });
}

void LeaderWork::orderCapacity()
{
    const std::shared_ptr<const config::RoutingTable> routing = m_shared.routing.newest();
    if (!m_leads || !routing)
        return;
    const std::set<ServiceName> shifting = servicesThatShift();
    const std::vector<backing::ListedEndpoint> endpoints = m_roster.endpoints();
    for (const config::RoutedService& service : routing->routing().services) {
        if (service.capacity)
            planFor(service, endpoints, shifting.contains(service.name));
    }
}

std::set<ServiceName> LeaderWork::servicesThatShift()
{
    const auto running = m_serving.askShifts([](policy::VersionShifts& shifts) {
        std::set<ServiceName> names;
        for (const ServiceName& service : shifts.services()) {
            if (shifts.isRunning(service))
                names.insert(service);
        }
        return names;
    });
    return running.value_or(std::set<ServiceName>());
}

void LeaderWork::planFor(const config::RoutedService& service, const std::vector<backing::ListedEndpoint>& endpoints, bool isShifting)
{
    const SteadyTime now = m_shared.clock.now();
    if (const auto known = m_planners.find(service.name); known != m_planners.end() && known->second.limits() != *service.capacity)
        m_planners.erase(known);
    policy::CapacityPlanner& planner = m_planners.try_emplace(service.name, *service.capacity).first->second;
    const std::map<ZoneName, policy::ZoneCapacity> zones = capacityOf(service.name, endpoints);
    const std::optional<policy::ServiceDemand> demand = m_demand.demand(service.name, now);
    const std::uint32_t needed = planner.needed();
    const std::map<ZoneName, policy::ZonePlan> plan = planner.plan(zones, service.slots, demand, isShifting, now);
    if (planner.needed() != needed)
        log::info("endpoints needed", { { "service", service.name.value }, { "needed", std::to_string(planner.needed()) }, { "before", std::to_string(needed) }, { "busyEndpoints", std::to_string(demand ? demand->busyEndpoints : 0) }, { "running", std::to_string(demand ? demand->running : 0) }, { "requestsPerSecond", std::to_string(demand ? demand->requestsPerSecond : 0) }, { "unservedPerSecond", std::to_string(demand ? demand->unservedPerSecond : 0) } });
    for (const auto& [zone, planned] : plan) {
        const policy::ZoneCapacity& capacity = zones.at(zone);
        if (planned.mayOrderSpot && !place({ service.name, zone, true, planned.spot }, capacity.spot + capacity.startingSpot))
            planner.noteDry(zone, m_shared.clock.now());
        place({ service.name, zone, false, planned.lasting }, capacity.lasting);
    }
}

std::map<ZoneName, policy::ZoneCapacity> LeaderWork::capacityOf(const ServiceName& service, const std::vector<backing::ListedEndpoint>& endpoints)
{
    const std::shared_ptr<const config::RoutingTable> routing = m_shared.routing.newest();
    const config::RoutedService* routed = routing->findService(service);
    std::map<ZoneName, policy::ZoneCapacity> zones;
    for (const auto& [zone, price] : routed->capacity->zonePrices)
        zones[zone];
    for (const backing::ListedEndpoint& endpoint : endpoints) {
        if (endpoint.service != service)
            continue;
        policy::ZoneCapacity& capacity = zones[endpoint.zone];
        if (endpoint.leaving)
            continue;
        if (!endpoint.isSpot)
            ++capacity.lasting;
        else
            ++(isCold(endpoint, routed->coldFor) ? capacity.startingSpot : capacity.spot);
    }
    std::erase_if(m_seenAt, [&](const auto& entry) { return std::none_of(endpoints.begin(), endpoints.end(), [&](const auto& listed) { return listed.name == entry.first; }); });
    return zones;
}

bool LeaderWork::isCold(const backing::ListedEndpoint& endpoint, std::chrono::milliseconds coldFor)
{
    const SteadyTime now = m_shared.clock.now();
    const SteadyTime seenAt = m_seenAt.try_emplace(endpoint.name, now).first->second;
    return now - seenAt < std::max(endpoint.coldLeft, coldFor);
}

// Returns false where the provider has none.
bool LeaderWork::place(const leadership::CapacityOrder& order, std::uint32_t present)
{
    const SteadyTime now = m_shared.clock.now();
    const auto key = std::pair { order.service, std::pair { order.zone, order.isSpot } };
    const auto placed = m_placed.find(key);
    const bool isNew = placed == m_placed.end() ? order.desired != present : order.desired != placed->second.desired;
    const bool isRepeated = placed != m_placed.end() && present < order.desired && now - placed->second.at >= repeatOrderAfter;
    if (!isNew && !isRepeated)
        return true;
    const std::optional<std::uint64_t> fence = m_lease.fenceFor(leadership::Provider::callTimeout);
    if (!fence)
        return true;
    Failure failure;
    const std::optional<leadership::ProviderAnswer> answer = m_provider->order(order, { m_shared.settings.instance, *fence }, failure);
    log::info("endpoints ordered", { { "service", order.service.value }, { "zone", order.zone.value }, { "kind", order.isSpot ? "spot" : "lasting" }, { "desired", std::to_string(order.desired) }, { "present", std::to_string(present) }, { "fence", std::to_string(*fence) }, { "outcome", outcomeOf(answer, failure) } });
    m_shared.metrics.add("whinyard_capacity_orders_total");
    if (answer == leadership::ProviderAnswer::noCapacity)
        return false;
    if (answer)
        m_placed[key] = { order.desired, now };
    return true;
}

}
