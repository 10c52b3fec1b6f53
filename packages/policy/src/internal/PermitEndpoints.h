// The endpoints of a PlacePool: those that may get permits, and others of which permits are held.
#pragma once

#include "PermitEndpoint.h"

#include <map>

namespace whinyard::policy {

class PermitEndpoints {
public:
    struct Entry {
        EndpointName name;
        PermitEndpoint endpoint;
        std::uint64_t lastGrant = 0;
    };

    explicit PermitEndpoints(const PlacePoolSettings& settings);

    // Takes the endpoints that may get permits from now on.
    void use(const std::vector<PooledEndpoint>& endpoints);

    // Counts a permit that was granted by this pool or, if `isAdopted`, by another one.
    void take(const EndpointName& name, bool isAdopted);

    // Counts the end of a permit.
    void free(const EndpointName& name);

    // Returns an endpoint of which a permit is held.
    PermitEndpoint& at(const EndpointName& name) { return m_entries.at(name).endpoint; }

    // Returns the endpoint for the request among those with a free permit, or nothing if there is none.
    const Entry* choose(const PermitRequest& request, SteadyTime now) const;

    bool isAnyFree(SteadyTime now) const;

    // Returns whether any endpoint may get the request, now or later.
    bool hasAllowed(const PermitRequest& request) const;

    // Returns when the first endpoint that may get the request grants permits; `now` if one does already.
    SteadyTime firstGranting(const PermitRequest& request, SteadyTime now) const;

    // Returns the permits that become free per second while all are held; above zero.
    double drainRate(SteadyTime now) const;

    // Returns the time to reserve for the service of a request whose objective leaves it so much.
    std::chrono::duration<double> reservedTime(std::chrono::milliseconds objectiveLeft) const;

    std::size_t listed() const;
    std::size_t permits(SteadyTime now) const;

private:
    const PlacePoolSettings m_settings;
    std::map<EndpointName, Entry> m_entries;
    std::uint64_t m_grants = 0;
};

}
