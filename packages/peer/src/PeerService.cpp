#include "whinyard/peer/PeerService.h"

#include "internal/ServiceState.h"

#include <utility>

namespace whinyard::peer {

PeerServiceOptions peerServiceOptions(const settings::DaemonSettings& settings, Incarnation incarnation, std::vector<PeerKey> keys, std::uint64_t seed)
{
    PeerServiceOptions options;
    options.self = { settings.instance, incarnation };
    options.zone = settings.zone;
    options.address = settings.peers;
    options.seeds = settings.seeds;
    options.keys = std::move(keys);
    options.membership.interval = settings.timing.heartbeat;
    options.spread.bound = settings.timing.configurationBound;
    options.spread.silentAfter = settings.timing.configurationBound / 2;
    options.spread.ownReadAfter = settings.timing.configurationBound * 7 / 10;
    options.seed = seed;
    return options;
}

PeerService::PeerService(std::shared_ptr<State> state)
    : m_state(std::move(state))
{
}

std::unique_ptr<PeerService> PeerService::open(net::Duty& duty, PeerServiceOptions options, const PeerServiceParts& parts, Failure& failure)
{
    auto state = std::make_shared<State>(duty, std::move(options), parts);
    if (!state->open(failure))
        return nullptr;
    state->startFibers();
    return std::unique_ptr<PeerService>(new PeerService(std::move(state)));
}

PeerService::~PeerService()
{
    close();
}

net::Address PeerService::address() const
{
    return m_state->address;
}

void PeerService::setInstances(std::vector<Contact> listed)
{
    m_state->useContacts(std::move(listed));
}

std::shared_ptr<const config::Configuration> PeerService::configuration() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->configuration;
}

bool PeerService::mayServe(Failure& failure) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->spread.mayServe(m_state->parts.clock.now(), failure);
}

Standing PeerService::standing() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->spread.standing(m_state->parts.clock.now());
}

Acceptance PeerService::confirm(std::uint64_t revision, std::chrono::milliseconds timeout)
{
    const auto acceptance = net::callOn(m_state->duty, [&] { return m_state->confirm(revision, timeout); });
    return acceptance.value_or(Acceptance { revision, 0, 0, false, {} });
}

void PeerService::close()
{
    m_state->close();
}

std::shared_ptr<const MembershipView> PeerService::view() const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->view;
}

std::optional<Response> PeerService::call(const InstanceName& instance, const Request& request, std::chrono::milliseconds timeout, Failure& failure)
{
    auto response = net::callOn(m_state->duty, [&] { return m_state->call(instance, request, timeout, failure); });
    if (response)
        return std::move(*response);
    failure = { ErrorKind::peerUnreachable, "the peers duty takes no more calls now", std::chrono::milliseconds(0), RunState::notRun };
    return std::nullopt;
}

bool PeerService::publish(const std::string& topic, std::string value)
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->membership->gossip().publish(topic, std::move(value));
}

std::vector<GossipEntry> PeerService::published(const std::string& topic) const
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->membership->gossip().under(topic);
}

void PeerService::announceLeaving()
{
    net::runOn(m_state->duty, [state = m_state] {
        std::vector<Outgoing> out;
        {
            const std::lock_guard lock(state->mutex);
            state->membership->leave(state->parts.clock.now(), out);
        }
        state->sendAll(out);
        state->afterStep();
    });
}

bool PeerService::takeStoreCall()
{
    const std::lock_guard lock(m_state->mutex);
    return m_state->spread.takeStoreCall(m_state->parts.clock.now());
}

void PeerService::storeAnswered(SteadyTime startedAt, ReadConfiguration read)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->spread.storeAnswered(startedAt, read.configuration->revision, read.record, m_state->parts.clock.now());
    m_state->adopt(read);
}

void PeerService::storeUnchanged(SteadyTime startedAt, std::uint64_t revision)
{
    const std::lock_guard lock(m_state->mutex);
    m_state->spread.storeUnchanged(startedAt, revision, m_state->parts.clock.now());
}

void PeerService::storeFailed()
{
    const std::lock_guard lock(m_state->mutex);
    m_state->spread.storeFailed(m_state->parts.clock.now());
}

}
