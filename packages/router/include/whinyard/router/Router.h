// The path of a caller's request through an instance: authentication, choice of the version, the
// gate, dispatch to an engine or plain service, the bill and the answer.
//
// The daemon gives it the requests of its callers' address and the calls that other instances
// forward. All of it runs on the serve duty; varying parts are interfaces that tests replace.
#pragma once

#include "whinyard/backing/RatingService.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Event.h"
#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/base/Random.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/endpoint/EngineClient.h"
#include "whinyard/endpoint/ServiceClient.h"
#include "whinyard/ledger/IntentLedger.h"
#include "whinyard/ledger/UsageLedger.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/peer/Peers.h"
#include "whinyard/policy/Cascade.h"
#include "whinyard/policy/CustomerLimits.h"
#include "whinyard/policy/QueryOfDeath.h"
#include "whinyard/policy/Redispatch.h"
#include "whinyard/policy/RetryPolicy.h"
#include "whinyard/policy/RolloutJudge.h"
#include "whinyard/policy/SessionPins.h"
#include "whinyard/router/ConfigurationSource.h"
#include "whinyard/router/Fibers.h"

#include <memory>

namespace whinyard::router {

// What the router works with; everything must outlive it.
struct RouterParts {
    const Clock& clock;
    HybridClock& hybridClock;
    EventSink& events;
    Metrics& metrics;
    const ConfigurationSource& configuration;
    endpoint::EndpointDirectory& directory;
    endpoint::EngineClient& engines;
    endpoint::ServiceClient& services;
    ledger::IntentLedger& intents;
    ledger::UsageLedger& usage;
    backing::RatingService& ratings;
    const policy::SessionPins& sessionPins;
    policy::RolloutJudge& judge;
    policy::CustomerLimits& limits;
    policy::QueryOfDeathTable& queries;
    net::ListenProbe& listening;
    Fibers& fibers;
    peer::Peers* peers = nullptr; // Null: keyed calls are never forwarded.
};

struct RouterSettings {
    InstanceName instance;
    Incarnation incarnation;
    std::chrono::milliseconds requestDeadline { 60'000 };
    std::size_t concurrentRequests = 10'000;
    policy::RetrySettings retries;
    policy::RedispatchSettings redispatches;
    policy::CascadeSettings cascades;
    double ratedShare = 0.1; // Of the answers of versions that no roll-out concerns.
    std::uint32_t resumes = 4; // Of one stream without a new piece between them.
    std::uint32_t intentPartitions = 32;
};

class Router {
public:
    Router(const RouterParts& parts, const RouterSettings& settings, Random random);
    ~Router();

    // Handles a caller's request and sends its answer.
    void handle(const net::HttpRequest& request, net::HttpResponder& responder);

    // Handles a keyed call that another instance forwarded.
    std::optional<peer::ForwardCallAnswer> handleForwarded(const peer::ForwardCall& call, Failure& failure);

    // Looks at the attempts that wait: gives up those whose caller is gone, and lets those that wait too
    // long at a busy endpoint go elsewhere. Call it about every 20 ms.
    void tick();

    // Refuses every new request with shuttingDown from now on; running ones go on.
    void drain();

    // Returns how many requests are running.
    std::size_t active() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
