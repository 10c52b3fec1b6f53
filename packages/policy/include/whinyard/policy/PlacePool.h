// Grants the slots of a scarce plain service to requests of all instances: a semaphore with one bounded, fair queue.
//
// The instance that coordinates a service owns one pool for each of its versions and feeds it what the other instances send. An
// instance that has one request in flight at most can't tell by itself how full an endpoint is. Pure: times are passed in.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/policy/EndpointTable.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace whinyard::policy {

// Names a permit and the request for it, for the time that the requester needs it. Who asks again after a release or a rejection
// uses a new number: a rejection is repeated to the same one.
struct PermitId {
    InstanceName requester;
    std::uint64_t number = 0; // Unique in the lives of all processes of the instance: begins at a random one.

    auto operator<=>(const PermitId&) const = default;
};

// An endpoint whose slots are granted.
struct PooledEndpoint {
    EndpointName name;
    ZoneName zone;
    std::uint32_t slots = 0;
    bool isBrittle = false; // Gets no more permits than it has slots.

    bool operator==(const PooledEndpoint&) const = default;
};

struct PermitRequest {
    PermitId id;
    ZoneName zone; // Of the requester.
    CustomerName customer; // Empty where no key is asked for.
    std::uint8_t priority = 1; // 0 is served first, 2 last.
    std::chrono::milliseconds objectiveLeft { 0 }; // Until the answer is late; zero or less: it is already.
    std::chrono::milliseconds deadlineLeft { 0 };
    std::vector<EndpointName> excluded; // Must not be granted.

    bool operator==(const PermitRequest&) const = default;
};

enum class PermitVerdict : std::uint8_t {
    granted,
    waiting,
    rejected, // No answer in time; the request has not run.
    noEndpoint, // None that isn't excluded.
};

struct PermitDecision {
    PermitId id;
    PermitVerdict verdict = PermitVerdict::noEndpoint;
    EndpointName endpoint; // If granted.
    std::chrono::milliseconds wait { 0 }; // If waiting the expected wait; if rejected the time after which there will be room.

    bool operator==(const PermitDecision&) const = default;
};

struct HeldPermit {
    PermitId id;
    EndpointName endpoint;

    bool operator==(const HeldPermit&) const = default;
};

struct PlacePoolSettings {
    // Permits of an endpoint for each of its slots. Those beyond one keep its slots busy while a release and the next
    // request are on their way.
    double permitsPerSlot = 4.0 / 3;
    std::chrono::milliseconds permitLifetime { 800 }; // A permit that its holder has not confirmed for so long is free again.
    std::chrono::milliseconds requestLifetime { 300 }; // A waiting request that its requester has not repeated for so long is dropped.
    std::chrono::milliseconds initialServiceTime { 50 }; // Until an endpoint's first release.
    std::size_t queueCapacity = 256;
};

// What operators see.
struct PlacePoolState {
    std::size_t endpoints = 0;
    std::size_t permits = 0; // Of all endpoints together.
    std::size_t held = 0;
    std::size_t waiting = 0;
    std::chrono::milliseconds expectedWait { 0 };
};

class PlacePool {
public:
    explicit PlacePool(const PlacePoolSettings& settings = {});
    ~PlacePool();

    // Takes the endpoints that may get requests now. Permits of others stay until they are released. The decisions that this and
    // the functions below return go to their requesters.
    std::vector<PermitDecision> useEndpoints(const std::vector<PooledEndpoint>& endpoints, SteadyTime now);

    // Takes a request, or the repetition of one, which gets the same answer. The first decision is this request's own. A repetition
    // that excludes the endpoint it was granted returns that permit and is decided anew.
    std::vector<PermitDecision> request(const PermitRequest& request, SteadyTime now);

    // Takes a permit back, or a request that waits. `outcome` is nothing where the endpoint got no request under it.
    std::vector<PermitDecision> release(const PermitId& id, std::optional<EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime, SteadyTime now);

    // Takes the permits that an instance holds. Those that the pool doesn't know were granted by a coordinator before it, unless
    // they were released within permitLifetime: the report was overtaken.
    void confirm(const std::vector<HeldPermit>& held, SteadyTime now);

    // Frees the permits and drops the requests whose instances are silent, and rejects those that can't be in time any more. Call it
    // about every 50 ms: if no function was called for half of permitLifetime, the pool was suspended, and that time doesn't
    // count for permits.
    std::vector<PermitDecision> expire(SteadyTime now);

    PlacePoolState state(SteadyTime now) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
