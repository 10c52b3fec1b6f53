// The path of a forwarded request: authentication, route, version, model and endpoint, attempts and their verdicts,
// and the answer back to the caller, whole or as a stream that is resumed where it breaks.
//
// The daemon gives it the requests of its callers' address. All of it runs on the serve duty; varying parts are
// interfaces that tests replace.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/base/Random.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/policy/EndpointPaths.h"
#include "whinyard/policy/EnginePrice.h"
#include "whinyard/policy/ModelChoice.h"
#include "whinyard/policy/QueryOfDeath.h"
#include "whinyard/policy/ServiceDemand.h"
#include "whinyard/policy/VersionShift.h"
#include "whinyard/router/Fibers.h"
#include "whinyard/router/ForwardedRequest.h"
#include "whinyard/router/PlaceBroker.h"
#include "whinyard/router/RoutingSource.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::router {

// What a request takes of an engine's memory, and for how long.
struct MemoryNeed {
    std::uint32_t tokens = 0; // 0: it isn't accounted.
    std::chrono::nanoseconds duration { 0 };
};

// Is told of the work that this instance gives to engines, so that other instances can learn of it.
class WorkObserver {
public:
    virtual ~WorkObserver() = default;

    // An engine was given a prompt whose reading takes `work`. `prefix` holds chained digests of its parts. Returns the share of
    // its memory that the other instances hear of; see policy::EngineMemory::begin().
    virtual double gave(const EndpointName& endpoint, std::chrono::nanoseconds work, const std::vector<std::uint64_t>& prefix, const MemoryNeed& need) = 0;
};

// Is told of each request that an endpoint has begun to run, for the customers' bills.
class UsageObserver {
public:
    virtual ~UsageObserver() = default;

    virtual void began(const CustomerName& customer) = 0;
};

// Says whether this instance is behind: then what times out may be late by its own fault.
class OwnLoad {
public:
    virtual ~OwnLoad() = default;

    virtual bool isBehind() const = 0;
};

// What the forwarder works with; everything must outlive it.
struct ForwarderParts {
    const Clock& clock;
    Metrics& metrics;
    const RoutingSource& routing;
    const ForwardCodec& codec;
    endpoint::EndpointDirectory& directory;
    policy::VersionShifts& shifts;
    policy::ModelChoice& models;
    policy::QueryOfDeathTable& queries;
    net::HttpClient& client;
    net::ListenProbe& listening;
    Fibers& fibers;
    WorkObserver* work = nullptr; // Null: nobody is told.
    UsageObserver* usage = nullptr;
    PlaceBroker* places = nullptr; // Null: this instance alone chooses the endpoints of every service.
    const OwnLoad* load = nullptr; // Null: this instance is never behind.
};

struct ForwarderSettings {
    double repeatRatio = 0.8; // Attempts beyond the first, for each request of the same service.
    double repeatsPerSecond = 0.2; // That are allowed without any request.
    // Attempts that may be moved on silence alone, for each request of the same service, and without any request. Under
    // an overload every engine is silent for long, and moving to another one reads the prompt anew.
    double moveRatio = 0.12;
    double movesPerSecond = 0.1;
    policy::EnginePriceSettings enginePrice {};
    double sharedRepeats = 0; // In a window, of all instances together, beyond those that requests allow.
    std::chrono::milliseconds repeatWindow { 10'000 };
    bool isFirstStart = false; // No instance before this one can have made repeats.
    // What a cold endpoint may get in any second: its service's rate times the factor, and the slack.
    double coldFactor = 1.5;
    double coldSlack = 5;
    std::size_t answerBytes = 0; // Of all whole answers that are held at once; 0: without a bound.
    bool accountMemory = false; // Keep engines from being given more than their KV cache holds.
    std::chrono::milliseconds connectTimeout { 300 }; // Many times the longest way within a region.
    std::chrono::milliseconds connectTimeoutBehind { 1'000 }; // While this instance is behind: another connect would wait as long.
    policy::EndpointPathSettings paths {};
    std::chrono::milliseconds comeBackAfter { 150 }; // Told with a refusal when nothing better is known.
};

// What an instance tells another one that connects for it: the endpoint's name, and the id of the request.
inline constexpr std::string_view relayEndpointField = "Relay-Endpoint";
inline constexpr std::string_view relayRequestField = "Relay-Request";

// Returns the name under which the endpoints of a service's version stand in the directory.
VersionName targetName(const ServiceName& service, const std::string& version);

// Returns the versions that such names stand for.
std::vector<std::string> versionsOf(const ServiceName& service, const std::vector<VersionName>& targets);

class Forwarder {
public:
    Forwarder(const ForwarderParts& parts, const ForwarderSettings& settings, Random random);
    ~Forwarder();

    // Handles a caller's request and sends its answer.
    void handle(const net::HttpRequest& request, net::HttpResponder& responder);

    // Tells which versions of a service have endpoints, in the order in which they appeared.
    void useVersions(const ServiceName& service, std::vector<std::string> versions);

    // Takes the number of instances that live, this one included: they share ForwarderSettings::sharedRepeats. See
    // policy::SharedAllowance.
    void useInstances(std::size_t count);

    // Takes where the other instances that live make connections to endpoints for this one; see net::ConnectRelay.
    void useRelays(std::map<InstanceName, net::Address> relays);

    // Returns whether this instance reaches endpoints of the service by itself, so that others may connect by way of it.
    bool reachesDirectly(const ServiceName& service) const;

    // Looks at the attempts that wait, and gives up those that are silent for much longer than was expected, or whose request is
    // refused by now. Call it about every 50 ms.
    void tick();

    // Tells that a configuration, an evacuation or a list of endpoints has come: requests that wait for their first look again.
    void noteNews();

    // Has requests that wait refused from then on, rather than sent to an endpoint: the process ends soon after. Call
    // noteNews() then.
    void endBy(SteadyTime latest);

    // Returns what this instance has done for each service since its start.
    std::vector<policy::ServiceLoad> loads() const;

    // Returns how long the shortest connect to an endpoint took since the last call; nothing where none succeeded.
    std::optional<std::chrono::nanoseconds> takeShortestConnect();

    // Returns how many bytes of endpoints' answers were read in vain since the last call.
    std::uint64_t takeWastedBytes();

    // Returns how many requests are running.
    std::size_t active() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
