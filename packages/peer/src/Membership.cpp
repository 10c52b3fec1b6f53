// Probes, suspicions and answers; MembershipNews.cpp holds what is known and told of members.
#include "whinyard/peer/Membership.h"

#include <algorithm>
#include <utility>

namespace whinyard::peer {

namespace {

    constexpr int pauseIntervals = 2; // A later tick shows that this process stood still.
    constexpr std::size_t announcementCount = 16; // Members that are told at once.
    constexpr std::size_t lonelyContacts = 3; // Contacts tried at once while no member is known.
    constexpr std::size_t largestRelayCount = 64;
    constexpr int clockDriftShare = 1'000; // Two steady clocks drift apart by less than one in so many.

}

Membership::Membership(MemberUpdate self, MembershipOptions options, std::uint64_t seed, ReportExchange& reports, HybridClock& hybridClock)
    : m_options(options)
    , m_reports(reports)
    , m_hybridClock(hybridClock)
    , m_random(seed)
    , m_self(std::move(self))
    , m_news(m_random())
    , m_gossip({ m_self.name, m_self.incarnation }, m_random())
{
}

void Membership::setContacts(std::vector<Contact> contacts)
{
    std::erase_if(contacts, [this](const Contact& contact) { return contact.name == m_self.name; });
    m_contacts = std::move(contacts);
}

void Membership::tick(SteadyTime now, std::vector<Outgoing>& out)
{
    if (!m_lastTick)
        m_nextInterval = now + std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(m_options.interval.count())));
    else
        noticePause(now);
    m_lastTick = now;
    followProbes(now, out);
    endSuspicions(now);
    std::erase_if(m_relays, [now](const Relay& relay) { return relay.expires <= now; });
    if (now < m_nextInterval)
        return;
    m_nextInterval = std::max(m_nextInterval + m_options.interval, now + m_options.interval / 2);
    forgetDead(now);
    startInterval(now, out);
    tryContacts(now, out);
}

SteadyTime Membership::due() const
{
    SteadyTime due = m_lastTick ? m_nextInterval : SteadyTime {};
    for (const Probe& probe : m_probes)
        due = std::min(due, probe.sentAt + (probe.isRepeated ? m_options.interval : m_options.probeTimeout));
    return due;
}

// Silence that this process slept through proves nothing about others.
void Membership::noticePause(SteadyTime now)
{
    if (now - *m_lastTick <= pauseIntervals * m_options.interval)
        return;
    m_probes.clear();
    for (const InstanceName& name : m_notAlive) {
        Record& record = m_records.at(name);
        if (record.suspicionEnds)
            record.suspicionEnds = now + suspicionTimeout();
    }
}

void Membership::startInterval(SteadyTime now, std::vector<Outgoing>& out)
{
    const Record* own = nextTarget(m_ownZoneRound, true, nullptr);
    const Record* outside = nextTarget(m_outsideRound, false, nullptr);
    if (!own)
        own = nextTarget(m_outsideRound, false, outside);
    else if (!outside)
        outside = nextTarget(m_ownZoneRound, true, own);
    for (const Record* target : { own, outside }) {
        if (target)
            ping(target->update.name, target->update.address, false, now, out);
    }
}

void Membership::tryContacts(SteadyTime now, std::vector<Outgoing>& out)
{
    const bool isLonely = livingCount() == 0;
    if (!isLonely && --m_intervalsUntilRejoin > 0)
        return;
    m_intervalsUntilRejoin = m_options.rejoinIntervals;
    std::vector<Contact> absent;
    for (const Contact& contact : m_contacts) {
        const auto record = m_records.find(contact.name);
        if (record == m_records.end() || record->second.update.liveness == Liveness::dead)
            absent.push_back(contact);
    }
    for (const InstanceName& name : m_notAlive) {
        const Record& record = m_records.at(name);
        if (record.update.liveness == Liveness::dead)
            absent.push_back({ name, record.update.address });
    }
    const std::size_t count = std::min(absent.size(), isLonely ? lonelyContacts : std::size_t(1));
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(absent[index], absent[index + below(m_random, absent.size() - index)]);
        ping(absent[index].name, absent[index].address, true, now, out);
    }
}

void Membership::followProbes(SteadyTime now, std::vector<Outgoing>& out)
{
    std::vector<Probe> open;
    for (Probe& probe : m_probes) {
        if (now >= probe.sentAt + m_options.interval) {
            const auto record = m_records.find(probe.target);
            if (!probe.isContact && record != m_records.end() && record->second.update.liveness == Liveness::alive)
                setLiveness(record->second, Liveness::suspect, now);
            continue;
        }
        if (!probe.isRepeated && now >= probe.sentAt + m_options.probeTimeout) {
            probe.isRepeated = true;
            if (!probe.isContact)
                askOthersToProbe(probe, now, out);
        }
        open.push_back(std::move(probe));
    }
    m_probes = std::move(open);
}

void Membership::askOthersToProbe(const Probe& probe, SteadyTime now, std::vector<Outgoing>& out)
{
    const auto target = m_records.find(probe.target);
    if (target == m_records.end())
        return;
    for (const Record* helper : someLiving(m_options.indirectProbes, probe.target)) {
        Heartbeat heartbeat = makeHeartbeat(HeartbeatKind::probeRequest, probe.nonce, helper->update.name, now);
        heartbeat.subject = probe.target;
        heartbeat.subjectAddress = target->second.update.address;
        out.push_back({ helper->update.address, helper->update.name, std::move(heartbeat) });
    }
}

void Membership::endSuspicions(SteadyTime now)
{
    for (const InstanceName& name : m_notAlive) { // Death changes nothing in this set.
        Record& record = m_records.at(name);
        if (record.suspicionEnds && *record.suspicionEnds <= now)
            setLiveness(record, Liveness::dead, now);
    }
}

void Membership::forgetDead(SteadyTime now)
{
    for (auto entry = m_notAlive.begin(); entry != m_notAlive.end();) {
        const InstanceName name = *entry;
        const Record& record = m_records.at(name);
        if (record.update.liveness != Liveness::dead || now - record.diedAt < m_options.forgetAfter) {
            ++entry;
            continue;
        }
        m_news.remove(name);
        m_gossip.forgetBefore(name, { record.update.incarnation.number + 1 });
        m_records.erase(name);
        entry = m_notAlive.erase(entry);
    }
}

const Membership::Record* Membership::nextTarget(std::vector<InstanceName>& round, bool isOwnZone, const Record* other)
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!round.empty()) {
            const auto record = m_records.find(round.back());
            round.pop_back();
            if (record != m_records.end() && record->second.update.liveness != Liveness::dead && &record->second != other)
                return &record->second;
        }
        refill(round, isOwnZone);
    }
    return nullptr;
}

void Membership::refill(std::vector<InstanceName>& round, bool isOwnZone)
{
    for (const auto& [name, record] : m_records) {
        if (record.update.liveness != Liveness::dead && (record.update.zone == m_self.zone) == isOwnZone)
            round.push_back(name);
    }
    for (std::size_t left = round.size(); left > 1; --left)
        std::swap(round[left - 1], round[below(m_random, left)]);
}

void Membership::ping(const InstanceName& target, const net::Address& address, bool isContact, SteadyTime now, std::vector<Outgoing>& out)
{
    const std::uint64_t nonce = ++m_lastNonce;
    m_probes.push_back({ nonce, target, now, false, isContact });
    out.push_back({ address, target, makeHeartbeat(HeartbeatKind::ping, nonce, target, now) });
}

void Membership::receive(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out)
{
    if (sender.instance == m_self.name)
        return;
    m_hybridClock.observe(heartbeat.hybridTime);
    apply(heartbeat.self, now);
    for (const MemberUpdate& update : heartbeat.updates)
        apply(update, now);
    for (const GossipEntry& entry : heartbeat.entries)
        m_gossip.learn(entry);
    if (heartbeat.kind == HeartbeatKind::ack)
        takeAck(sender, heartbeat, now, out);
    m_reports.heard(sender, heartbeat.configuration, earliestSent(sender, heartbeat, now), now);
    if (heartbeat.kind == HeartbeatKind::ping)
        answerPing(sender, heartbeat, now, out);
    else if (heartbeat.kind == HeartbeatKind::probeRequest)
        relayProbe(sender, heartbeat, now, out);
    else if (heartbeat.kind == HeartbeatKind::probeAnswer)
        takeProbeAnswer(heartbeat);
}

void Membership::answerPing(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out)
{
    out.push_back({ heartbeat.self.address, sender.instance, makeHeartbeat(HeartbeatKind::ack, heartbeat.nonce, sender.instance, now) });
}

// An ack was sent after its ping, which relates the two steady clocks.
void Membership::takeAck(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out)
{
    const auto probe = std::find_if(m_probes.begin(), m_probes.end(), [&](const Probe& open) { return open.nonce == heartbeat.nonce && open.target == sender.instance; });
    if (probe != m_probes.end()) {
        const auto record = m_records.find(sender.instance);
        const std::optional<SteadyTime> bound = earliestSent(sender, heartbeat, now);
        if (record != m_records.end() && (!bound || *bound < probe->sentAt))
            record->second.clock = ClockRelation { heartbeat.sentAt, probe->sentAt };
        m_probes.erase(probe);
        return;
    }
    const auto relay = std::find_if(m_relays.begin(), m_relays.end(), [&](const Relay& open) { return open.nonce == heartbeat.nonce && open.subject == sender.instance; });
    if (relay == m_relays.end())
        return;
    Heartbeat answer = makeHeartbeat(HeartbeatKind::probeAnswer, relay->originNonce, relay->origin, now);
    answer.subject = relay->subject;
    out.push_back({ relay->originAddress, relay->origin, std::move(answer) });
    m_relays.erase(relay);
}

void Membership::relayProbe(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out)
{
    if (m_relays.size() >= largestRelayCount || heartbeat.subject == m_self.name)
        return;
    const std::uint64_t nonce = ++m_lastNonce;
    m_relays.push_back({ nonce, heartbeat.subject, sender.instance, heartbeat.self.address, heartbeat.nonce, now + m_options.interval });
    out.push_back({ heartbeat.subjectAddress, heartbeat.subject, makeHeartbeat(HeartbeatKind::ping, nonce, heartbeat.subject, now) });
}

void Membership::takeProbeAnswer(const Heartbeat& heartbeat)
{
    std::erase_if(m_probes, [&](const Probe& probe) { return probe.nonce == heartbeat.nonce && probe.target == heartbeat.subject; });
}

std::optional<SteadyTime> Membership::earliestSent(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now)
{
    const auto record = m_records.find(sender.instance);
    if (record == m_records.end() || !record->second.clock || record->second.update.incarnation != sender.incarnation)
        return std::nullopt;
    const ClockRelation& relation = *record->second.clock;
    const std::chrono::microseconds between = heartbeat.sentAt - relation.remote;
    const SteadyTime earliest = relation.local + between - std::chrono::abs(between) / clockDriftShare;
    return std::min(earliest, now);
}

void Membership::leave(SteadyTime now, std::vector<Outgoing>& out)
{
    if (m_self.leaving)
        return;
    m_self.leaving = true;
    ++m_self.refutation;
    announce(now, out);
}

void Membership::depart(SteadyTime now, std::vector<Outgoing>& out)
{
    m_self.leaving = true;
    m_self.liveness = Liveness::dead;
    ++m_self.refutation;
    announce(now, out);
}

void Membership::announce(SteadyTime now, std::vector<Outgoing>& out)
{
    m_view.reset();
    for (const Record* member : someLiving(announcementCount, {}))
        ping(member->update.name, member->update.address, true, now, out);
}

std::vector<const Membership::Record*> Membership::someLiving(std::size_t count, const InstanceName& except)
{
    std::vector<const Record*> living;
    for (const auto& [name, record] : m_records) {
        if (record.update.liveness == Liveness::alive && name != except)
            living.push_back(&record);
    }
    count = std::min(count, living.size());
    for (std::size_t index = 0; index < count; ++index)
        std::swap(living[index], living[index + below(m_random, living.size() - index)]);
    living.resize(count);
    return living;
}

}
