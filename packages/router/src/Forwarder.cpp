#include "whinyard/router/Forwarder.h"

#include "internal/ForwardRun.h"
#include "whinyard/base/Log.h"

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

struct Forwarder::State {
    State(const ForwarderParts& parts, const ForwarderSettings& settings, Random random)
        : core { .parts = parts, .settings = settings, .random = random, .sharedRepeats = policy::SharedAllowance(settings.sharedRepeats) }
    {
    }

    ForwardCore core;

    // Refuses a request before any attempt.
    void refuse(const std::string& id, Failure failure, net::HttpResponder& responder)
    {
        if (failure.kind == ErrorKind::configurationStale && failure.retryAfter.count() == 0)
            failure.retryAfter = core.settings.comeBackAfter;
        log::info("refused", { { "request", id }, { "kind", std::string(answerFor(failure.kind).name) }, { "notRun", "true" }, { "reason", failure.reason } });
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
    const std::optional<ForwardedRequest> request = core.parts.codec.decodeRequest(message, failure);
    if (!request) {
        m_state->refuse("", failure, responder);
        return;
    }
    std::optional<Admission> admission = admit(core.parts.routing, *request, failure);
    if (!admission) {
        m_state->refuse(request->id, failure, responder);
        return;
    }
    ForwardRun(core, *request, std::move(*admission), responder).run();
}

void Forwarder::useVersions(const ServiceName& service, std::vector<std::string> versions)
{
    m_state->core.versions[service] = std::move(versions);
}

void Forwarder::useInstances(std::size_t count)
{
    m_state->core.instances = count;
    m_state->core.sharedRepeats.useInstances(count, m_state->core.parts.clock.now());
}

void Forwarder::tick()
{
    m_state->core.spreadSharedRepeats();
    m_state->core.noteUse();
    for (ForwardRun* run : m_state->core.runs)
        run->look();
}

std::size_t Forwarder::active() const
{
    return m_state->core.active;
}

}
