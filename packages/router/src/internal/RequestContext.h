// What is known of one request while it runs: who asked, until when, which attempts were made, and
// the writer of its time line.
#pragma once

#include "internal/CapacityQueue.h"
#include "internal/QueryGuard.h"
#include "whinyard/config/Document.h"
#include "whinyard/endpoint/Attempt.h"
#include "whinyard/router/Router.h"

#include <set>
#include <string>
#include <vector>

namespace whinyard::router {

class AttemptWatch;

// The parts of an event that its writer states; the rest comes from the request.
struct EventDetail {
    std::uint32_t attempt = 0;
    EndpointName endpoint {};
    VersionName version {};
    std::uint64_t amount = 0;
    std::string reason {};
};

// How the rating service has answered lately.
struct RatingExperience {
    std::chrono::microseconds time { 50'000 }; // Moving mean.
    std::optional<SteadyTime> failedAt; // The last failure that no rating has followed.
};

// The router's parts and settings with its state, as the units of the path share them.
struct RouterCore {
    RouterParts parts;
    RouterSettings settings;
    Random random;
    policy::RetryBudget retryBudget;
    policy::CascadePlanner cascades;
    RatingExperience ratings {};
    policy::RetryBudget redispatchBudget;
    std::set<AttemptWatch*> watches {}; // Of the attempts that wait now.
    CapacityQueue capacity {};
    std::uint64_t lastSequence = 0;
    std::uint64_t usedRevision = 0; // Of the configuration that limits and judgement were told.
    std::size_t active = 0;
    bool draining = false;
    std::set<ZoneName> evacuated {}; // As the directory knows them.

    // Has endpoints chosen outside the zones that the newest configuration evacuates. Every dispatch asks for it in the gate before.
    void followEvacuations()
    {
        const std::shared_ptr<const config::Configuration> newest = parts.configuration.newest();
        std::set<ZoneName> zones;
        for (const config::Evacuation& evacuation : newest->document.evacuations)
            zones.insert(evacuation.name);
        if (zones == evacuated)
            return;
        evacuated = std::move(zones);
        parts.directory.useEvacuatedZones(evacuated, parts.clock.now());
    }
};

class RequestContext {
public:
    // Begins a request that arrived now.
    RequestContext(RouterCore& core, const RequestId& request);

    // Records an event of this request's time line.
    void record(EventKind kind, EventDetail detail = {}) const;

    SteadyTime now() const { return core.parts.clock.now(); }

    // Returns the time until the deadline, at least zero.
    std::chrono::milliseconds timeLeft() const;

    // Takes what is asked: from now on the request is kept from endpoints that it would end.
    void useContent(const RequestContent& content, std::vector<PartDigest> parts = {});

    // Adds an attempt and returns its identity. Its account is `accounts.back()`.
    endpoint::AttemptId beginAttempt();

    // Returns the last reason with the run state that the attempts so far prove.
    Failure judged(Failure failure) const;

    RouterCore& core;
    const RequestId id;
    const SteadyTime arrived;
    SteadyTime deadline;
    std::shared_ptr<const config::Configuration> configuration; // In force at arrival.
    CustomerName customer;
    std::uint8_t priority = 1;
    std::optional<QueryGuard> guard; // Once it is known what is asked.
    std::vector<endpoint::AttemptAccount> accounts; // Of the attempts, in order.
    const net::HttpResponder* caller = nullptr; // Null for a forwarded call.
    std::uint32_t redispatches = 0;
    RunState recorded = RunState::notRun; // What the intent ledger's record says of earlier requests for the same call.
    std::uint64_t innerUnits = 0; // Cost of the attempts so far, in the unit of UsageLine::innerUnits.
};

// Returns the identity for the next request of this incarnation.
RequestId nextRequestId(RouterCore& core);

}
