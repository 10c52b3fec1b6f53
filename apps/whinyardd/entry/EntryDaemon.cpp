#include "entry/EntryDaemon.h"

#include "entry/StoreDuty.h"
#include "whinyard/base/Log.h"

namespace whinyard::daemon {

namespace {

    // What is left of the time to stop for closing and for the process to end.
    constexpr std::chrono::milliseconds endingTime { 500 };

}

struct EntryDaemon::State {
    State(const settings::EntrySettings& settings, const settings::DescriptorShares& shares, EndpointTransport transport)
        : shared(settings, shares, std::move(transport))
        , serving(shared)
        , storing(shared, serving)
    {
    }

    EntryShared shared;
    ServeDuty serving;
    StoreDuty storing;
};

EntryDaemon::EntryDaemon(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

EntryDaemon::~EntryDaemon()
{
    stop();
}

std::unique_ptr<EntryDaemon> EntryDaemon::start(const settings::EntrySettings& settings, Failure& failure, EndpointTransport transport)
{
    const std::optional<settings::DescriptorShares> shares = settings::shareDescriptors(settings.descriptors, settings.memoryMegabytes, failure);
    if (!shares)
        return nullptr;
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon(std::make_unique<State>(settings, *shares, std::move(transport))));
    State& state = *daemon->m_state;
    if (!state.serving.open(failure) || !state.storing.open(failure))
        return nullptr;
    log::info("started", { { "instance", settings.instance.value }, { "zone", settings.zone.value }, { "firstStart", settings.isFirstStart ? "true" : "false" }, { "callers", net::toText(settings.callers) }, { "store", net::toText(settings.store.address) }, { "mostCallers", std::to_string(shares->callers) }, { "mostEndpointConnections", std::to_string(shares->endpoints) } });
    return daemon;
}

bool EntryDaemon::drain()
{
    State& state = *m_state;
    state.shared.draining = true;
    log::info("draining", { { "instance", state.shared.settings.instance.value } });
    return state.serving.drain(state.shared.settings.bounds.stopGrace - endingTime);
}

void EntryDaemon::reload(const settings::EntrySettings& settings)
{
    const bool same = m_state->shared.settings.sameAddresses(settings);
    log::info("settings read again", { { "instance", settings.instance.value }, { "outcome", same ? "nothing to change" : "addresses change at the next start only" } });
}

void EntryDaemon::stop()
{
    if (m_state->shared.stopping.exchange(true))
        return;
    m_state->serving.stop();
    m_state->storing.stop();
}

}
