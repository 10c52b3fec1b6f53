#include "whinyard/policy/CapacityPlan.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    std::uint32_t roundedUp(double number)
    {
        return static_cast<std::uint32_t>(std::ceil(std::max(number, 0.0)));
    }

}

CapacityPlanner::CapacityPlanner(config::CapacityLimits limits, CapacityPlanSettings settings)
    : m_limits(std::move(limits))
    , m_settings(settings)
{
}

void CapacityPlanner::noteDry(const ZoneName& zone, SteadyTime now)
{
    m_dryUntil[zone] = now + m_settings.dryFor;
}

bool CapacityPlanner::isDry(const ZoneName& zone, SteadyTime now) const
{
    const auto dry = m_dryUntil.find(zone);
    return dry != m_dryUntil.end() && now < dry->second;
}

double CapacityPlanner::priceOf(const ZoneName& zone) const
{
    const auto price = m_limits.zonePrices.find(zone);
    return price == m_limits.zonePrices.end() ? 1 : price->second;
}

std::uint32_t CapacityPlanner::neededFor(const ServiceDemand& demand, std::uint32_t slots) const
{
    const double forReading = demand.busyEndpoints / m_settings.busyPart;
    const double forSlots = demand.running / (std::max(slots, 1U) * m_settings.slotPart);
    return std::max(1U, roundedUp(std::max(forReading, forSlots) + m_settings.unservedWeight * demand.unservedPerSecond));
}

// What is there without the endpoints that stand for the loss of a zone.
std::uint32_t CapacityPlanner::withoutOneZone(std::uint32_t endpoints, std::size_t zones) const
{
    return zones > 1 ? roundedUp(endpoints * static_cast<double>(zones - 1) / static_cast<double>(zones)) : endpoints;
}

bool CapacityPlanner::isSettled(std::uint32_t present, SteadyTime now)
{
    if (present > m_mostPresent) {
        m_mostPresent = present;
        m_presentSince = now;
    }
    return m_mostPresent > 0 && now - m_presentSince >= m_settings.settleTime;
}

void CapacityPlanner::Held::note(std::uint32_t number, std::chrono::milliseconds holds, SteadyTime now)
{
    m_mostSince = std::max(m_mostSince, number);
    if (number < m_number && now - m_reachedAt < holds)
        return;
    m_number = number < m_number ? m_mostSince : number;
    m_reachedAt = now;
    m_mostSince = 0;
}

std::map<ZoneName, ZonePlan> CapacityPlanner::plan(const std::map<ZoneName, ZoneCapacity>& zones, std::uint32_t slots, const std::optional<ServiceDemand>& demand, bool isShifting, SteadyTime now)
{
    std::uint32_t present = 0;
    for (const auto& [zone, capacity] : zones)
        present += capacity.lasting + capacity.spot + capacity.startingSpot;
    const bool isFirst = needed() == 0;
    if (isFirst && (isShifting || !isSettled(present, now)))
        return {};
    if (isFirst) {
        m_needed.note(withoutOneZone(present, zones.size()), m_settings.giveBackAfter, now);
        for (const auto& [zone, capacity] : zones)
            m_lasting[zone] = capacity.lasting;
    }
    if (demand && demand->requestsPerSecond > 0)
        m_needed.note(neededFor(*demand, slots), m_settings.giveBackAfter, now);
    if (isShifting) {
        for (const auto& [zone, capacity] : zones)
            m_lasting[zone] = capacity.lasting;
        return {};
    }
    std::map<ZoneName, ZonePlan> plan = planSpot(zones, now);
    planLasting(zones, plan, now);
    return plan;
}

// Spread evenly, with so many more that the loss of one zone leaves as many as are needed. What a zone doesn't have now comes from
// the others.
std::map<ZoneName, ZonePlan> CapacityPlanner::planSpot(const std::map<ZoneName, ZoneCapacity>& zones, SteadyTime now) const
{
    const std::size_t count = zones.size();
    const std::uint32_t each = count > 1 ? roundedUp(static_cast<double>(needed()) / static_cast<double>(count - 1)) : needed();
    std::uint32_t missing = 0;
    std::uint32_t open = 0;
    std::map<ZoneName, ZonePlan> plan;
    for (const auto& [zone, capacity] : zones) {
        const std::uint32_t there = capacity.spot + capacity.startingSpot;
        const bool isShort = isDry(zone, now) && there < each;
        plan[zone].mayOrderSpot = !isDry(zone, now);
        missing += isShort ? each - there : 0;
        open += isShort ? 0 : 1;
    }
    for (auto& [zone, planned] : plan) {
        const std::uint32_t more = planned.mayOrderSpot && open > 0 ? roundedUp(static_cast<double>(missing) / open) : 0;
        planned.spot = std::min(mostSpot(zones.at(zone)), each + more);
    }
    return plan;
}

// Lasting endpoints that are there leave room as spot ones begin to serve in their place.
std::uint32_t CapacityPlanner::mostSpot(const ZoneCapacity& capacity) const
{
    return m_limits.maximum - std::min(m_limits.maximum, std::max(m_limits.minimum, capacity.lasting));
}

// Each zone keeps the fewest that are allowed. More stand in for spot endpoints that don't serve yet, or are not to be had: they come
// where they are cheapest, and go where they are dearest.
void CapacityPlanner::planLasting(const std::map<ZoneName, ZoneCapacity>& zones, std::map<ZoneName, ZonePlan>& plan, SteadyTime now)
{
    const std::uint32_t fewest = std::min(m_limits.minimum, m_limits.maximum);
    std::uint32_t serving = 0;
    std::uint32_t standIns = 0;
    for (const auto& [zone, capacity] : zones) {
        std::uint32_t& lasting = m_lasting[zone];
        lasting = std::max(lasting, fewest);
        serving += capacity.spot + fewest;
        standIns += lasting - fewest;
    }
    m_standIns.note(needed() - std::min(needed(), serving), m_settings.dismissAfter, now);
    const std::vector<ZoneName> byPrice = zonesByPrice(zones);
    for (auto zone = byPrice.rbegin(); zone != byPrice.rend(); ++zone) {
        const std::uint32_t dismissed = std::min(m_lasting[*zone] - fewest, standIns - std::min(standIns, m_standIns.number()));
        m_lasting[*zone] -= dismissed;
        standIns -= dismissed;
    }
    for (const ZoneName& zone : byPrice) {
        const std::uint32_t room = m_limits.maximum - std::min(m_limits.maximum, plan[zone].spot + m_lasting[zone]);
        const std::uint32_t added = std::min(room, m_standIns.number() - std::min(standIns, m_standIns.number()));
        m_lasting[zone] += added;
        standIns += added;
    }
    for (auto& [zone, planned] : plan) {
        planned.lasting = m_lasting[zone];
        planned.spot = std::min(planned.spot, m_limits.maximum - std::min(m_limits.maximum, planned.lasting));
    }
}

std::vector<ZoneName> CapacityPlanner::zonesByPrice(const std::map<ZoneName, ZoneCapacity>& zones) const
{
    std::vector<ZoneName> names;
    for (const auto& [zone, capacity] : zones)
        names.push_back(zone);
    std::stable_sort(names.begin(), names.end(), [this](const ZoneName& left, const ZoneName& right) { return priceOf(left) < priceOf(right); });
    return names;
}

}
