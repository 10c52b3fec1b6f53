#include "internal/ServiceState.h"

#include "whinyard/base/Log.h"

#include <algorithm>
#include <utility>

namespace whinyard::peer {

namespace {

    constexpr std::chrono::milliseconds longestSleep { 50 }; // Also bounds how late an order to fetch is seen.
    constexpr std::chrono::milliseconds shortestSleep { 1 };
    constexpr std::chrono::milliseconds receiveWait { 500 };
    constexpr std::chrono::milliseconds fetchTimeout { 1'000 };
    constexpr std::chrono::milliseconds metricsInterval { 1'000 };
    constexpr std::chrono::milliseconds copyPauses[] { std::chrono::milliseconds(500), std::chrono::seconds(5), std::chrono::seconds(30) }; // Before each copy of tables.
    constexpr std::chrono::milliseconds copyRetry { 500 };
    constexpr int copyAttempts = 20;
    constexpr int largestPageCount = 64;

}

PeerService::State::State(net::Duty& peersDuty, PeerServiceOptions serviceOptions, const PeerServiceParts& serviceParts)
    : duty(peersDuty)
    , parts(serviceParts)
    , options(std::move(serviceOptions))
    , address(options.address)
    , codec(options.self, options.keys, parts.clock, parts.metrics)
    , random(options.seed + 2)
    , spread(options.self.instance, options.zone, options.spread, options.seed, parts.clock.now())
{
}

bool PeerService::State::open(Failure& failure)
{
    const auto handler = [self = weak_from_this()](std::string_view bytes) -> std::optional<std::string> {
        const auto state = self.lock();
        return state ? state->answerFrame(bytes) : std::nullopt;
    };
    net::FrameServerLimits limits;
    limits.frameBytes = largestFrame;
    server = net::FrameServer::open(duty, options.address, limits, handler, failure);
    if (!server)
        return false;
    address = server->address();
    socket = net::UdpSocket::bind(duty, address, failure);
    if (!socket)
        return false;
    client = net::FrameClient::create(duty);
    const MemberUpdate self { options.self.instance, options.self.incarnation, 0, Liveness::alive, false, options.zone, address, 0 };
    membership = std::make_unique<Membership>(self, options.membership, options.seed + 1, spread, parts.hybridClock);
    view = membership->view();
    useContacts({});
    return true;
}

void PeerService::State::startFibers()
{
    duty.spawn([self = shared_from_this()] { self->receiveDatagrams(); });
    duty.spawn([self = shared_from_this()] { self->tickWhenDue(); });
    duty.spawn([self = shared_from_this()] { self->copyTables(); });
}

void PeerService::State::close()
{
    if (std::exchange(isClosed, true) || !membership)
        return;
    std::vector<Outgoing> out;
    {
        const std::lock_guard lock(mutex);
        membership->depart(parts.clock.now(), out);
    }
    sendAll(out);
    socket->close();
    server->close();
}

void PeerService::State::receiveDatagrams()
{
    while (!isClosed) {
        Failure failure;
        const std::optional<net::Datagram> datagram = socket->receive(receiveWait, failure);
        if (isClosed || !datagram)
            continue;
        parts.metrics.add("whinyard_peer_datagrams_received_total");
        const std::optional<OpenedHeartbeat> opened = codec.openHeartbeat(datagram->bytes);
        if (!opened)
            continue;
        std::vector<Outgoing> out;
        {
            const std::lock_guard lock(mutex);
            membership->receive(opened->sender, opened->heartbeat, parts.clock.now(), out);
        }
        sendAll(out);
        afterStep();
    }
}

void PeerService::State::tickWhenDue()
{
    while (!isClosed) {
        tick();
        afterStep();
        reportMetrics();
        std::chrono::nanoseconds sleep = longestSleep;
        {
            const std::lock_guard lock(mutex);
            sleep = std::min<std::chrono::nanoseconds>(sleep, membership->due() - parts.clock.now());
        }
        net::sleepFor(std::max<std::chrono::nanoseconds>(sleep, shortestSleep));
    }
}

void PeerService::State::tick()
{
    std::vector<Outgoing> out;
    {
        const std::lock_guard lock(mutex);
        const SteadyTime now = parts.clock.now();
        if (now >= membership->due())
            membership->tick(now, out);
    }
    sendAll(out);
}

void PeerService::State::sendAll(const std::vector<Outgoing>& out)
{
    for (const Outgoing& outgoing : out) {
        const std::optional<std::string> bytes = codec.seal(outgoing.recipient, outgoing.heartbeat);
        if (!bytes) {
            parts.metrics.add("whinyard_peer_unsealed_total");
            continue;
        }
        Failure failure;
        if (!socket->send(outgoing.address, *bytes, failure)) {
            parts.metrics.add("whinyard_peer_unsent_total");
            continue;
        }
        parts.metrics.add("whinyard_peer_datagrams_sent_total");
        parts.metrics.add("whinyard_peer_datagram_bytes_sent_total", bytes->size());
    }
}

// Brings the spread up to date with the membership, and starts a fetch that is due. Called on the duty.
void PeerService::State::afterStep()
{
    std::optional<InstanceName> from;
    {
        const std::lock_guard lock(mutex);
        const auto current = membership->view();
        if (current != view) {
            if (current->members.size() != view->members.size())
                log::info("the membership changed", { { "members", std::to_string(current->members.size()) } });
            view = current;
            spread.setView(*view);
        }
        from = spread.takeFetch(parts.clock.now());
    }
    if (from)
        duty.spawn([self = shared_from_this(), name = *from] { self->fetch(name); });
}

void PeerService::State::fetch(const InstanceName& from)
{
    const SteadyTime startedAt = parts.clock.now();
    std::uint64_t held = 0;
    {
        const std::lock_guard lock(mutex);
        held = spread.held();
    }
    Failure failure;
    const auto response = call(from, FetchConfiguration { held }, fetchTimeout, failure);
    const auto* answer = response ? std::get_if<FetchConfigurationAnswer>(&*response) : nullptr;
    std::optional<config::Configuration> parsed;
    if (answer && !answer->record.empty())
        parsed = config::parseRecord(answer->record, failure);
    const std::lock_guard lock(mutex);
    if (!parsed || parsed->revision != answer->revision) {
        parts.metrics.add("whinyard_peer_fetches_failed_total");
        spread.fetchFailed(from, parts.clock.now());
        return;
    }
    spread.fetched(from, startedAt, *answer, parts.clock.now());
    adopt({ std::make_shared<const config::Configuration>(std::move(*parsed)), answer->record });
}

// Makes a configuration the newest one if the spread holds it. Called with the mutex held.
void PeerService::State::adopt(const ReadConfiguration& read)
{
    if (read.configuration->revision != spread.held() || (configuration && configuration->revision >= spread.held()))
        return;
    configuration = read.configuration;
    log::info("a new configuration is in force", { { "revision", std::to_string(spread.held()) } });
}

// Copies the tables of other instances, which is faster than to wait for their repetition; more than once, since at the
// start of a whole fleet the first copy holds little.
void PeerService::State::copyTables()
{
    for (const std::chrono::milliseconds pause : copyPauses) {
        net::sleepFor(pause);
        for (int attempt = 0; attempt < copyAttempts && !isClosed && !copyTablesOnce(); ++attempt)
            net::sleepFor(copyRetry);
    }
}

bool PeerService::State::copyTablesOnce()
{
    std::vector<InstanceName> others;
    {
        const std::lock_guard lock(mutex);
        for (const Member& member : view->members) {
            if (member.name != options.self.instance)
                others.push_back(member.name);
        }
    }
    if (others.empty())
        return false;
    const InstanceName& other = others[below(random, others.size())];
    return copyMembersFrom(other) && copyGossipFrom(other);
}

bool PeerService::State::copyMembersFrom(const InstanceName& instance)
{
    Failure failure;
    const auto response = call(instance, MemberSync {}, fetchTimeout, failure);
    const auto* answer = response ? std::get_if<MemberSyncAnswer>(&*response) : nullptr;
    if (!answer)
        return false;
    {
        const std::lock_guard lock(mutex);
        membership->copy(answer->members, parts.clock.now());
    }
    afterStep();
    return true;
}

bool PeerService::State::copyGossipFrom(const InstanceName& instance)
{
    for (int page = 0; page < largestPageCount && !isClosed; ++page) {
        GossipSync request;
        {
            const std::lock_guard lock(mutex);
            request.held = membership->gossip().digests();
        }
        Failure failure;
        const auto response = call(instance, request, fetchTimeout, failure);
        const auto* answer = response ? std::get_if<GossipSyncAnswer>(&*response) : nullptr;
        if (!answer)
            return false;
        const std::lock_guard lock(mutex);
        for (const GossipEntry& entry : answer->entries)
            membership->gossip().learn(entry);
        if (!answer->more)
            return true;
    }
    return true;
}

void PeerService::State::useContacts(std::vector<Contact> listed)
{
    std::vector<InstanceName> instances;
    for (const Contact& contact : listed)
        instances.push_back(contact.name);
    for (const settings::Seed& seed : options.seeds) {
        const auto isSeed = [&seed](const Contact& contact) { return contact.name == seed.name; };
        if (std::none_of(listed.begin(), listed.end(), isSeed))
            listed.push_back({ seed.name, seed.peers });
    }
    if (instances.empty()) {
        for (const Contact& contact : listed)
            instances.push_back(contact.name);
    }
    const std::lock_guard lock(mutex);
    membership->setContacts(std::move(listed));
    spread.setInstances(std::move(instances));
}

void PeerService::State::reportMetrics()
{
    const SteadyTime now = parts.clock.now();
    if (now - lastMetrics < metricsInterval)
        return;
    lastMetrics = now;
    const std::lock_guard lock(mutex);
    parts.metrics.set("whinyard_peer_members", static_cast<double>(view->members.size()));
    parts.metrics.set("whinyard_configuration_held", static_cast<double>(spread.held()));
    parts.metrics.set("whinyard_configuration_known", static_cast<double>(spread.known()));
    parts.metrics.set("whinyard_configuration_fresh", spread.standing(now) == Standing::fresh ? 1 : 0);
    if (const auto age = spread.proofAge(now))
        parts.metrics.set("whinyard_configuration_proof_age_seconds", std::chrono::duration<double>(*age).count());
}

}
