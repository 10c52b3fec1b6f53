#include "whinyard/endpoint/RosterRelay.h"

#include <algorithm>
#include <utility>

namespace whinyard::endpoint {

RosterRelaySettings relaySettingsFor(std::chrono::milliseconds drain)
{
    // Parts of the time; what is left is for the ways and for an answer that must be asked for twice.
    constexpr int pauseParts = 5;
    constexpr double silentPart = 0.37;
    constexpr int catchUpParts = 4;
    constexpr int tellParts = 9; // Three statements within the silence.
    constexpr int turnParts = 20;
    constexpr int resortParts = 10;
    RosterRelaySettings settings;
    settings.pause = drain / pauseParts;
    settings.currentFor = std::chrono::duration_cast<std::chrono::milliseconds>(drain * silentPart);
    settings.silence = settings.currentFor;
    settings.tellInterval = drain / tellParts;
    settings.catchUp = drain / catchUpParts;
    settings.turn = drain / turnParts;
    settings.lastResort = drain / resortParts;
    return settings;
}

RosterRelay::RosterRelay(InstanceName self, const RosterRelaySettings& settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void RosterRelay::useInstances(std::vector<RelayCandidate> instances, SteadyTime now)
{
    // The largest links first; among equal ones by a hash of the name, so that followers don't share a zone by the order of
    // their names.
    const auto isBefore = [](const RelayCandidate& left, const RelayCandidate& right) {
        if (left.linkMegabits != right.linkMegabits)
            return left.linkMegabits > right.linkMegabits;
        return stableHash(left.name.value) < stableHash(right.name.value);
    };
    std::sort(instances.begin(), instances.end(), isBefore);
    m_order.clear();
    for (const RelayCandidate& candidate : instances)
        m_order.push_back(candidate.name);
    if (!m_order.empty() && !m_startedAt)
        m_startedAt = now;
}

bool RosterRelay::isCurrent(const InstanceName& name, SteadyTime now) const
{
    const auto heard = m_heard.find(name);
    return heard != m_heard.end() && !heard->second.failedAt && now - heard->second.at <= m_settings.silence;
}

std::chrono::microseconds RosterRelay::scaled(std::chrono::milliseconds least, std::chrono::microseconds perInstance) const
{
    return std::max<std::chrono::microseconds>(least, perInstance * static_cast<int>(m_order.size()));
}

std::size_t RosterRelay::ownRank() const
{
    return static_cast<std::size_t>(std::find(m_order.begin(), m_order.end(), m_self) - m_order.begin());
}

SteadyTime RosterRelay::lostSince(std::size_t instances) const
{
    SteadyTime since = m_startedAt.value_or(SteadyTime());
    for (std::size_t rank = 0; rank < instances; ++rank) {
        if (const auto heard = m_heard.find(m_order[rank]); heard != m_heard.end())
            since = std::max(since, heard->second.failedAt.value_or(heard->second.at + m_settings.silence));
    }
    return since;
}

bool RosterRelay::isFollower(SteadyTime now) const
{
    const std::size_t rank = ownRank();
    if (rank == m_order.size())
        return false;
    std::size_t current = 0;
    std::size_t unheard = 0; // They may say so yet: each two of them get a turn.
    std::size_t failed = 0;
    for (std::size_t before = 0; before < rank; ++before) {
        const auto heard = m_heard.find(m_order[before]);
        if (isCurrent(m_order[before], now) && ++current >= m_settings.followers)
            return false;
        unheard += heard == m_heard.end() ? 1 : 0;
        failed += heard != m_heard.end() && heard->second.failedAt ? 1 : 0;
    }
    if (failed >= m_settings.mostFailed)
        return false;
    if (current + unheard < m_settings.followers)
        return true;
    const std::chrono::microseconds turn = isNew() ? scaled(m_settings.startTurn, m_settings.startTurnPerInstance) : m_settings.turn;
    return now >= lostSince(rank) + turn * static_cast<int>(unheard / m_settings.followers);
}

bool RosterRelay::isSecondFollower(SteadyTime now) const
{
    if (!isFollower(now))
        return false;
    const auto self = m_order.begin() + static_cast<std::ptrdiff_t>(ownRank());
    return std::any_of(m_order.begin(), self, [&](const InstanceName& name) { return isCurrent(name, now); });
}

std::vector<InstanceName> RosterRelay::followers(SteadyTime now) const
{
    std::vector<InstanceName> followers;
    for (const InstanceName& name : m_order) {
        const bool follows = name == m_self ? isFollower(now) : isCurrent(name, now);
        if (follows && followers.size() < m_settings.followers)
            followers.push_back(name);
    }
    return followers;
}

// Instances that lost all followers at once would read the store at once as well: each waits for a time of its own.
bool RosterRelay::mustFollowAlone(SteadyTime now) const
{
    constexpr std::uint64_t steps = 64;
    const std::chrono::microseconds resort = isNew() ? scaled(m_settings.startResort, m_settings.startResortPerInstance) : scaled(m_settings.lastResort, m_settings.resortPerInstance);
    const auto own = resort * static_cast<int>(stableHash(m_self.value) % steps) / static_cast<int>(steps);
    return now >= lostSince(m_order.size()) + resort + own;
}

RosterNeed RosterRelay::need(SteadyTime now) const
{
    if (m_order.empty() || isFollower(now))
        return RosterNeed::follow;
    if (!source(now)) {
        const bool followersMayReturn = m_failedAt && now - *m_failedAt <= m_settings.followersReturn;
        if (!followersMayReturn && mustFollowAlone(now))
            return RosterNeed::follow;
        const bool isAsked = m_requests > 0 && now - m_requestedAt < m_settings.startWait;
        return isNew() && !isAsked ? RosterNeed::ask : RosterNeed::nothing;
    }
    if (!isIncomplete(now))
        return RosterNeed::nothing;
    if (m_requests > 0 && now - m_requestedAt < m_settings.answerWait)
        return RosterNeed::nothing;
    return m_requests < m_settings.mostRequests ? RosterNeed::ask : RosterNeed::follow;
}

bool RosterRelay::mayTell(SteadyTime now) const
{
    return isFollower(now) && m_currentAt && now - *m_currentAt <= m_settings.currentFor;
}

std::string_view RosterRelay::followReason(SteadyTime now) const
{
    if (isFollower(now))
        return "for the other instances";
    if (m_order.empty())
        return "no other instance is known";
    return source(now) ? "no follower answered with its list" : "no follower is heard";
}

std::vector<InstanceName> RosterRelay::toAsk(SteadyTime now)
{
    ++m_requests;
    m_requestedAt = now;
    if (const std::optional<InstanceName> heard = source(now))
        return { *heard };
    // Nobody has said anything yet: the first ones, and those whose turn it is.
    const auto turns = static_cast<std::size_t>((now - lostSince(0)) / scaled(m_settings.startTurn, m_settings.startTurnPerInstance));
    std::vector<InstanceName> asked;
    for (std::size_t rank = 0; rank < m_order.size(); ++rank) {
        const std::size_t turn = rank / m_settings.followers;
        if ((turn == 0 || turn == turns) && m_order[rank] != m_self)
            asked.push_back(m_order[rank]);
    }
    return asked;
}

std::optional<InstanceName> RosterRelay::source(SteadyTime now) const
{
    for (const InstanceName& name : m_order) {
        if (name != m_self && isCurrent(name, now))
            return name;
    }
    return std::nullopt;
}

bool RosterRelay::hasOtherSource(const InstanceName& name, SteadyTime now) const
{
    return std::any_of(m_order.begin(), m_order.end(), [&](const InstanceName& other) { return other != m_self && other != name && isCurrent(other, now); });
}

bool RosterRelay::isIncomplete(SteadyTime now) const
{
    return m_incomplete || (m_behind && (now - m_behind->since > m_settings.catchUp || !m_source || !hasOtherSource(*m_source, now)));
}

RelayAction RosterRelay::hear(const RosterStatement& statement, SteadyTime now)
{
    if (statement.instance == m_self)
        return RelayAction::ignore;
    const bool wasSilent = !source(now);
    const auto known = m_heard.find(statement.instance);
    const std::uint64_t expected = known == m_heard.end() ? 0 : known->second.sequence + (statement.hasChanges ? 1 : 0);
    const bool isSameLife = known != m_heard.end() && known->second.life == statement.life;
    const bool follows = isSameLife && statement.sequence == expected;
    std::optional<SteadyTime> failedAt;
    if (!statement.isCurrent) {
        m_failedAt = now;
        failedAt = known == m_heard.end() ? now : known->second.failedAt.value_or(now);
    }
    m_heard[statement.instance] = { statement.life, statement.sequence, now, failedAt };
    if (isFollower(now)) {
        m_source.reset(); // Its own list comes from the store, and nobody's changes build on it.
        return RelayAction::ignore;
    }
    const bool isSource = source(now) == statement.instance;
    const bool isSame = m_source == statement.instance;
    if (isSource)
        m_source = statement.instance;
    // It builds on what is known already, whoever told that: a follower's end costs nobody the whole list.
    const bool isOfSameEra = m_known && statement.since.era == m_known->upTo.era;
    if (statement.isCurrent && statement.upTo.number > 0 && isOfSameEra && statement.since <= m_known->upTo) {
        noteTold(statement);
        return statement.hasChanges ? RelayAction::apply : RelayAction::ignore;
    }
    if (!isSource)
        return RelayAction::ignore;
    // One that has just begun to follow knows a newer revision than the others have told so far. They reach it with their next looks at
    // the store, so that it costs nobody the whole list.
    const bool hasBegun = !isSame || !isSameLife;
    if (statement.isCurrent && statement.upTo.number > 0 && isOfSameEra && !m_incomplete && (hasBegun || (m_behind && follows)) && hasOtherSource(statement.instance, now)) {
        if (!m_behind)
            m_requests = 0;
        // Its changes aren't applied, so the others must tell these as well.
        const Revision needed = statement.hasChanges ? statement.upTo : statement.since;
        m_behind = { m_behind ? std::max(m_behind->upTo, needed) : needed, m_behind ? m_behind->since : now };
        return RelayAction::ignore;
    }
    if (wasSilent || !isSame || !follows || m_behind) {
        m_known.reset();
        m_behind.reset();
        if (!std::exchange(m_incomplete, true))
            m_requests = 0;
        return RelayAction::incomplete;
    }
    if (statement.upTo.number > 0 && !m_incomplete)
        noteTold(statement);
    return statement.hasChanges ? RelayAction::apply : RelayAction::ignore;
}

void RosterRelay::noteTold(const RosterStatement& statement)
{
    const Known before = m_known.value_or(Known {});
    m_known = { std::max(before.since, statement.hasChanges ? statement.upTo : statement.since), std::max(before.upTo, statement.upTo) };
    if (m_behind && m_behind->upTo <= m_known->upTo)
        m_behind.reset();
}

bool RosterRelay::hearWhole(const RosterStatement& statement, SteadyTime now)
{
    if (isFollower(now) || (!isNew() && source(now) != statement.instance))
        return false;
    m_heard[statement.instance] = { statement.life, statement.sequence, now, std::nullopt };
    m_source = statement.instance;
    m_known.reset();
    if (statement.upTo.number > 0)
        m_known = { statement.upTo, statement.upTo };
    noteRead();
    return true;
}

void RosterRelay::noteRead()
{
    m_incomplete = false;
    m_behind.reset();
    m_requests = 0;
}

}
