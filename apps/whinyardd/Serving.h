// The serve duty: callers' requests, the router, and the calls to endpoints.
#pragma once

#include "EndpointWatch.h"
#include "FleetNews.h"
#include "Peering.h"
#include "Shared.h"
#include "Storing.h"

#include "whinyard/net/HttpServer.h"
#include "whinyard/router/Router.h"

#include <memory>

namespace whinyard::daemon {

// Runs the router's waits and background work on its duty.
class DutyFibers final : public router::Fibers {
public:
    explicit DutyFibers(net::Duty& duty);

    void wait(std::chrono::nanoseconds duration) override;
    void start(std::function<void()> task) override;
    std::unique_ptr<router::Wakeup> makeWakeup() override;

private:
    net::Duty& m_duty;
};

class Serving {
public:
    // `shared`, `peering` and `storing` must outlive the object.
    Serving(Shared& shared, Peering& peering, Storing& storing, std::vector<policy::SessionKey> sessionKeys);

    // Opens the callers' address.
    bool open(Failure& failure);

    net::Address address() const { return m_server->address(); }

    // Takes the platform's list. Callable from any thread.
    void takeList(const std::vector<backing::ListedEndpoint>& listed);

    // Runs a keyed call that another instance forwarded. Called on a fiber of another duty.
    std::optional<peer::ForwardCallAnswer> runForwarded(const peer::ForwardCall& call, Failure& failure);

    // Refuses new requests, and waits until the running ones have ended; never longer than `bound`.
    // Called on a fiber of another duty. Returns whether all have ended.
    bool drain(std::chrono::milliseconds bound);

    // Closes the address at once and ends the duty.
    void stop();

private:
    bool openOnDuty(Failure& failure);
    bool drainOnDuty(SteadyTime end);
    void pollLoads();
    void followFleet();
    void tickRouter();

    Shared& m_shared;
    Peering& m_peering;
    Storing& m_storing;
    policy::SessionPins m_sessionPins;
    policy::RolloutJudge m_judge;
    policy::CustomerLimits m_limits;
    policy::QueryOfDeathTable m_queries;
    endpoint::EndpointDirectory m_directory;
    net::Duty m_duty { "serve" };
    DutyFibers m_fibers { m_duty };
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<net::ListenProbe> m_listening;
    std::unique_ptr<endpoint::EngineClient> m_engines;
    std::unique_ptr<endpoint::ServiceClient> m_services;
    std::unique_ptr<backing::RatingService> m_ratings;
    std::unique_ptr<EndpointWatch> m_endpointWatch;
    std::unique_ptr<FleetNews> m_news;
    std::unique_ptr<router::Router> m_router;
    std::unique_ptr<net::HttpServer> m_server;
};

}
