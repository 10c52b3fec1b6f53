#include "entry/PeerLink.h"

#include "Shared.h"
#include "whinyard/base/Log.h"
#include "whinyard/peer/DrawnPeers.h"
#include "whinyard/policy/ShiftRecords.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    // Less work is over before a notice of it changes a choice; most requests bring less.
    constexpr std::chrono::milliseconds worthTelling { 25 };

    // Added to the time for which a request holds memory: until the directory has noticed that it runs on, and that was told.
    constexpr std::chrono::milliseconds memorySlack { 250 };

    // Of a larger fleet so many instances hear of work, drawn anew each time. The more instances there are, the less likely it is
    // that one of them chooses the same endpoint before the work is done.
    constexpr std::size_t mostToldOfWork = 96;

    constexpr std::chrono::seconds receiveWait { 30 };

    // Notices of lost requests are sent each tick of 50 ms; so many of them at most, so that a wave of failures fills no link.
    constexpr int mostQueryNotices = 2;

    // An instance that was frozen, cut off or away when a verdict was told hears of it within some seconds: each of N tells three
    // drawn ones each second, so that one is missed by all in a second with e^-3, and in three seconds with e^-9.
    constexpr std::chrono::milliseconds repeatInterval { 1'000 };
    constexpr std::size_t repeatTargets = 3;

    std::string_view text(policy::RateReport::Kind kind)
    {
        switch (kind) {
        case policy::RateReport::Kind::begun:
            return "begun";
        case policy::RateReport::Kind::changed:
            return "changed";
        case policy::RateReport::Kind::ended:
            return "ended";
        case policy::RateReport::Kind::confirmed:
        case policy::RateReport::Kind::confirmedEnd:
            break;
        }
        return "confirmed";
    }

    // Calls `use` for each run of at most peer::mostRates.
    template <typename Use>
    void forEachNotice(const std::vector<RateNews>& rates, Use use)
    {
        for (std::size_t begin = 0; begin < rates.size(); begin += peer::mostRates) {
            const std::size_t end = std::min(begin + peer::mostRates, rates.size());
            use(peer::RateNotice { { rates.begin() + static_cast<std::ptrdiff_t>(begin), rates.begin() + static_cast<std::ptrdiff_t>(end) } });
        }
    }

}

PeerLink::PeerLink(EntryShared& shared, endpoint::EndpointDirectory& directory, policy::VersionShifts& shifts, policy::QueryOfDeathTable& queries)
    : m_shared(shared)
    , m_directory(directory)
    , m_shifts(shifts)
    , m_queries(queries)
    , m_random(seededRandom())
{
}

bool PeerLink::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    m_socket = net::UdpSocket::bind(duty, *m_shared.settings.peers, failure);
    if (!m_socket)
        return false;
    duty.spawn([this] { receiveAll(); });
    return true;
}

void PeerLink::broadcast(const peer::Notice& notice)
{
    if (!m_socket || m_peers.empty())
        return;
    const std::string bytes = peer::encodeNotice(notice);
    for (const net::Address& to : m_peers)
        send(to, bytes);
}

void PeerLink::sendTo(const net::Address& to, const peer::Notice& notice)
{
    if (m_socket)
        send(to, peer::encodeNotice(notice));
}

void PeerLink::send(const InstanceName& to, const peer::Notice& notice)
{
    if (const auto known = m_addresses.find(to); known != m_addresses.end())
        sendTo(known->second, notice);
}

void PeerLink::send(const net::Address& to, const std::string& bytes)
{
    Failure failure;
    m_shared.metrics.add(m_socket->send(to, bytes, failure) ? "whinyard_notices_sent_total" : "whinyard_notices_unsent_total");
}

void PeerLink::tellQueries()
{
    const SteadyTime now = m_shared.clock.now();
    logQueryChanges(m_queries);
    for (int notices = 0; notices < mostQueryNotices; ++notices) {
        const QueryNews news = m_queries.takeNews(now);
        if (news.empty())
            break;
        for (const QueryVerdict& verdict : news.verdicts)
            log::info("verdict told", { { "digest", toText(verdict.request) }, { "service", verdict.service.value }, { "endpointsEnded", std::to_string(verdict.lives.size()) }, { "instances", std::to_string(m_peers.size()) } });
        broadcast(peer::QueryNotice { news });
    }
    if (now - m_verdictsToldAt >= repeatInterval) {
        m_verdictsToldAt = now;
        repeatVerdicts();
    }
}

// Where many hold, some of them are drawn: an instance that missed more reads them from the store.
void PeerLink::repeatVerdicts()
{
    std::vector<QueryVerdict> verdicts = m_queries.standing(m_shared.clock.now());
    m_shared.metrics.set("whinyard_queries_of_death", static_cast<double>(verdicts.size()));
    if (!m_socket || m_peers.empty() || verdicts.empty())
        return;
    peer::QueryNotice notice;
    while (!verdicts.empty() && notice.news.verdicts.size() < mostVerdicts) {
        const auto drawn = verdicts.begin() + static_cast<std::ptrdiff_t>(below(m_random, verdicts.size()));
        notice.news.verdicts.push_back(*drawn);
        verdicts.erase(drawn);
    }
    const std::string bytes = peer::encodeNotice(notice);
    for (std::size_t i = 0; i < repeatTargets; ++i)
        send(m_peers[below(m_random, m_peers.size())], bytes);
}

void PeerLink::tellRates()
{
    std::vector<RateNews> forAll;
    std::vector<RateNews> forSome;
    for (const policy::RateReport& report : m_directory.takeRateReports()) {
        const RateNews& news = report.news;
        if (report.isChange())
            log::info("endpoint's rate limit " + std::string(text(report.kind)), { { "endpoint", news.endpoint.value }, { "requestsPerSecond", std::to_string(news.requestsPerSecond) }, { "statedAgoMs", std::to_string(news.statedAgo.count()) }, { "source", report.isOwn ? "answer" : "instance" } });
        if (report.isOwn)
            (report.concernsAll() ? forAll : forSome).push_back(news);
    }
    m_shared.metrics.set("whinyard_endpoints_limited", static_cast<double>(m_directory.limitedEndpoints()));
    broadcastRates(forAll);
    spreadRates(forSome);
}

void PeerLink::broadcastRates(const std::vector<RateNews>& rates)
{
    forEachNotice(rates, [this](const peer::RateNotice& notice) { broadcast(notice); });
}

// Those that missed a change, or have started since, learn of it from one of the answers that follow.
void PeerLink::spreadRates(const std::vector<RateNews>& rates)
{
    if (!m_socket || m_peers.empty())
        return;
    forEachNotice(rates, [this](const peer::RateNotice& notice) {
        const std::string bytes = peer::encodeNotice(notice);
        for (std::size_t i = 0; i < repeatTargets; ++i)
            send(m_peers[below(m_random, m_peers.size())], bytes);
    });
}

void PeerLink::tellPaces()
{
    for (const policy::PaceChange& change : m_directory.takePaceChanges())
        log::info(change.isSlow ? "engine is slow" : "engine is no longer slow", { { "endpoint", change.engine.value }, { "factor", std::to_string(change.factor) }, { "samples", std::to_string(change.samples) } });
    m_shared.metrics.set("whinyard_engines_slow", static_cast<double>(m_directory.slowEngines()));
    const peer::PaceNotice notice { m_directory.takePaceNewsToTell(peer::mostPaces, m_shared.clock.now()) };
    if (notice.paces.empty())
        return;
    m_shared.metrics.add("whinyard_pace_notices_total");
    tellSome(notice, mostToldOfWork);
}

double PeerLink::gave(const EndpointName& endpoint, std::chrono::nanoseconds work, const std::vector<std::uint64_t>& prefix, const router::MemoryNeed& need)
{
    if (work < worthTelling)
        return 0;
    const policy::EngineMemory::Telling telling = policy::EngineMemory::telling(std::min(m_peers.size(), mostToldOfWork), m_peers.size());
    peer::WorkNotice notice { endpoint, std::chrono::duration_cast<std::chrono::microseconds>(work), prefix, static_cast<std::uint32_t>(std::min<double>(need.tokens * telling.factor, peer::mostHeldTokens)), std::chrono::ceil<std::chrono::milliseconds>(need.duration) + memorySlack };
    notice.prefixes.resize(std::min(notice.prefixes.size(), peer::mostPrefixes));
    if (notice.tokens > 0)
        notice.identity = std::max<std::uint64_t>(1, m_random());
    const std::vector<net::Address> told = tellSome(notice, mostToldOfWork);
    planRepetition(notice, told);
    return told.empty() ? 0 : telling.share;
}

// A request that ends before its repetition needs none.
void PeerLink::planRepetition(const peer::WorkNotice& notice, const std::vector<net::Address>& told)
{
    if (notice.identity == 0 || told.empty() || notice.duration <= policy::reportRepeatedAfter)
        return;
    peer::WorkNotice repeated = notice;
    repeated.duration -= policy::reportRepeatedAfter;
    m_repetitions.push_back({ m_shared.clock.now() + policy::reportRepeatedAfter, peer::encodeNotice(repeated), told });
}

void PeerLink::repeatWork()
{
    for (; !m_repetitions.empty() && m_repetitions.front().at <= m_shared.clock.now(); m_repetitions.pop_front()) {
        for (const net::Address& to : m_repetitions.front().to)
            send(to, m_repetitions.front().bytes);
    }
}

void PeerLink::tellOverdueMemory()
{
    const double factor = policy::EngineMemory::telling(std::min(m_peers.size(), mostToldOfWork), m_peers.size()).factor;
    m_directory.tellOverdue([&](const EndpointName& endpoint, std::uint32_t tokens, std::chrono::nanoseconds duration) {
        tellSome(peer::WorkNotice { endpoint, {}, {}, static_cast<std::uint32_t>(std::min<double>(tokens * factor, peer::mostHeldTokens)), std::chrono::ceil<std::chrono::milliseconds>(duration) + memorySlack }, mostToldOfWork);
    });
}

// Returns the instances that are told. Each of them gets as many as an instance sends, whatever the fleet's size.
std::vector<net::Address> PeerLink::tellSome(const peer::Notice& notice, std::size_t most)
{
    std::vector<net::Address> told;
    if (!m_socket || m_peers.empty())
        return told;
    const std::string bytes = peer::encodeNotice(notice);
    for (const std::size_t drawn : peer::drawnPeers(m_peers.size(), most, m_random)) {
        send(m_peers[drawn], bytes);
        told.push_back(m_peers[drawn]);
    }
    return told;
}

void PeerLink::tellPins()
{
    for (const ServiceName& service : m_shifts.services()) {
        const std::vector<std::uint64_t> pins = m_shifts.takePins(service);
        for (std::size_t begin = 0; begin < pins.size(); begin += peer::mostPins) {
            const std::size_t end = std::min(begin + peer::mostPins, pins.size());
            broadcast(peer::PinNotice { service, { pins.begin() + static_cast<std::ptrdiff_t>(begin), pins.begin() + static_cast<std::ptrdiff_t>(end) } });
        }
    }
}

void PeerLink::receiveAll()
{
    while (!m_shared.stopping) {
        Failure failure;
        const std::optional<net::Datagram> datagram = m_socket->receive(receiveWait, failure);
        if (!datagram)
            continue;
        const std::optional<peer::Notice> notice = peer::decodeNotice(datagram->bytes);
        m_shared.metrics.add(notice ? "whinyard_notices_received_total" : "whinyard_notices_unreadable_total");
        if (notice)
            std::visit([this](const auto& one) { take(one); }, *notice);
    }
}

void PeerLink::take(const peer::WorkNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    if (!m_taken.take(notice.identity, now))
        return;
    m_directory.recordWork(notice.endpoint, notice.work, now);
    m_directory.recordPrefixes(notice.endpoint, notice.prefixes, now);
    if (notice.tokens > 0)
        m_directory.takeMemoryNews(notice.endpoint, notice.tokens, notice.duration, now);
}

void PeerLink::take(const peer::PinNotice& notice)
{
    m_shifts.takePinned(notice.service, notice.sessions, m_shared.clock.now());
}

void PeerLink::take(const peer::EvidenceNotice& notice)
{
    if (const std::optional<policy::ShiftEvidence> evidence = policy::readShiftEvidence(notice.evidence))
        m_shifts.takeEvidence(notice.service, notice.instance, *evidence, m_shared.clock.now());
}

void PeerLink::take(const peer::ShiftNotice& notice)
{
    if (m_handlers.shift)
        m_handlers.shift(notice);
}

void PeerLink::take(const peer::RosterNotice& notice)
{
    if (m_handlers.roster)
        m_handlers.roster(notice);
}

void PeerLink::take(const peer::InstanceNotice& notice)
{
    if (m_handlers.instance)
        m_handlers.instance(notice);
}

void PeerLink::take(const peer::RecordsNotice& notice)
{
    if (m_handlers.records)
        m_handlers.records(notice);
}

void PeerLink::take(const peer::UsageNotice& notice)
{
    if (m_handlers.usage)
        m_handlers.usage(notice);
}

void PeerLink::take(const peer::DemandNotice& notice)
{
    if (m_handlers.demand)
        m_handlers.demand(notice);
}

void PeerLink::take(const peer::PlaceRequestNotice& notice)
{
    if (m_places)
        m_places->take(notice);
}

void PeerLink::take(const peer::PlaceAnswerNotice& notice)
{
    if (m_places)
        m_places->take(notice);
}

void PeerLink::take(const peer::PlaceReturnNotice& notice)
{
    if (m_places)
        m_places->take(notice);
}

void PeerLink::take(const peer::PlacesHeldNotice& notice)
{
    if (m_places)
        m_places->take(notice);
}

void PeerLink::take(const peer::QueryNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    for (const RequestLoss& loss : notice.news.losses)
        m_queries.takeLoss(loss, now);
    for (const RequestDigest& request : notice.news.completed)
        m_queries.takeCompleted(request, now);
    for (const SoundPart& sound : notice.news.soundParts)
        m_queries.takeSound(sound, now);
    for (const QueryVerdict& verdict : notice.news.verdicts)
        m_queries.takeVerdict(verdict, now);
}

void PeerLink::take(const peer::RateNotice& notice)
{
    for (const RateNews& news : notice.rates)
        m_directory.takeRateNews(news, m_shared.clock.now());
}

void PeerLink::take(const peer::PaceNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    for (const policy::PaceNews& news : notice.paces)
        m_directory.takePaceNews(news, now);
}

void PeerLink::close()
{
    if (m_socket)
        m_socket->close();
}

}
