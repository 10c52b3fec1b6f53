// Whether this instance reaches the endpoints of each service by itself, and by way of which other instance it reaches them else.
//
// Connects that fail don't tell a lost path from endpoints that have ended. What tells them apart is another instance that
// connects to an endpoint which this one doesn't reach, or a round of probes to several endpoints of the service that all fail.
// From then on requests go by way of relays, until probes of the own path succeed several times in a row. Where no relay reaches
// the endpoints either, requests are refused at once.
//
// The forwarder owns one and tells it how connects and probes end. Pure: no I/O, no clock of its own. Its memory for a service
// is bounded whatever the number of instances and endpoints.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Random.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::policy {

struct EndpointPathSettings {
    std::chrono::milliseconds probeInterval { 250 };
    std::uint32_t probesInDoubt = 4; // Of one round, to different endpoints; all of them must fail.
    std::uint32_t probesToReturn = 4; // That succeed in a row before requests go by the own path again.
    std::size_t failuresInDoubt = 2; // Different endpoints without a success between, before the own path is probed.
    std::chrono::milliseconds relayRest { 1'000 }; // Until a relay that failed or declined is asked again.
    std::size_t relaysKept = 8; // That worked last.
    double exploredShare = 0.1; // Of requests that ask another relay than these while there are fewer.
    std::size_t relaysToGiveUp = 8; // Different ones that failed without a success between.
};

// How a request to connect by way of a relay ended.
enum class RelayOutcome : std::uint8_t {
    connected,
    endpointUnreachable, // The relay didn't reach the endpoint.
    declined, // It reaches no endpoint of the service itself, has no room, or knows no such endpoint.
    unreachable, // The relay gave no answer.
};

// What is to be probed: that many different endpoints of a service.
struct PathProbe {
    ServiceName service;
    std::size_t endpoints = 0;
};

struct PathChange {
    enum class State : std::uint8_t {
        direct,
        relayed,
        lost, // No relay reaches the endpoints either.
    };

    ServiceName service;
    State state = State::direct;
};

class EndpointPaths {
public:
    EndpointPaths(const EndpointPathSettings& settings, Random random);

    // Takes the other instances that live.
    void useRelays(std::vector<InstanceName> relays);

    // Returns whether requests for the service go to its endpoints by the own path.
    bool isDirect(const ServiceName& service) const;

    // Returns whether a relay may be asked for an endpoint to which a direct connect has failed that began at `began`.
    bool mayRelayAfter(const ServiceName& service, SteadyTime began) const;

    // Returns whether neither the own path nor a relay leads to the service's endpoints. One caller after each interval is told
    // that there may be a path, so that relays are tried again.
    bool isLost(const ServiceName& service, SteadyTime now);

    // Returns a relay that isn't among `asked`, those that worked last first; nothing where none is left.
    std::optional<InstanceName> drawRelay(const ServiceName& service, const std::vector<InstanceName>& asked, SteadyTime now);

    // Takes how a direct connect ended that began at `began`.
    void recordDirect(const ServiceName& service, const EndpointName& endpoint, bool isConnected, SteadyTime began);

    // Takes what became of a request to a relay. `directBegan` is when a direct connect to the same endpoint began that has
    // failed. Returns whether another relay may do better.
    bool recordRelay(const ServiceName& service, const InstanceName& relay, RelayOutcome outcome, std::optional<SteadyTime> directBegan, SteadyTime now);

    // Returns which services are to be probed now. Each of them is told once until recordProbes().
    std::vector<PathProbe> takeProbes(SteadyTime now);

    // Takes how a round of probes ended that began at `began`.
    void recordProbes(const ServiceName& service, std::size_t connected, std::size_t failed, SteadyTime began);

    // Takes that a round of probes says nothing, as this instance was behind.
    void dismissProbes(const ServiceName& service) { at(service).isProbing = false; }

    // Returns what has changed since the last call.
    std::vector<PathChange> takeChanges();

private:
    struct Service {
        bool isDirect = true;
        bool isProbing = false;
        SteadyTime nextProbe;
        std::optional<SteadyTime> lastSuccessBegan; // Of direct connects.
        std::set<EndpointName> failed; // Direct connects since then; no more than are needed for doubt.
        std::uint32_t probesInARow = 0;
        std::vector<InstanceName> working; // Relays.
        std::set<InstanceName> missed; // Working relays that didn't reach the endpoint they were asked for last.
        std::map<InstanceName, SteadyTime> resting; // Relays that aren't asked before these times.
        std::set<InstanceName> failedRelays; // Without a success since; no more than are needed to give up.
        SteadyTime nextTry; // Of relays, where they have failed.
        PathChange::State told = PathChange::State::direct;
    };

    Service& at(const ServiceName& service) { return m_services[service]; }
    const Service* find(const ServiceName& service) const;
    bool relaysFailed(const Service& service) const;
    PathChange::State stateOf(const Service& service) const;
    void rest(Service& service, const InstanceName& relay, SteadyTime until, SteadyTime now);
    bool isInDoubt(const Service& service) const { return service.failed.size() >= m_settings.failuresInDoubt; }
    static void noteSuccess(Service& service, SteadyTime began);
    static void leaveOwnPath(Service& service);
    static void returnToOwnPath(Service& service, SteadyTime began);

    const EndpointPathSettings m_settings;
    Random m_random;
    std::vector<InstanceName> m_relays;
    std::map<ServiceName, Service> m_services;
};

}
