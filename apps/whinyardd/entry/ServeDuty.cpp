#include "entry/ServeDuty.h"

#include "Shared.h"
#include "whinyard/base/Log.h"
#include "whinyard/net/CarriedBytes.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds refreshInterval { 200 };
    constexpr std::chrono::milliseconds tickInterval { 50 };
    constexpr std::chrono::milliseconds drainPoll { 50 };

    // Of the time for a drain, for the answers to requests that have waited until then.
    constexpr std::chrono::milliseconds lastAnswers { 400 };

    // Until then another instance has objected to a verdict on a request that it has completed lately.
    constexpr std::chrono::milliseconds storeAfter { 500 };

    // The site asks for readiness once a second and takes an instance out after two misses; until then, and a moment
    // longer for what is on its way, new connections still come and are served.
    constexpr std::chrono::milliseconds rotationNotice { 2'500 };

    // Callers use connections again that were idle for up to four fifths of the limit; ours is longer by a quarter, so
    // that a request never meets our close.
    constexpr int idleQuarters = 5;

    // So many changes of the list of endpoints, at once or one after the other, leave megabytes behind, which a process of a small machine
    // can't keep.
    constexpr std::size_t manyChanges = 1'000;

    bool contains(const std::vector<std::string>& list, const std::string& wanted)
    {
        return std::find(list.begin(), list.end(), wanted) != list.end();
    }

    policy::EndpointTableSettings tableSettings()
    {
        policy::EndpointTableSettings settings;
        // Where one answer in seven is a failure by itself, three in a row come once in 350; an endpoint that is gone
        // costs each instance three attempts.
        settings.failuresToEject = 3;
        settings.baseEjection = std::chrono::milliseconds(1'000);
        settings.maximumEjection = std::chrono::milliseconds(8'000);
        settings.successesToReturn = 2;
        return settings;
    }

    policy::ModelChoiceSettings modelSettings(const settings::EntryTuning& tuning)
    {
        policy::ModelChoiceSettings settings;
        settings.cheapFirstBelow = tuning.smallFirstBelow;
        settings.worthPerThousandTokens = tuning.worthPerThousandTokens;
        settings.worthByPriority = tuning.worthByPriority;
        settings.worthOfPriorities = tuning.worthOfPriorities;
        settings.lateWorth = tuning.lateWorth;
        settings.firstByValue = tuning.modelBySize;
        return settings;
    }

    policy::WaitSelectorSettings selectorSettings(const settings::EntryTuning& tuning)
    {
        policy::WaitSelectorSettings settings;
        settings.zoneFactor = tuning.zoneFactor;
        settings.zonePenalty = tuning.zonePenalty;
        settings.regionPenalty = tuning.regionPenalty;
        settings.affinityCachedShare = tuning.affinityCachedShare;
        settings.rereadPenalty = tuning.rereadPenalty;
        settings.leavesLateGroup = tuning.modelBySize;
        settings.randomChoices = tuning.randomChoices;
        settings.fullScanLimit = tuning.fullScanLimit;
        settings.sharesPaces = tuning.sharePaces;
        settings.probeShare = 0.2; // An instance of a small site sees ten requests a second.
        return settings;
    }

    policy::ConnectionGateSettings gateSettings(std::uint32_t linkMegabits)
    {
        constexpr double bytesOfMegabit = 1e6 / 8;
        policy::ConnectionGateSettings settings;
        settings.linkBytesPerSecond = bytesOfMegabit * linkMegabits;
        return settings;
    }

    policy::ShiftSettings shiftSettings(const settings::ServiceBounds& bounds)
    {
        policy::ShiftSettings settings;
        settings.sessionGap = bounds.sessionGap;
        settings.exposureShare = bounds.exposureShare;
        settings.exposureSlack = bounds.exposureSlack;
        settings.life = seededRandom()();
        return settings;
    }

    // Whole answers may hold a quarter of the process's memory, and room for the largest one.
    std::size_t answerBytes(std::uint32_t memoryMegabytes)
    {
        constexpr std::size_t megabyte = 1024 * 1024;
        constexpr std::size_t leastMegabytes = 16;
        constexpr std::size_t part = 4;
        return memoryMegabytes == 0 ? 0 : megabyte * std::max<std::size_t>(leastMegabytes, memoryMegabytes / part);
    }

    router::ForwarderSettings forwarderSettings(const settings::EntrySettings& entry)
    {
        const settings::ServiceBounds& bounds = entry.bounds;
        const settings::EntryTuning& tuning = entry.tuning;
        // A tenth of the bound stays unused, for windows that don't begin when ours do.
        constexpr double usedPart = 0.9;
        router::ForwarderSettings settings;
        settings.repeatRatio = usedPart * bounds.repeatRatio;
        settings.repeatsPerSecond = 0;
        settings.sharedRepeats = bounds.repeatSlack;
        settings.repeatWindow = bounds.repeatWindow;
        settings.isFirstStart = entry.isFirstStart;
        settings.answerBytes = answerBytes(entry.memoryMegabytes);
        settings.coldFactor = bounds.coldFactor;
        settings.coldSlack = bounds.coldSlack;
        settings.enginePrice.delayShare = tuning.delayShare;
        settings.enginePrice.byBusyShare = tuning.delayByBusyShare;
        settings.accountMemory = tuning.accountMemory;
        return settings;
    }

    net::HttpServerLimits serverLimits(const config::CallerLimits& limits)
    {
        net::HttpServerLimits taken;
        taken.headerBytes = limits.headerBytes;
        taken.bodyBytes = limits.bodyBytes;
        taken.receiveTimeout = limits.headerTimeout;
        taken.idleTimeout = limits.idleTimeout * idleQuarters / 4;
        return taken;
    }

}

ServeDuty::ServeDuty(EntryShared& shared)
    : m_shared(shared)
    , m_directory(shared.settings.zone, seededRandom(), tableSettings(), selectorSettings(shared.settings.tuning))
    , m_shifts(shiftSettings(shared.settings.bounds))
    , m_models(modelSettings(shared.settings.tuning))
    , m_gate(gateSettings(shared.settings.linkMegabits))
    , m_usage(shared.settings.bounds.usageWindow, shared.settings.bounds.usageDue)
    , m_wallClock(shared.clock)
    , m_link(shared, m_directory, m_shifts, m_queries)
{
    m_directory.useRegions(shared.settings.regions);
}

bool ServeDuty::open(Failure& failure)
{
    return net::callOn(m_duty, [&] { return openOnDuty(failure); }).value_or(false);
}

bool ServeDuty::openOnDuty(Failure& failure)
{
    const settings::DescriptorShares& shares = m_shared.shares;
    m_client = m_shared.transport.makeClient(m_duty, { .connections = shares.endpoints });
    m_listening = m_shared.transport.makeProbe(m_duty, shares.probes);
    openPlaces();
    const router::ForwarderParts parts { m_shared.clock, m_shared.metrics, m_shared.routing, m_codec, m_directory, m_shifts, m_models, m_queries, *m_client, *m_listening, m_fibers, &m_link, m_shared.settings.provider && m_shared.settings.provider->takesUsage ? this : nullptr, m_places.get(), this };
    m_forwarder = std::make_unique<router::Forwarder>(parts, forwarderSettings(m_shared.settings), seededRandom());
    const net::HttpHandler forward = [this](const net::HttpRequest& request, net::HttpResponder& responder) { m_forwarder->handle(request, responder); };
    const net::HttpHandler tellReadiness = [this](const net::HttpRequest&, net::HttpResponder& responder) {
        constexpr int ready = 200;
        constexpr int notReady = 503;
        responder.send({ .status = isReady() ? ready : notReady, .fields = {}, .body = {} });
    };
    net::HttpServerLimits callerLimits = serverLimits({});
    callerLimits.connections = shares.callers;
    m_server = net::HttpServer::open(m_duty, m_shared.settings.callers, callerLimits, forward, failure);
    if (m_server) {
        m_server->useAdmission([this] { return pauseAfterConnection(); });
        m_readiness = net::HttpServer::open(m_duty, m_shared.settings.readiness, { .connections = shares.readiness }, tellReadiness, failure);
    }
    if (!m_readiness || !m_link.open(m_duty, failure) || !openRelay(failure))
        return false;
    if (!m_shared.settings.peers) {
        m_forwarder->useInstances(1);
        m_directory.useInstances(m_shared.settings.instance, {});
    }
    m_duty.spawn([this] { refreshDirectory(); });
    m_duty.spawn([this] { tickForwarder(); });
    return true;
}

void ServeDuty::openPlaces()
{
    // Without other instances there is nobody to share with.
    if (!m_shared.settings.tuning.sharePlaces || !m_shared.settings.peers)
        return;
    const router::SharedPlacesParts parts { m_shared.clock, m_shared.metrics, m_shared.routing, m_directory, m_fibers, m_link };
    m_places = std::make_unique<router::SharedPlaces>(parts, router::SharedPlacesSettings {}, m_shared.settings.instance, m_shared.settings.zone, seededRandom());
    m_link.usePlaces(m_places.get());
}

bool ServeDuty::openRelay(Failure& failure)
{
    if (!m_shared.settings.relay)
        return true;
    m_relay = net::ConnectRelay::open(
        m_duty, *m_shared.settings.relay, { .connections = std::min(m_shared.shares.relayed, net::ConnectRelayLimits().connections) }, [this](const net::RelayedConnect& connect) { return relayTarget(connect); },
        [this](const net::RelayedConnect& connect, const net::RelayedResult& result) { noteRelayed(connect, result); }, failure);
    return m_relay != nullptr;
}

// Only other instances may connect by way of this one, and only to endpoints that it knows and reaches itself.
std::optional<net::Address> ServeDuty::relayTarget(const net::RelayedConnect& connect)
{
    const EndpointName name { std::string(net::fieldValue(connect.fields, router::relayEndpointField)) };
    const std::optional<backing::ListedEndpoint> endpoint = m_directory.findLive(name);
    std::string reason;
    if (!m_instanceHosts.contains(connect.from.host))
        reason = "not asked by an instance that is known";
    else if (!endpoint)
        reason = "no such endpoint is known";
    else if (!m_forwarder->reachesDirectly(endpoint->service))
        reason = "this instance doesn't reach the endpoints of " + endpoint->service.value + " either";
    log::info(reason.empty() ? "connection relayed" : "connection not relayed", { { "request", std::string(net::fieldValue(connect.fields, router::relayRequestField)) }, { "endpoint", name.value }, { "from", connect.from.host }, { "reason", reason } });
    m_shared.metrics.add(reason.empty() ? "whinyard_relay_requests_total{outcome=\"taken\"}" : "whinyard_relay_requests_total{outcome=\"declined\"}");
    return reason.empty() ? std::optional(endpoint->address) : std::nullopt;
}

void ServeDuty::noteRelayed(const net::RelayedConnect& connect, const net::RelayedResult& result)
{
    const std::string end(text(result.end));
    log::info("relayed connection ended", { { "request", std::string(net::fieldValue(connect.fields, router::relayRequestField)) }, { "endpoint", std::string(net::fieldValue(connect.fields, router::relayEndpointField)) }, { "end", end }, { "answerBytes", std::to_string(result.answerBytes) } });
    m_shared.metrics.add("whinyard_relay_ends_total{end=\"" + end + "\"}");
}

void ServeDuty::noteNews()
{
    m_forwarder->noteNews();
    if (m_places)
        m_places->noteNews();
}

bool ServeDuty::isReady()
{
    Failure failure;
    std::string reason;
    if (m_shared.draining)
        reason = "draining";
    else if (!m_shared.endpointsKnown)
        reason = "no list of endpoints is known yet";
    else if (!m_shared.routing.mayServe(failure))
        reason = failure.reason;
    const bool ready = reason.empty();
    if (std::exchange(m_wasReady, ready) != ready)
        log::info(ready ? "ready" : "no longer ready", { { "reason", reason } });
    return ready;
}

void ServeDuty::refreshDirectory()
{
    while (!m_shared.stopping) {
        m_directory.refresh(m_shared.clock.now());
        m_shared.metrics.set("whinyard_endpoints_cold", static_cast<double>(m_directory.coldEndpoints(m_shared.clock.now())));
        m_shared.metrics.set("whinyard_versions_brittle", static_cast<double>(m_directory.brittleVersions()));
        if (m_shared.settings.tuning.accountMemory) {
            m_link.tellOverdueMemory();
            const policy::EngineMemory::Shares shares = m_directory.memoryShares(m_shared.clock.now());
            m_shared.metrics.set("whinyard_engine_memory_largest_share", shares.largest);
            m_shared.metrics.set("whinyard_engine_memory_mean_share", shares.mean);
        }
        tellConnections();
        net::sleepFor(refreshInterval);
    }
}

void ServeDuty::tellConnections() const
{
    const auto tell = [this](std::string_view use, std::size_t count) { tellConnectionCount(m_shared.metrics, use, count); };
    const net::HttpConnections endpoints = m_client->connections();
    tell("callers", m_server->connections());
    tell("endpoints", endpoints.inUse);
    tell("endpointsKept", endpoints.kept);
    tell("readiness", m_readiness->connections());
    tell("relayed", m_relay ? m_relay->connections() : 0);
}

void ServeDuty::tickForwarder()
{
    while (!m_shared.stopping) {
        m_forwarder->tick();
        if (m_places)
            m_places->tick();
        m_link.tellPins();
        m_link.repeatWork();
        m_queries.refresh(m_shared.clock.now());
        m_hasVerdicts = !m_queries.hasNoVerdicts();
        m_link.tellQueries();
        m_link.tellRates();
        m_link.tellPaces();
        const SteadyTime due = m_shared.clock.now() + tickInterval;
        net::sleepFor(tickInterval);
        noteDelay(m_shared.clock.now() - due);
        noteLinkUse();
    }
}

std::chrono::nanoseconds ServeDuty::pauseAfterConnection()
{
    noteBytes();
    const std::chrono::nanoseconds pause = m_gate.pauseAfterConnection(m_shared.clock.now());
    if (pause.count() > 0) {
        m_shared.metrics.add("whinyard_listener_pauses_total");
        m_shared.metrics.observe("whinyard_listener_pause_seconds", pause);
    }
    return pause;
}

void ServeDuty::noteBytes()
{
    const net::CarriedBytes carried = net::carriedBytes();
    m_gate.noteBytes({ carried.received, carried.sent }, m_shared.clock.now());
    m_gate.noteWasted(m_forwarder->takeWastedBytes());
}

void ServeDuty::noteDelay(std::chrono::nanoseconds delay)
{
    const SteadyTime now = m_shared.clock.now();
    const std::optional<std::chrono::nanoseconds> connect = m_forwarder->takeShortestConnect();
    m_gate.noteWorkDelay(delay, now);
    if (connect)
        m_gate.noteConnectTime(*connect, now);
    m_shared.metrics.set("whinyard_serve_delay_seconds", std::chrono::duration<double>(delay).count());
    const auto inMilliseconds = [](std::chrono::nanoseconds time) { return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()); };
    if (const bool delayed = m_gate.isDelayed(now); std::exchange(m_wasDelayed, delayed) != delayed)
        log::warning(delayed ? "overloaded, turning connections away" : "no longer overloaded", { { "delayMs", inMilliseconds(delay) }, { "connectMs", connect ? inMilliseconds(*connect) : "" }, { "linkUse", std::to_string(m_gate.linkUse()) } });
}

void ServeDuty::noteLinkUse()
{
    noteBytes();
    const net::CarriedBytes carried = net::carriedBytes();
    m_shared.metrics.set("whinyard_serve_received_bytes", static_cast<double>(carried.received));
    m_shared.metrics.set("whinyard_serve_sent_bytes", static_cast<double>(carried.sent));
    m_shared.metrics.set("whinyard_link_use_share", m_gate.linkUse());
    if (const bool isFull = m_gate.isLinkFull(); std::exchange(m_wasLinkFull, isFull) != isFull)
        log::warning(isFull ? "own link is full" : "own link is no longer full", { { "share", std::to_string(m_gate.linkUse()) } });
}

void ServeDuty::takeLimits(const config::CallerLimits& limits)
{
    m_duty.post([this, limits] {
        m_server->useLimits(serverLimits(limits));
        noteNews();
    });
}

void ServeDuty::noteRouting()
{
    m_duty.post([this] { noteNews(); });
}

bool ServeDuty::takeEndpoints(endpoint::RosterChanges changes)
{
    return m_duty.post([this, changes = std::move(changes)]() mutable {
        for (backing::ListedEndpoint& endpoint : changes.changed)
            endpoint.versions = { router::targetName(endpoint.service, endpoint.versions.front().value) };
        m_directory.change(changes.changed, changes.gone, m_shared.clock.now());
        for (const auto& [service, versions] : m_directory.liveVersions())
            useVersions(service, router::versionsOf(service, versions));
        noteNews();
        m_changesSinceRelease += changes.changed.size();
        if (m_changesSinceRelease > manyChanges) {
            m_changesSinceRelease = 0;
            releaseFreeMemory();
        }
    });
}

// Keeps the order in which versions appeared.
void ServeDuty::useVersions(const ServiceName& service, const std::vector<std::string>& present)
{
    std::vector<std::string>& known = m_versions[service];
    std::erase_if(known, [&](const std::string& version) { return !contains(present, version); });
    for (const std::string& version : present) {
        if (!contains(known, version))
            known.push_back(version);
    }
    m_forwarder->useVersions(service, known);
}

void ServeDuty::takePeers(std::vector<net::Address> peers)
{
    m_duty.post([this, peers = std::move(peers)]() mutable { m_link.usePeers(std::move(peers)); });
}

void ServeDuty::takeInstances(std::vector<peer::InstanceNotice> instances)
{
    m_duty.post([this, instances = std::move(instances)] {
        std::vector<InstanceName> names;
        std::map<InstanceName, net::Address> addresses;
        std::map<InstanceName, net::Address> relays;
        m_instanceHosts.clear();
        for (const peer::InstanceNotice& instance : instances) {
            names.push_back(instance.instance);
            addresses[instance.instance] = instance.address;
            m_instanceHosts.insert(instance.address.host);
            if (instance.instance != m_shared.settings.instance)
                addRelay(instance, relays);
        }
        m_forwarder->useRelays(std::move(relays));
        m_forwarder->useInstances(std::max<std::size_t>(1, names.size()));
        m_queries.useInstances(names.size(), stableHash(m_shared.settings.instance.value));
        m_directory.useInstances(m_shared.settings.instance, names);
        m_link.useAddresses(std::move(addresses));
        if (m_places)
            m_places->useInstances(names);
    });
}

// The ports of all instances are as far apart as those of this one.
void ServeDuty::addRelay(const peer::InstanceNotice& instance, std::map<InstanceName, net::Address>& relays) const
{
    const settings::EntrySettings& settings = m_shared.settings;
    if (settings.relay && settings.peers)
        relays[instance.instance] = { instance.address.host, static_cast<std::uint16_t>(instance.address.port + settings.relay->port - settings.peers->port) };
}

void ServeDuty::broadcast(peer::Notice notice)
{
    m_duty.post([this, notice = std::move(notice)] { m_link.broadcast(notice); });
}

void ServeDuty::tellSome(peer::Notice notice, std::size_t most)
{
    m_duty.post([this, notice = std::move(notice), most] { m_link.tellSome(notice, most); });
}

void ServeDuty::sendTo(const net::Address& to, peer::Notice notice)
{
    m_duty.post([this, to, notice = std::move(notice)] { m_link.sendTo(to, notice); });
}

void ServeDuty::began(const CustomerName& customer)
{
    m_usage.note(customer, m_wallClock.now());
}

std::vector<leadership::UsageWindow> ServeDuty::takeUsageNews()
{
    return net::callOn(m_duty, [this] { return m_usage.takeNews(m_wallClock.now()); }).value_or(std::vector<leadership::UsageWindow>());
}

void ServeDuty::tellUsageAgain()
{
    m_duty.post([this] { m_usage.tellAgain(); });
}

std::vector<policy::ServiceLoad> ServeDuty::loads()
{
    return net::callOn(m_duty, [this] { return m_forwarder->loads(); }).value_or(std::vector<policy::ServiceLoad>());
}

void ServeDuty::useNoticeHandlers(NoticeHandlers handlers)
{
    m_duty.post([this, handlers = std::move(handlers)]() mutable { m_link.useHandlers(std::move(handlers)); });
}

void ServeDuty::postToShifts(std::function<void(policy::VersionShifts&)> use)
{
    m_duty.post([this, use = std::move(use)] { use(m_shifts); });
}

void ServeDuty::takeStoredVerdicts(std::vector<QueryVerdict> verdicts)
{
    m_duty.post([this, verdicts = std::move(verdicts)] { m_queries.takeStored(verdicts, m_shared.clock.now()); });
}

void ServeDuty::forgetStoredVerdicts()
{
    m_duty.post([this] { m_queries.forgetStored(); });
}

std::vector<QueryVerdict> ServeDuty::unstoredVerdicts()
{
    return net::callOn(m_duty, [this] { return m_queries.unstored(storeAfter, m_shared.clock.now()); }).value_or(std::vector<QueryVerdict>());
}

void ServeDuty::noteStoredVerdict(const RequestDigest& request)
{
    m_duty.post([this, request] { m_queries.noteStored(request, m_shared.clock.now()); });
}

std::vector<RequestDigest> ServeDuty::refutedVerdicts()
{
    return net::callOn(m_duty, [this] { return m_queries.takeRefuted(); }).value_or(std::vector<RequestDigest>());
}

bool ServeDuty::drain(std::chrono::milliseconds bound)
{
    const SteadyTime end = m_shared.clock.now() + bound;
    std::optional<bool> drained;
    do {
        drained = net::callOn(m_duty, [&] { return drainOnDuty(end); });
        if (!drained)
            std::this_thread::sleep_for(drainPoll); // It is too busy to be asked; ending now would cut what it handles.
    } while (!drained && m_shared.clock.now() < end && !m_shared.stopping);
    return drained.value_or(false);
}

bool ServeDuty::drainOnDuty(SteadyTime end)
{
    const SteadyTime closing = std::min(m_shared.clock.now() + rotationNotice, end);
    m_server->announceClose();
    if (m_relay)
        m_relay->drain(); // What it carries ends with the requests of other instances; they find another relay.
    m_forwarder->endBy(end - lastAnswers);
    noteNews();
    while (m_shared.clock.now() < closing)
        net::sleepFor(drainPoll);
    m_server->drain();
    while (m_forwarder->active() > 0 || !m_server->isDrained() || (m_relay && !m_relay->isDrained())) {
        if (m_shared.clock.now() >= end)
            return false;
        net::sleepFor(drainPoll);
    }
    return true;
}

void ServeDuty::stop()
{
    net::runOn(m_duty, [this] {
        if (m_server)
            m_server->close();
        if (m_readiness)
            m_readiness->close();
        if (m_relay)
            m_relay->close();
        m_link.close();
    });
    m_duty.stop();
}

}
