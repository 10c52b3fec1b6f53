// What SharedPlaces keeps, and the steps that its functions share: requests, permits, and who coordinates which service.
#pragma once

#include "internal/CoordinatorChoice.h"
#include "internal/PlaceCoordinator.h"
#include "whinyard/router/SharedPlaces.h"

#include <map>
#include <set>

namespace whinyard::router {

struct SharedPlaces::State {
    // A request of this instance without an answer that ends it.
    struct Asked {
        PlaceTarget target;
        InstanceName coordinator;
        policy::PermitRequest request;
        SteadyTime begun;
        SteadyTime objectiveAt;
        SteadyTime deadlineAt;
        SteadyTime sendAt; // When the request is repeated, or the coordinator counts as silent.
        std::uint32_t unanswered = 0; // Requests since the last answer.
        std::optional<PlaceAnswer> answer;
        Wakeup* wakeup = nullptr;
    };

    // A permit of this instance.
    struct Held {
        PlaceTarget target;
        InstanceName coordinator; // That granted it.
        EndpointName endpoint;
    };

    State(const SharedPlacesParts& sharedParts, const SharedPlacesSettings& sharedSettings, InstanceName instance, ZoneName ownZone, Random random)
        : parts(sharedParts)
        , settings(sharedSettings)
        , self(std::move(instance))
        , zone(std::move(ownZone))
        , choice(sharedSettings.silentFor)
        , pools(sharedParts.directory, sharedParts.metrics, sharedSettings.pool, [this](const PlaceTarget& target, const policy::PermitDecision& decision) { deliver(target, decision); })
        , lastNumber(random())
        , tickedAt(sharedParts.clock.now())
    {
    }

    SteadyTime now() const { return parts.clock.now(); }

    // Hands a decision of this instance's pools to its requester.
    void deliver(const PlaceTarget& target, const policy::PermitDecision& decision);

    // Sends a request of this instance, for the first time or again.
    void send(Asked& entry);

    void sendReturn(const InstanceName& to, const PlaceTarget& target, const policy::PermitId& id, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime);

    // Takes a coordinator's decision on a request of this instance. A grant that nobody waits for goes back.
    void takeDecision(const InstanceName& coordinator, const PlaceTarget& target, const policy::PermitDecision& decision);

    void noteSilent(const Asked& entry);

    // Returns the endpoints that this instance may not use now. The coordinator knows neither the regions of the request nor
    // what endpoints told this instance alone.
    std::vector<EndpointName> excludedBy(const PlaceWish& wish, bool& leavesNone) const;

    // Returns whether this instance was frozen until a moment ago. Requests that reached it meanwhile are older than they say.
    bool wasFrozen();

    // Finds out which services are scarce.
    void recount();

    // Notes which instances are asked now.
    void noteCoordinators();

    // Tells who granted the permits, and who would be asked now, that they are still in use.
    void tellHeld();

    void confirm(const peer::PlacesHeldNotice& notice);

    SharedPlacesParts parts;
    SharedPlacesSettings settings;
    InstanceName self;
    ZoneName zone;
    CoordinatorChoice choice;
    PlaceCoordinator pools;
    std::uint64_t lastNumber; // Begins at a random one: an earlier process may have used the same ones.
    std::map<std::uint64_t, Asked> asked;
    std::map<std::uint64_t, Held> held;
    std::set<ServiceName> shared;
    std::map<ServiceName, InstanceName> coordinators; // As the log has them.
    bool isFleetKnown = false;
    SteadyTime tickedAt;
    SteadyTime dropUntil;
    SteadyTime countAt;
    SteadyTime heldTold;

private:
    void answer(std::uint64_t number, Asked& entry, const policy::PermitDecision& decision);
    void noteAlive(const InstanceName& coordinator);
};

}
