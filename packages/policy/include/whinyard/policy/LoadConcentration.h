// Brings the requests of a service together on few of its endpoints for a moment, so that these bear the load that an endpoint
// has to bear where others are lost.
//
// VersionShifts asks for it in the trial of a new version, which may fail only on an endpoint that is well used; the forwarding path
// names the endpoints. All instances name the same ones. Pure.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/policy/PlacePool.h"

#include <cstdint>
#include <vector>

namespace whinyard::policy {

struct LoadConcentration {
    std::uint64_t draw = 0; // Orders the endpoints; all turns of one draw go through them in the same order.
    std::uint64_t turn = 0; // Begins at the next endpoint in order than the turn before, so that none is met more often than others.
    double requests = 0; // Of the service, that run at once.

    bool operator==(const LoadConcentration&) const = default;
};

// Returns the endpoints that take all of the requests within the larger part of their slots. Returns none where that takes all of them:
// then the load is there as it is.
std::vector<EndpointName> concentratedEndpoints(const LoadConcentration& concentration, const std::vector<PooledEndpoint>& endpoints);

}
