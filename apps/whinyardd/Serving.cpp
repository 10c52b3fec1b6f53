#include "Serving.h"

#include "whinyard/backing/HttpPlatform.h"
#include "whinyard/settings/DescriptorShares.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds refreshInterval { 100 };
    constexpr std::chrono::milliseconds drainPoll { 20 };
    constexpr std::chrono::milliseconds tickInterval { 20 };

    // How long new requests are still answered, with a refusal, before the address closes: the balancer
    // learns from /readyz in this time.
    constexpr std::chrono::milliseconds refusingTime { 1'000 };

    router::RouterSettings routerSettings(const Shared& shared)
    {
        router::RouterSettings result;
        result.instance = shared.settings.instance;
        result.incarnation = shared.incarnation;
        result.requestDeadline = shared.settings.limits.requestDeadline;
        result.concurrentRequests = shared.settings.limits.concurrentRequests;
        result.intentPartitions = shared.settings.intentPartitions;
        return result;
    }

    policy::RolloutJudgeSettings judgeSettings()
    {
        policy::RolloutJudgeSettings settings;
        settings.sectionBytes = peer::largestGossipValue;
        return settings;
    }

    // An instance that has told no demand yet uses its part of the floor only. A twentieth, the package's own
    // figure, refuses the first handful of requests of a customer that was idle; a fifth lets a burst of the
    // usual size through, and the sum over all instances stays within 1.2 times the limit.
    policy::LimitSettings limitSettings()
    {
        policy::LimitSettings settings;
        settings.floorShare = 0.2;
        return settings;
    }

    class SignalWakeup final : public router::Wakeup {
    public:
        bool wait(std::chrono::nanoseconds timeout) override { return m_signal.wait(timeout); }
        void notify() override { m_signal.notify(); }

    private:
        net::Signal m_signal;
    };

    net::HttpServerLimits serverLimits(const settings::Limits& settings, const settings::DescriptorShares& shares)
    {
        net::HttpServerLimits limits;
        limits.headerBytes = settings.headerBytes;
        limits.bodyBytes = settings.bodyBytes;
        limits.connections = std::min(settings.connections, shares.callers);
        limits.receiveTimeout = settings.receiveTimeout;
        return limits;
    }

}

std::unique_ptr<router::Wakeup> DutyFibers::makeWakeup()
{
    return std::make_unique<SignalWakeup>();
}

DutyFibers::DutyFibers(net::Duty& duty)
    : m_duty(duty)
{
}

void DutyFibers::wait(std::chrono::nanoseconds duration)
{
    net::sleepFor(duration);
}

void DutyFibers::start(std::function<void()> task)
{
    m_duty.spawn(std::move(task));
}

Serving::Serving(Shared& shared, Peering& peering, Storing& storing, std::vector<policy::SessionKey> sessionKeys)
    : m_shared(shared)
    , m_peering(peering)
    , m_storing(storing)
    , m_sessionPins(std::move(sessionKeys))
    , m_judge(shared.settings.instance, shared.incarnation, judgeSettings())
    , m_limits(shared.settings.instance, shared.incarnation, limitSettings())
    , m_directory(shared.settings.zone, seededRandom())
{
}

bool Serving::open(Failure& failure)
{
    return net::callOn(m_duty, [&] { return openOnDuty(failure); }).value_or(false);
}

bool Serving::openOnDuty(Failure& failure)
{
    const std::optional<settings::DescriptorShares> shares = settings::shareDescriptors(0, 0, failure);
    if (!shares)
        return false;
    m_client = net::HttpClient::create(m_duty, { .connections = shares->endpoints });
    m_listening = net::ListenProbe::create(m_duty, shares->probes);
    m_engines = endpoint::makeHttpEngineClient(*m_client);
    m_services = endpoint::makeHttpServiceClient(*m_client);
    m_ratings = backing::makeHttpRatingService(*m_client, { .address = m_shared.settings.platform });
    m_endpointWatch = std::make_unique<EndpointWatch>(m_duty, m_shared.clock, m_directory, *m_engines);
    m_news = std::make_unique<FleetNews>(m_shared, m_peering.service(), m_directory, m_limits, m_judge, m_queries);
    const router::RouterParts parts { m_shared.clock, m_shared.hybridClock, m_shared.events, m_shared.metrics, m_peering, m_directory, *m_engines, *m_services, m_storing.intents(), m_storing.usage(), *m_ratings, m_sessionPins, m_judge, m_limits, m_queries, *m_listening, m_fibers, &m_peering.service() };
    m_router = std::make_unique<router::Router>(parts, routerSettings(m_shared), seededRandom());
    const net::HttpHandler handler = [this](const net::HttpRequest& request, net::HttpResponder& responder) { m_router->handle(request, responder); };
    m_server = net::HttpServer::open(m_duty, m_shared.settings.callers, serverLimits(m_shared.settings.limits, *shares), handler, failure);
    if (!m_server)
        return false;
    m_duty.spawn([this] { pollLoads(); });
    m_duty.spawn([this] { followFleet(); });
    m_duty.spawn([this] { tickRouter(); });
    return true;
}

void Serving::takeList(const std::vector<backing::ListedEndpoint>& listed)
{
    m_duty.post([this, listed] {
        m_directory.replace(listed, m_shared.clock.now());
        m_news->takeList(listed);
    });
}

std::optional<peer::ForwardCallAnswer> Serving::runForwarded(const peer::ForwardCall& call, Failure& failure)
{
    auto answer = net::callOn(m_duty, [&] { return m_router->handleForwarded(call, failure); });
    if (answer)
        return std::move(*answer);
    failure = { .kind = ErrorKind::overloaded, .reason = "too many calls wait", .retryAfter = std::chrono::seconds(1) };
    return std::nullopt;
}

bool Serving::drain(std::chrono::milliseconds bound)
{
    const SteadyTime end = m_shared.clock.now() + bound;
    return net::callOn(m_duty, [&] { return drainOnDuty(end); }).value_or(false);
}

bool Serving::drainOnDuty(SteadyTime end)
{
    const SteadyTime closing = m_shared.clock.now() + refusingTime;
    m_router->drain();
    while (m_shared.clock.now() < std::min(closing, end))
        net::sleepFor(drainPoll);
    m_server->drain();
    while (m_router->active() > 0 || !m_server->isDrained()) {
        if (m_shared.clock.now() >= end)
            return false;
        net::sleepFor(drainPoll);
    }
    return true;
}

void Serving::pollLoads()
{
    while (!m_shared.stopping) {
        m_endpointWatch->askLoads();
        net::sleepFor(m_shared.settings.timing.loadPoll);
    }
}

void Serving::tickRouter()
{
    while (!m_shared.stopping) {
        m_router->tick();
        net::sleepFor(tickInterval);
    }
}

void Serving::followFleet()
{
    while (!m_shared.stopping) {
        m_directory.refresh(m_shared.clock.now());
        m_news->turn(m_storing.storeReachable());
        net::sleepFor(refreshInterval);
    }
}

void Serving::stop()
{
    net::runOn(m_duty, [this] {
        if (m_server)
            m_server->close();
    });
    m_duty.stop();
}

}
