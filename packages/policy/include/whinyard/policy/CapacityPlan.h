// How many endpoints of a service are to be ordered in each zone, lasting ones and spot ones.
//
// Spot endpoints cost a fraction, and a zone's may all be taken away within seconds. So the plan carries the demand on spot
// endpoints that are spread over the zones, with as many more as the loss of one zone takes, and lets lasting ones stand in while
// they are missing. Pure: the leader's daemon tells it what is there and carries out what it says.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/config/Routing.h"
#include "whinyard/policy/ServiceDemand.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace whinyard::policy {

struct CapacityPlanSettings {
    // Of an endpoint's time, that reading prompts may take: beyond it they wait for each other, and streams for them.
    double busyPart = 0.4;
    double slotPart = 0.4; // Of an endpoint's slots, that may be taken.
    double unservedWeight = 0.1; // Endpoints beside those, for each unserved request a second.
    std::chrono::milliseconds giveBackAfter { 10'000 }; // Demand counts for so long after it has fallen.
    std::chrono::milliseconds dismissAfter { 3'000 }; // Lasting endpoints that stood in for spot ones stay for so long.
    std::chrono::milliseconds dryFor { 2'000 }; // After the provider had none of a kind in a zone.
    std::chrono::milliseconds settleTime { 2'500 }; // Until the endpoints that are there at a start are listed.
};

// The endpoints of a service in one zone that take work, or will.
struct ZoneCapacity {
    std::uint32_t lasting = 0;
    std::uint32_t spot = 0; // That serve by now.
    std::uint32_t startingSpot = 0; // Cold.
};

// What is to be ordered in one zone.
struct ZonePlan {
    std::uint32_t lasting = 0;
    std::uint32_t spot = 0;
    bool mayOrderSpot = true; // None are to be had now otherwise.

    bool operator==(const ZonePlan&) const = default;
};

class CapacityPlanner {
public:
    explicit CapacityPlanner(config::CapacityLimits limits, CapacityPlanSettings settings = {});

    // Notes that the provider had no spot endpoints there.
    void noteDry(const ZoneName& zone, SteadyTime now);

    // Returns what to order; nothing until the endpoints have been known for a while. `zones` holds every zone in which the service may
    // run, `slots` is what one endpoint runs at once, `demand` is empty as long as it isn't known. At first as many are needed as
    // there are, since nothing tells yet that they aren't.
    // While a version is brought in, the provider runs lasting endpoints of it beside the old ones, and a number that is ordered doesn't
    // say which of them are to end: nothing is ordered then, and the plan goes on from what is there afterwards.
    std::map<ZoneName, ZonePlan> plan(const std::map<ZoneName, ZoneCapacity>& zones, std::uint32_t slots, const std::optional<ServiceDemand>& demand, bool isShifting, SteadyTime now);

    const config::CapacityLimits& limits() const { return m_limits; }

    // Returns how many endpoints the last plan took to be needed.
    std::uint32_t needed() const { return m_needed.number(); }

private:
    // A number that rises at once, and falls to the most of the time after it was reached last.
    class Held {
    public:
        void note(std::uint32_t number, std::chrono::milliseconds holds, SteadyTime now);
        std::uint32_t number() const { return m_number; }

    private:
        std::uint32_t m_number = 0;
        SteadyTime m_reachedAt;
        std::uint32_t m_mostSince = 0;
    };

    bool isSettled(std::uint32_t present, SteadyTime now);
    std::uint32_t neededFor(const ServiceDemand& demand, std::uint32_t slots) const;
    std::uint32_t withoutOneZone(std::uint32_t endpoints, std::size_t zones) const;
    std::map<ZoneName, ZonePlan> planSpot(const std::map<ZoneName, ZoneCapacity>& zones, SteadyTime now) const;
    std::uint32_t mostSpot(const ZoneCapacity& capacity) const;
    void planLasting(const std::map<ZoneName, ZoneCapacity>& zones, std::map<ZoneName, ZonePlan>& plan, SteadyTime now);
    std::vector<ZoneName> zonesByPrice(const std::map<ZoneName, ZoneCapacity>& zones) const;
    double priceOf(const ZoneName& zone) const;
    bool isDry(const ZoneName& zone, SteadyTime now) const;

    const config::CapacityLimits m_limits;
    const CapacityPlanSettings m_settings;
    std::uint32_t m_mostPresent = 0; // Before the first plan.
    SteadyTime m_presentSince;
    Held m_needed; // Zero before the first plan.
    Held m_standIns; // Lasting endpoints beyond the fewest.
    std::map<ZoneName, std::uint32_t> m_lasting; // As planned last.
    std::map<ZoneName, SteadyTime> m_dryUntil;
};

}
