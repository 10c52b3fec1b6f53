// The coordinator's side of permits: one pool for each service and version that this instance was asked for. SharedPlaces owns one.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/policy/PlacePool.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::router {

// Names a pool.
struct PlaceTarget {
    ServiceName service;
    std::string version;

    auto operator<=>(const PlaceTarget&) const = default;
};

class PlaceCoordinator {
public:
    // Sends a decision to its requester, which may be this instance.
    using Deliver = std::function<void(const PlaceTarget&, const policy::PermitDecision&)>;

    // The directory and the metrics must outlive the object.
    PlaceCoordinator(const endpoint::EndpointDirectory& directory, Metrics& metrics, const policy::PlacePoolSettings& settings, Deliver deliver);

    void request(const PlaceTarget& target, const policy::PermitRequest& request, SteadyTime now);
    void release(const PlaceTarget& target, const policy::PermitId& id, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime, SteadyTime now);
    void confirm(const PlaceTarget& target, const std::vector<policy::HeldPermit>& held, SteadyTime now);

    // Frees what silent instances hold, follows the directory, and drops pools that nobody has used for a while.
    void tick(SteadyTime now);

    std::optional<policy::PlacePoolState> state(const PlaceTarget& target, SteadyTime now) const;

private:
    struct Pool {
        explicit Pool(const policy::PlacePoolSettings& settings)
            : places(settings)
        {
        }

        policy::PlacePool places;
        std::vector<policy::PooledEndpoint> endpoints; // As the pool knows them.
        SteadyTime usedAt;
    };

    std::vector<policy::PooledEndpoint> endpointsOf(const PlaceTarget& target) const;
    Pool* poolFor(const PlaceTarget& target, SteadyTime now);
    void follow(const PlaceTarget& target, Pool& pool, SteadyTime now);
    void expire(const PlaceTarget& target, Pool& pool, SteadyTime now);
    void deliver(const PlaceTarget& target, const std::vector<policy::PermitDecision>& decisions);
    void show(const PlaceTarget& target, const policy::PlacePoolState& state);

    const endpoint::EndpointDirectory& m_directory;
    Metrics& m_metrics;
    const policy::PlacePoolSettings m_settings;
    const Deliver m_deliver;
    std::map<PlaceTarget, Pool> m_pools;
};

}
