#include "Daemon.h"

#include "Administration.h"
#include "Peering.h"
#include "Serving.h"
#include "Storing.h"

#include "whinyard/base/Log.h"

namespace whinyard::daemon {

namespace {

    using settings::DaemonSettings;

    std::optional<std::vector<policy::SessionKey>> loadSessionKeys(const DaemonSettings& settings, Failure& failure)
    {
        std::vector<policy::SessionKey> keys;
        for (const settings::KeySource& source : settings.sessionKeys) {
            const std::optional<std::string> secret = settings::loadKey(source, failure);
            if (!secret)
                return std::nullopt;
            keys.push_back({ source.number, *secret });
        }
        return keys;
    }

}

struct Daemon::State {
    explicit State(const DaemonSettings& settings)
        : shared(settings)
        , peering(shared)
    {
    }

    bool open(Failure& failure);
    admin::OwnStatus ownStatus();
    bool isReady(std::string& reason) const;
    void drain();
    void stop();

    Shared shared;
    Peering peering;
    std::unique_ptr<Storing> storing;
    std::unique_ptr<Serving> serving;
    std::unique_ptr<Administration> administration;
    std::atomic<bool> drained = false;
    net::Duty ending { "end" }; // Carries out the graceful end, which waits for all other duties.
};

bool Daemon::State::open(Failure& failure)
{
    std::optional<std::vector<policy::SessionKey>> keys = loadSessionKeys(shared.settings, failure);
    if (!keys || !peering.open(failure))
        return false;
    storing = std::make_unique<Storing>(shared, peering.service());
    serving = std::make_unique<Serving>(shared, peering, *storing, std::move(*keys));
    administration = std::make_unique<Administration>(shared, peering);
    if (!serving->open(failure) || !administration->open(ownStatus(), failure))
        return false;
    peering.calls().connect(storing.get(), serving.get());
    storing->start([this](const std::vector<backing::ListedEndpoint>& listed) {
        serving->takeList(listed);
        peering.takeList(listed);
    });
    return true;
}

admin::OwnStatus Daemon::State::ownStatus()
{
    admin::OwnStatus own;
    own.name = shared.settings.instance;
    own.zone = shared.settings.zone;
    own.revision = [this] {
        const auto newest = peering.newest();
        return newest ? newest->revision : 0;
    };
    own.isReady = [this](std::string& reason) { return isReady(reason); };
    return own;
}

bool Daemon::State::isReady(std::string& reason) const
{
    if (shared.draining) {
        reason = "shutting down";
        return false;
    }
    if (!storing->listKnown()) {
        reason = "the platform's instance list is not known yet";
        return false;
    }
    Failure failure;
    const bool serves = peering.mayServe(failure);
    reason = failure.reason;
    return serves;
}

void Daemon::State::drain()
{
    const SteadyTime end = shared.clock.now() + shared.settings.timing.shutdownBound;
    peering.service().announceLeaving();
    const bool answered = serving->drain(shared.settings.timing.shutdownBound);
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - shared.clock.now());
    const bool durable = storing->drain(std::max(left, std::chrono::milliseconds(0)));
    peering.flushEvents();
    if (!durable)
        log::warning("ending with lines or outcomes that are not durable");
    drained = answered && durable;
}

Daemon::Daemon(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

Daemon::~Daemon()
{
    stop();
}

std::unique_ptr<Daemon> Daemon::start(const DaemonSettings& settings, Failure& failure)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::make_unique<State>(settings)));
    State& state = *daemon->m_state;
    if (!state.open(failure))
        return nullptr;
    log::info("serving", { { "instance", settings.instance.value }, { "callers", net::toText(state.serving->address()) }, { "admin", net::toText(state.administration->address()) } });
    return daemon;
}

void Daemon::beginDrain()
{
    State& state = *m_state;
    if (state.shared.draining.exchange(true))
        return;
    log::info("draining", { { "instance", state.shared.settings.instance.value } });
    state.ending.post([&state] { state.drain(); });
}

bool Daemon::drained() const
{
    return m_state->drained;
}

void Daemon::stop()
{
    if (!m_state->shared.stopping.exchange(true))
        m_state->stop();
}

void Daemon::State::stop()
{
    peering.calls().connect(nullptr, nullptr);
    if (serving)
        serving->stop();
    if (administration)
        administration->stop();
    ending.stop();
    if (storing)
        storing->stop();
    peering.stop();
}

}
