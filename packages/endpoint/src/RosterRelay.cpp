#include "whinyard/endpoint/RosterRelay.h"

#include <algorithm>
#include <utility>

namespace whinyard::endpoint {

RosterRelaySettings relaySettingsFor(std::chrono::milliseconds drain)
{
    // Parts of the time; a fifth is left for the ways and for an answer that must be asked for twice.
    constexpr int pauseParts = 5;
    constexpr double silentPart = 0.4;
    constexpr int tellParts = 8; // Three statements within the silence.
    RosterRelaySettings settings;
    settings.pause = drain / pauseParts;
    settings.currentFor = std::chrono::duration_cast<std::chrono::milliseconds>(drain * silentPart);
    settings.silence = settings.currentFor;
    settings.tellInterval = drain / tellParts;
    return settings;
}

RosterRelay::RosterRelay(InstanceName self, const RosterRelaySettings& settings)
    : m_self(std::move(self))
    , m_settings(settings)
{
}

void RosterRelay::useInstances(std::vector<RelayCandidate> instances)
{
    // The largest links first; among equal ones by a hash of the name, so that followers don't share a zone by the order of
    // their names.
    const auto isBefore = [](const RelayCandidate& left, const RelayCandidate& right) {
        if (left.linkMegabits != right.linkMegabits)
            return left.linkMegabits > right.linkMegabits;
        return stableHash(left.name.value) < stableHash(right.name.value);
    };
    std::sort(instances.begin(), instances.end(), isBefore);
    instances.resize(std::min(instances.size(), m_settings.followers));
    m_followers.clear();
    for (const RelayCandidate& candidate : instances)
        m_followers.push_back(candidate.name);
}

bool RosterRelay::isFollower() const
{
    return std::find(m_followers.begin(), m_followers.end(), m_self) != m_followers.end();
}

RosterNeed RosterRelay::need(SteadyTime now) const
{
    if (isFollower() || m_followers.empty())
        return RosterNeed::follow;
    const bool isNew = m_heard.empty(); // Nobody was ever heard: this instance has just started.
    if (!source(now) && !isNew) {
        const bool followersMayReturn = m_failedAt && now - *m_failedAt <= m_settings.followersReturn;
        return followersMayReturn ? RosterNeed::nothing : RosterNeed::follow;
    }
    if (!isNew && !m_incomplete)
        return RosterNeed::nothing;
    if (m_requests > 0 && now - m_requestedAt < (isNew ? m_settings.startWait : m_settings.answerWait))
        return RosterNeed::nothing;
    const std::uint32_t most = isNew ? 1 : m_settings.mostRequests;
    return m_requests < most ? RosterNeed::ask : RosterNeed::follow;
}

bool RosterRelay::mayTell(SteadyTime now) const
{
    return isFollower() && m_currentAt && now - *m_currentAt <= m_settings.currentFor;
}

std::string_view RosterRelay::followReason(SteadyTime now) const
{
    if (isFollower())
        return "for the other instances";
    if (m_followers.empty())
        return "no other instance is known";
    return source(now) ? "no follower answered with its list" : "no follower is heard";
}

std::vector<InstanceName> RosterRelay::toAsk(SteadyTime now)
{
    ++m_requests;
    m_requestedAt = now;
    if (const std::optional<InstanceName> heard = source(now))
        return { *heard };
    return m_followers;
}

std::optional<InstanceName> RosterRelay::source(SteadyTime now) const
{
    for (const InstanceName& follower : m_followers) {
        const auto heard = m_heard.find(follower);
        if (heard != m_heard.end() && now - heard->second.at <= m_settings.silence)
            return follower;
    }
    return std::nullopt;
}

RelayAction RosterRelay::hear(const RosterStatement& statement, SteadyTime now)
{
    if (statement.instance == m_self)
        return RelayAction::ignore;
    const bool wasSilent = !source(now);
    const auto known = m_heard.find(statement.instance);
    const std::uint64_t expected = known == m_heard.end() ? 0 : known->second.sequence + (statement.hasChanges ? 1 : 0);
    const bool follows = known != m_heard.end() && known->second.life == statement.life && statement.sequence == expected;
    m_heard[statement.instance] = { statement.life, statement.sequence, now };
    if (isFollower() || source(now) != statement.instance)
        return RelayAction::ignore;
    const bool isSame = m_source == statement.instance;
    m_source = statement.instance;
    if (wasSilent || !isSame || !follows) {
        if (!std::exchange(m_incomplete, true))
            m_requests = 0;
        return RelayAction::incomplete;
    }
    return statement.hasChanges ? RelayAction::apply : RelayAction::ignore;
}

bool RosterRelay::hearWhole(const RosterStatement& statement, SteadyTime now)
{
    const bool isNew = m_heard.empty();
    if (isFollower() || (!isNew && source(now) != statement.instance))
        return false;
    m_heard[statement.instance] = { statement.life, statement.sequence, now };
    m_source = statement.instance;
    noteRead();
    return true;
}

void RosterRelay::noteRead()
{
    m_incomplete = false;
    m_requests = 0;
}

}
