// What Membership knows of members and tells others.
#include "whinyard/peer/Membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace whinyard::peer {

namespace {

    // Bytes of envelope and heartbeat without names, addresses, votes, updates and entries.
    constexpr std::size_t fixedHeartbeatBytes = 170;
    constexpr std::size_t voteBytes = 5;
    constexpr std::size_t fixedUpdateBytes = 27;

    auto standing(const MemberUpdate& update)
    {
        return std::tuple(update.refutation, update.liveness);
    }

    bool isWithinBounds(const MemberUpdate& update)
    {
        return !update.name.empty() && !update.address.host.empty();
    }

}

std::size_t wireBytes(const MemberUpdate& update)
{
    return fixedUpdateBytes + update.name.value.size() + update.zone.value.size() + update.address.host.size();
}

std::chrono::milliseconds Membership::suspicionTimeout() const
{
    return m_options.interval * (m_options.suspicionBase + static_cast<int>(std::bit_width(livingCount())));
}

std::uint32_t Membership::freshSends() const
{
    return m_options.freshSendsBase + static_cast<std::uint32_t>(std::bit_width(livingCount()));
}

void Membership::apply(const MemberUpdate& update, SteadyTime now)
{
    if (!isWithinBounds(update))
        return;
    if (update.name == m_self.name) {
        applyAboutSelf(update);
        return;
    }
    const auto found = m_records.find(update.name);
    if (found == m_records.end()) {
        if (update.liveness != Liveness::dead)
            addRecord(update, now);
        return;
    }
    Record& record = found->second;
    if (update.incarnation < record.update.incarnation)
        return;
    if (update.incarnation > record.update.incarnation) {
        m_gossip.forgetBefore(update.name, update.incarnation);
        const Liveness before = record.update.liveness;
        record.update = update;
        record.update.liveness = before;
        record.clock.reset();
        setLiveness(record, update.liveness, now);
        return;
    }
    if (update.configurationRevision > record.update.configurationRevision) {
        record.update.configurationRevision = update.configurationRevision;
        m_view.reset();
    }
    if (update.leaving && !record.update.leaving) {
        record.update.leaving = true;
        m_news.renew(update.name);
        m_view.reset();
    }
    if (standing(update) <= standing(record.update))
        return;
    record.update.refutation = update.refutation;
    setLiveness(record, update.liveness, now);
}

std::vector<MemberUpdate> Membership::updates() const
{
    std::vector<MemberUpdate> result { m_self };
    for (const auto& [name, record] : m_records)
        result.push_back(record.update);
    return result;
}

void Membership::copy(const std::vector<MemberUpdate>& updates, SteadyTime now)
{
    m_sendsOfNews = m_options.freshSendsBase + static_cast<std::uint32_t>(std::bit_width(livingCount() + updates.size()));
    for (const MemberUpdate& update : updates)
        apply(update, now);
    m_sendsOfNews = 0;
}

void Membership::applyAboutSelf(const MemberUpdate& update)
{
    if (update.incarnation > m_self.incarnation) {
        m_isSuperseded = true;
        m_view.reset();
        return;
    }
    if (update.incarnation < m_self.incarnation || update.liveness == Liveness::alive || m_self.liveness == Liveness::dead)
        return;
    if (update.refutation >= m_self.refutation)
        m_self.refutation = update.refutation + 1;
}

void Membership::addRecord(const MemberUpdate& update, SteadyTime now)
{
    Record& record = m_records[update.name];
    record.update = update;
    record.update.liveness = Liveness::dead;
    setLiveness(record, update.liveness, now);
    // A newcomer takes a random place in the current round, so that its first probe doesn't wait for the next.
    std::vector<InstanceName>& round = update.zone == m_self.zone ? m_ownZoneRound : m_outsideRound;
    round.insert(round.begin() + static_cast<std::ptrdiff_t>(below(m_random, round.size() + 1)), update.name);
}

void Membership::setLiveness(Record& record, Liveness liveness, SteadyTime now)
{
    const bool didLive = record.update.liveness != Liveness::dead;
    const bool lives = liveness != Liveness::dead;
    m_livingCount += lives && !didLive ? 1 : 0;
    m_livingCount -= didLive && !lives ? 1 : 0;
    record.update.liveness = liveness;
    if (liveness == Liveness::alive)
        m_notAlive.erase(record.update.name);
    else
        m_notAlive.insert(record.update.name);
    record.suspicionEnds.reset();
    if (liveness == Liveness::suspect)
        record.suspicionEnds = now + suspicionTimeout();
    else if (liveness == Liveness::dead)
        record.diedAt = now;
    m_news.renew(record.update.name, m_sendsOfNews);
    m_view.reset();
}

Heartbeat Membership::makeHeartbeat(HeartbeatKind kind, std::uint64_t nonce, const InstanceName& recipient, SteadyTime now)
{
    Heartbeat heartbeat;
    heartbeat.kind = kind;
    heartbeat.nonce = nonce;
    heartbeat.sentAt = std::chrono::duration_cast<std::chrono::microseconds>(now.time_since_epoch());
    heartbeat.hybridTime = m_hybridClock.tick();
    heartbeat.configuration = m_reports.report(now);
    if (m_self.configurationRevision != heartbeat.configuration.held) {
        m_self.configurationRevision = heartbeat.configuration.held;
        m_view.reset();
    }
    heartbeat.self = m_self;
    attachNews(heartbeat, recipient);
    return heartbeat;
}

void Membership::attachNews(Heartbeat& heartbeat, const InstanceName& recipient)
{
    std::size_t used = fixedHeartbeatBytes + wireBytes(m_self) + m_self.name.value.size() + recipient.value.size();
    used += largestName + largestHost; // Of a subject.
    used += voteBytes * heartbeat.configuration.others.size();
    const auto attach = [&](const MemberUpdate& update) {
        if (heartbeat.updates.size() >= largestUpdateCount || used + wireBytes(update) > largestDatagram)
            return false;
        used += wireBytes(update);
        heartbeat.updates.push_back(update);
        return true;
    };
    const auto told = m_records.find(recipient);
    if (told != m_records.end() && told->second.update.liveness != Liveness::alive)
        attach(told->second.update);
    if (heartbeat.kind == HeartbeatKind::probeRequest || heartbeat.kind == HeartbeatKind::probeAnswer)
        return; // They come in numbers when datagrams are lost; the pings that they cause carry the news.
    m_news.take(freshSends(), m_options.repeatedUpdates, [&](const InstanceName& name) { return attach(m_records.at(name).update); });
    heartbeat.entries = m_gossip.takeForSending(std::min(largestDatagram - used, m_options.gossipBytes), freshSends());
}

std::shared_ptr<const MembershipView> Membership::view()
{
    if (m_view)
        return m_view;
    const auto memberOf = [](const MemberUpdate& update) {
        Member member { update.name, update.incarnation, update.zone, update.address, MemberState::alive, update.configurationRevision };
        if (update.liveness == Liveness::dead)
            member.state = MemberState::dead;
        else if (update.leaving)
            member.state = MemberState::leaving;
        else if (update.liveness == Liveness::suspect)
            member.state = MemberState::suspect;
        return member;
    };
    auto view = std::make_shared<MembershipView>();
    view->version = ++m_viewVersion;
    view->self = memberOf(m_self);
    if (m_isSuperseded)
        view->self.state = MemberState::dead;
    for (const auto& [name, record] : m_records) {
        if (record.update.liveness != Liveness::dead)
            view->members.push_back(memberOf(record.update));
    }
    const auto place = std::lower_bound(view->members.begin(), view->members.end(), m_self.name, [](const Member& member, const InstanceName& name) { return member.name < name; });
    if (view->self.state != MemberState::dead)
        view->members.insert(place, view->self);
    m_view = std::move(view);
    return m_view;
}

}
