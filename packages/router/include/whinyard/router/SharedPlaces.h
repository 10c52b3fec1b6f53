// Grants of a scarce plain service's slots among all instances: the requester's side and the coordinator's.
//
// The instance that rendezvous hashing of service and instance puts first coordinates a service; there is no election, and each
// instance decides by the list that it has. No promise rests on a message: without an answer the instance chooses an endpoint by
// itself, and the endpoints' own limits bear what two coordinators grant at a time. The daemon feeds it notices, the list of
// instances and a tick; ForwardRun asks it through PlaceBroker. Belongs to the serve duty.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/base/Random.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/peer/Notices.h"
#include "whinyard/router/Fibers.h"
#include "whinyard/router/PlaceBroker.h"
#include "whinyard/router/RoutingSource.h"

#include <memory>
#include <optional>
#include <vector>

namespace whinyard::router {

// Sends notices to other instances; they may be lost, delayed or reordered.
class PlaceTransport {
public:
    virtual ~PlaceTransport() = default;

    // Sends a notice to an instance. One that isn't known gets none.
    virtual void send(const InstanceName& to, const peer::Notice& notice) = 0;
};

struct SharedPlacesSettings {
    std::chrono::milliseconds retransmitAfter { 40 }; // Many times the way there and back within a region.
    std::uint32_t tries = 2; // Requests without any answer, after which the coordinator counts as silent.
    // Between the repetitions of a request that waits: a lost grant is noticed, and the request is not dropped as abandoned.
    std::chrono::milliseconds repeatWaiting { 100 };
    std::chrono::milliseconds silentFor { 1'000 }; // Until a silent coordinator is asked again, by one request.
    std::chrono::milliseconds heldInterval { 250 };
    // An instance whose ticks are further apart was frozen: requests that reached it meanwhile are dropped for a moment, since
    // their remaining times passed unnoticed. Requesters that still wait repeat theirs.
    std::chrono::milliseconds frozenBeyond { 400 };
    std::chrono::milliseconds dropAfterFreeze { 20 };
    std::chrono::milliseconds recountInterval { 250 }; // Between two looks at which services are scarce.
    policy::PlacePoolSettings pool {};
};

// All must outlive the object.
struct SharedPlacesParts {
    const Clock& clock;
    Metrics& metrics;
    const RoutingSource& routing;
    endpoint::EndpointDirectory& directory;
    Fibers& fibers;
    PlaceTransport& transport;
};

class SharedPlaces final : public PlaceBroker {
public:
    SharedPlaces(const SharedPlacesParts& parts, const SharedPlacesSettings& settings, InstanceName self, ZoneName zone, Random random);
    ~SharedPlaces() override;

    // Takes the instances that live, this one included. Before the first call no service is shared.
    void useInstances(const std::vector<InstanceName>& instances);

    // Tells that a configuration, an evacuation or a list of endpoints has come.
    void noteNews();

    // Looks at which services are scarce, frees permits of silent instances and tells which ones this instance holds. Call it
    // about every 50 ms.
    void tick();

    void take(const peer::PlaceRequestNotice& notice);
    void take(const peer::PlaceAnswerNotice& notice);
    void take(const peer::PlaceReturnNotice& notice);
    void take(const peer::PlacesHeldNotice& notice);

    bool isShared(const ServiceName& service) const override;
    PlaceAnswer acquire(const PlaceWish& wish, const std::function<bool()>& isGivenUp) override;
    void giveBack(std::uint64_t permit, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime) override;

    // The steps of acquire(), for callers that don't wait in a fiber. Sends the request and returns its number.
    std::uint64_t begin(const PlaceWish& wish);

    // Sends the request again where that is due. Returns the answer, once; the number is then no longer known. Call it no later
    // than nextLook().
    std::optional<PlaceAnswer> poll(std::uint64_t number);

    // Returns when poll() may have something to do without a notice.
    SteadyTime nextLook(std::uint64_t number) const;

    // Withdraws a request. A permit that was granted meanwhile goes back.
    void abandon(std::uint64_t number);

    // Returns how many permits this instance holds, and how many of its requests have no answer yet.
    std::size_t held() const;
    std::size_t waiting() const;

    // Returns the state of the pool that this instance keeps as a coordinator; nothing without one.
    std::optional<policy::PlacePoolState> poolState(const ServiceName& service, const std::string& version) const;

    // Returns which instance is asked for the service's permits now; nothing while none can be.
    std::optional<InstanceName> coordinatorOf(const ServiceName& service) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
