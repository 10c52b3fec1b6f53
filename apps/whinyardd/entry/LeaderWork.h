// What one instance does for all: it reports usage to the provider and orders endpoints. Any instance that follows the store may
// become the leader; all others tell the followers what they counted.
//
// Belongs to the store duty.
#pragma once

#include "entry/EntryShared.h"
#include "entry/InstanceWatch.h"
#include "entry/RosterWatch.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/SettledWallClock.h"
#include "whinyard/leadership/LeaderLease.h"
#include "whinyard/leadership/Provider.h"
#include "whinyard/leadership/UsageReporter.h"
#include "whinyard/policy/CapacityPlan.h"
#include "whinyard/policy/ServiceDemand.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace whinyard::daemon {

class LeaderWork {
public:
    // All must outlive the object. The settings must name a provider.
    LeaderWork(EntryShared& shared, ServeDuty& serving, RosterWatch& roster, InstanceWatch& instances, backing::WatchableStore& store, std::unique_ptr<leadership::Provider> provider);

    // Takes what other instances tell.
    void takeUsage(const peer::UsageNotice& notice);
    void takeDemand(const peer::DemandNotice& notice);

    // Tells the followers what this instance counted. Call it at tellInterval().
    void tell();

    // Renews the leadership, or tries to take it where this instance follows the store. Call it about every second.
    void keepLease();

    // Notes the store's era. Call it after the first call that the store has answered.
    void observeEra() { m_lease.observeEra(); }

    // Reports the usage that is due. Call it a few times a second.
    void reportUsage();

    // Orders the endpoints that are needed. Call it a few times a second.
    void orderCapacity();

    // Returns how often instances tell: the more there are, the less often, so that a follower's load doesn't grow with them.
    std::chrono::milliseconds tellInterval() const;

    bool takesUsage() const { return m_shared.settings.provider->takesUsage; }
    bool takesOrders() const { return m_shared.settings.provider->takesOrders; }

private:
    std::vector<peer::UsageNotice> usageToTell();
    peer::DemandNotice demandToTell();
    template <typename Notice>
    void deliver(const InstanceName& target, const Notice& notice, void (LeaderWork::*take)(const Notice&));
    void forgetOldWindows();
    void noteLeadership(bool leads);
    std::set<ServiceName> servicesThatShift();
    void planFor(const config::RoutedService& service, const std::vector<backing::ListedEndpoint>& endpoints, bool isShifting);
    std::map<ZoneName, policy::ZoneCapacity> capacityOf(const ServiceName& service, const std::vector<backing::ListedEndpoint>& endpoints);
    bool place(const leadership::CapacityOrder& order, std::uint32_t present);
    bool isCold(const backing::ListedEndpoint& endpoint, std::chrono::milliseconds coldFor);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    RosterWatch& m_roster;
    InstanceWatch& m_instances;
    std::unique_ptr<leadership::Provider> m_provider;
    const std::uint64_t m_life; // Names this process's notices.
    leadership::LeaderLease m_lease;
    leadership::UsageTotals m_totals;
    leadership::UsageReporter m_reporter;
    policy::DemandMeter m_demand;
    SettledWallClock m_wallClock;
    bool m_leads = false;
    SteadyTime m_leadsSince;
    bool m_isNewLeader = false; // Another instance may have reported since this one did.
    std::set<InstanceName> m_toldTo; // The followers, when this instance told last.

    struct Placed {
        std::uint32_t desired = 0;
        SteadyTime at;
    };

    std::map<ServiceName, policy::CapacityPlanner> m_planners;
    std::map<std::pair<ServiceName, std::pair<ZoneName, bool>>, Placed> m_placed; // Orders that were accepted from this leader.
    std::map<EndpointName, SteadyTime> m_seenAt; // When an endpoint that starts was listed first.
};

}
