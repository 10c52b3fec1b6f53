#include "whinyard/router/Forwarder.h"

#include "internal/ForwardRun.h"
#include "whinyard/base/Log.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

namespace {

    class ActiveCount {
    public:
        explicit ActiveCount(std::size_t& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~ActiveCount() { --m_count; }
        ActiveCount(const ActiveCount&) = delete;
        ActiveCount& operator=(const ActiveCount&) = delete;

    private:
        std::size_t& m_count;
    };

}

VersionName targetName(const ServiceName& service, const std::string& version)
{
    return { service.value + "@" + version };
}

std::vector<std::string> versionsOf(const ServiceName& service, const std::vector<VersionName>& targets)
{
    std::vector<std::string> versions;
    for (const VersionName& target : targets)
        versions.push_back(target.value.substr(service.value.size() + 1));
    return versions;
}

struct Forwarder::State {
    State(const ForwarderParts& parts, const ForwarderSettings& settings, Random random)
        : core { .parts = parts, .settings = settings, .random = random, .startedAt = parts.clock.now() - (settings.isFirstStart ? settings.repeatWindow : std::chrono::milliseconds(0)), .sharedRepeats = policy::SharedAllowance(settings.sharedRepeats), .start = policy::StartForecast(parts.clock.now()), .news = parts.fibers.makeWakeup(), .paths = policy::EndpointPaths(settings.paths, Random(random())), .answerMemory = AnswerMemory(settings.answerBytes) }
    {
    }

    ForwardCore core;

    // Waits until this instance knows what it may serve, at most as long as is good for the request. The time counts
    // towards what the caller has left. Returns whether the request had to wait.
    bool awaitStart(ForwardedRequest& request)
    {
        if (core.isStarted())
            return false;
        const SteadyTime arrived = core.parts.clock.now();
        const SteadyTime latest = arrived + core.start.holdFor(request.timeLeft);
        const auto waitsUntil = [&] { return std::min(latest, core.endsAt); };
        while (!core.isStarted() && core.parts.clock.now() < waitsUntil())
            core.news->wait(waitsUntil() - core.parts.clock.now());
        const auto held = std::chrono::ceil<std::chrono::milliseconds>(core.parts.clock.now() - arrived);
        if (request.timeLeft)
            *request.timeLeft -= std::min(held, *request.timeLeft);
        log::info("waited for the start", { { "request", request.id }, { "heldMs", std::to_string(held.count()) }, { "started", core.started ? "true" : "false" } });
        core.parts.metrics.add("whinyard_held_at_start_total");
        return true;
    }

    // Connects to some endpoints of a service without sending anything, at the same time.
    void probe(const policy::PathProbe& wanted)
    {
        struct Round {
            SteadyTime began;
            std::size_t left = 0;
            std::size_t connected = 0;
            std::size_t failed = 0;
            std::size_t timedOut = 0; // Of these.
            bool lacksResources = false; // Of this instance, for at least one of them.
        };
        const std::vector<backing::ListedEndpoint> endpoints = core.parts.directory.drawLive(wanted.service, wanted.endpoints);
        const auto round = std::make_shared<Round>(Round { core.parts.clock.now(), endpoints.size() });
        if (endpoints.empty())
            core.paths.recordProbes(wanted.service, 0, 0, round->began);
        for (const backing::ListedEndpoint& endpoint : endpoints) {
            core.parts.fibers.start([this, round, service = wanted.service, address = endpoint.address] {
                const net::Listening answer = core.parts.listening.ask(address, core.connectTimeout());
                const bool connected = answer == net::Listening::yes;
                ++(connected ? round->connected : round->failed);
                round->timedOut += answer == net::Listening::unknown ? 1 : 0;
                round->lacksResources = round->lacksResources || answer == net::Listening::notAsked;
                core.parts.metrics.add(connected ? "whinyard_path_probes_total{outcome=\"connected\"}" : "whinyard_path_probes_total{outcome=\"failed\"}");
                if (--round->left > 0)
                    return;
                if (round->lacksResources || (round->connected + round->failed == round->timedOut && core.isBehind()))
                    core.paths.dismissProbes(service);
                else
                    core.paths.recordProbes(service, round->connected, round->failed, round->began);
            });
        }
    }

    void tellPathChanges()
    {
        for (const policy::PathChange& change : core.paths.takeChanges()) {
            const auto say = [&](std::string_view what) { log::warning(what, { { "service", change.service.value }, { "relays", std::to_string(core.relays.size()) } }); };
            switch (change.state) {
            case policy::PathChange::State::direct:
                say("endpoints reached directly again");
                break;
            case policy::PathChange::State::relayed:
                say("no direct path to endpoints, connecting by way of other instances");
                break;
            case policy::PathChange::State::lost:
                say("no path to endpoints, not by way of other instances either");
                break;
            }
        }
    }

    // Refuses a request before any attempt.
    void refuse(const std::string& id, Failure failure, net::HttpResponder& responder)
    {
        if (failure.kind == ErrorKind::configurationStale && failure.retryAfter.count() == 0)
            failure.retryAfter = core.start.comeBackAfter(core.parts.clock.now(), core.random);
        log::info("refused", { { "request", id }, { "kind", std::string(answerFor(failure.kind).name) }, { "notRun", "true" }, { "reason", failure.reason }, { "retryAfterMs", std::to_string(failure.retryAfter.count()) } });
        core.parts.metrics.add("whinyard_refusals_total{kind=\"" + std::string(answerFor(failure.kind).name) + "\"}");
        responder.send(core.parts.codec.encodeFailure(id, failure));
    }
};

Forwarder::Forwarder(const ForwarderParts& parts, const ForwarderSettings& settings, Random random)
    : m_state(std::make_unique<State>(parts, settings, random))
{
}

Forwarder::~Forwarder() = default;

void Forwarder::handle(const net::HttpRequest& message, net::HttpResponder& responder)
{
    ForwardCore& core = m_state->core;
    const ActiveCount active(core.active);
    core.parts.metrics.add("whinyard_requests_total");
    Failure failure;
    std::optional<ForwardedRequest> request = core.parts.codec.decodeRequest(message, failure);
    if (!request) {
        m_state->refuse("", failure, responder);
        return;
    }
    const SteadyTime sentSince = core.reads.sentSince(core.parts.clock.now());
    if (m_state->awaitStart(*request) && responder.peerGone()) {
        log::info("caller left", { { "request", request->id }, { "attempts", "0" } });
        core.parts.metrics.add("whinyard_callers_left_total");
        return;
    }
    std::optional<Admission> admission = admit(core.parts.routing, *request, failure);
    if (!admission) {
        m_state->refuse(request->id, failure, responder);
        return;
    }
    ForwardRun(core, *request, std::move(*admission), responder, sentSince).run();
}

void Forwarder::useVersions(const ServiceName& service, std::vector<std::string> versions)
{
    m_state->core.versions[service] = std::move(versions);
}

void Forwarder::noteNews()
{
    m_state->core.followRouting();
    m_state->core.news->notify();
}

void Forwarder::useInstances(std::size_t count)
{
    m_state->core.sharedRepeats.useInstances(count, m_state->core.parts.clock.now());
}

void Forwarder::useRelays(std::map<InstanceName, net::Address> relays)
{
    std::vector<InstanceName> names;
    for (const auto& [name, address] : relays)
        names.push_back(name);
    m_state->core.relays = std::move(relays);
    m_state->core.paths.useRelays(std::move(names));
}

bool Forwarder::reachesDirectly(const ServiceName& service) const
{
    return m_state->core.paths.isDirect(service);
}

void Forwarder::tick()
{
    m_state->core.reads.noteTurn(m_state->core.parts.clock.now());
    m_state->tellPathChanges();
    for (const policy::PathProbe& probe : m_state->core.paths.takeProbes(m_state->core.parts.clock.now()))
        m_state->probe(probe);
    m_state->core.tellRepeats();
    m_state->core.tellAnswerMemory();
    m_state->core.notePrices();
    for (ForwardRun* run : m_state->core.runs)
        run->look();
}

void Forwarder::endBy(SteadyTime latest)
{
    m_state->core.endsAt = latest;
}

std::vector<policy::ServiceLoad> Forwarder::loads() const
{
    std::vector<policy::ServiceLoad> loads;
    for (const auto& [service, load] : m_state->core.loads)
        loads.push_back(load);
    return loads;
}

std::optional<std::chrono::nanoseconds> Forwarder::takeShortestConnect()
{
    return std::exchange(m_state->core.shortestConnect, std::nullopt);
}

std::uint64_t Forwarder::takeWastedBytes()
{
    return std::exchange(m_state->core.wastedBytes, 0);
}

std::size_t Forwarder::active() const
{
    return m_state->core.active;
}

}
