#include "whinyard/endpoint/RosterRelay.h"

#include "whinyard/peer/StoreReaders.h"

#include <algorithm>
#include <utility>

namespace whinyard::endpoint {

RosterRelaySettings relaySettingsFor(std::chrono::milliseconds drain)
{
    // Parts of the time; what is left is for the ways and for an answer that must be asked for twice.
    constexpr int pauseParts = 5;
    constexpr double silentPart = 0.37;
    constexpr int tellParts = 9; // Three statements within the silence.
    constexpr int turnParts = 20;
    constexpr int resortParts = 10;
    constexpr int listParts = 10;
    RosterRelaySettings settings;
    settings.pause = drain / pauseParts;
    settings.currentFor = std::chrono::duration_cast<std::chrono::milliseconds>(drain * silentPart);
    settings.silence = settings.currentFor;
    settings.tellInterval = drain / tellParts;
    settings.turn = drain / turnParts;
    settings.lastResort = drain / resortParts;
    settings.listInterval = drain / listParts;
    return settings;
}

RosterRelay::RosterRelay(InstanceName self, const RosterRelaySettings& settings, Random random)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(random)
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
    m_ranks.clear();
    for (const RelayCandidate& candidate : instances) {
        m_ranks.emplace(candidate.name, m_order.size());
        m_order.push_back(candidate.name);
    }
    if (!m_order.empty() && !m_startedAt)
        m_startedAt = now;
}

void RosterRelay::noteCurrent(SteadyTime now)
{
    m_currentAt = now;
    m_hasLostStore = false;
}

void RosterRelay::noteFailed(SteadyTime now)
{
    m_currentAt.reset();
    m_failedAt = now;
    m_hasLostStore = true;
}

std::vector<RosterRelay::RankedHeard> RosterRelay::heardBefore(std::size_t rank) const
{
    std::vector<RankedHeard> before;
    for (const auto& [name, heard] : m_heard) {
        const auto known = m_ranks.find(name);
        if (known != m_ranks.end() && known->second < rank)
            before.push_back({ known->second, &heard });
    }
    std::sort(before.begin(), before.end(), [](const auto& left, const auto& right) { return left.rank < right.rank; });
    return before;
}

std::chrono::microseconds RosterRelay::scaled(std::chrono::milliseconds least, std::chrono::microseconds perInstance) const
{
    return std::max<std::chrono::microseconds>(least, perInstance * static_cast<int>(m_order.size()));
}

SteadyTime RosterRelay::lostSince(std::size_t instances) const
{
    SteadyTime since = m_startedAt.value_or(SteadyTime());
    for (const RankedHeard& one : heardBefore(instances))
        since = std::max(since, one.heard->failedAt.value_or(one.heard->at + m_settings.silence));
    return since;
}

// Where the store fails the first candidates one after the other, it may fail all: then few of them call it meanwhile.
bool RosterRelay::isOutage(const std::vector<RankedHeard>& before, SteadyTime now) const
{
    std::vector<SteadyTime> failed;
    for (const RankedHeard& one : before) {
        if (one.heard->failedAt)
            failed.push_back(*one.heard->failedAt);
    }
    if (failed.size() < m_settings.mostFailed)
        return false;
    std::sort(failed.begin(), failed.end());
    const auto further = failed.size() - m_settings.mostFailed + 1;
    return now - failed[m_settings.mostFailed - 1] < m_settings.failedPause * static_cast<int>(further);
}

bool RosterRelay::isFollower(SteadyTime now) const
{
    const auto own = m_ranks.find(m_self);
    if (own == m_ranks.end())
        return false;
    const std::vector<RankedHeard> before = heardBefore(own->second);
    const auto current = static_cast<std::size_t>(std::count_if(before.begin(), before.end(), [&](const RankedHeard& one) { return isCurrent(*one.heard, now); }));
    if (current >= m_settings.followers || isOutage(before, now))
        return false;
    const std::size_t unheard = own->second - before.size(); // They may say so yet: each two of them get a turn.
    if (current + unheard < m_settings.followers)
        return true;
    const std::chrono::microseconds turn = isNew() ? scaled(m_settings.startTurn, m_settings.startTurnPerInstance) : m_settings.turn;
    return now >= lostSince(own->second) + turn * static_cast<int>(unheard / m_settings.followers);
}

bool RosterRelay::isSecondFollower(SteadyTime now) const
{
    if (!isFollower(now))
        return false;
    const std::vector<RankedHeard> before = heardBefore(m_ranks.at(m_self));
    return std::any_of(before.begin(), before.end(), [&](const RankedHeard& one) { return isCurrent(*one.heard, now); });
}

std::vector<InstanceName> RosterRelay::followers(SteadyTime now) const
{
    std::vector<std::size_t> ranks;
    if (isFollower(now))
        ranks.push_back(m_ranks.at(m_self));
    for (const RankedHeard& one : heardBefore(m_order.size())) {
        if (isCurrent(*one.heard, now) && m_order[one.rank] != m_self)
            ranks.push_back(one.rank);
    }
    std::sort(ranks.begin(), ranks.end());
    std::vector<InstanceName> followers;
    for (std::size_t i = 0; i < std::min(ranks.size(), m_settings.followers); ++i)
        followers.push_back(m_order[ranks[i]]);
    return followers;
}

// Instances that lost all followers at once would read the store at once as well: each waits for a time of its own, and few of them
// read in the same second.
bool RosterRelay::mustFollowAlone(SteadyTime now) const
{
    constexpr std::uint64_t steps = 64;
    const std::chrono::microseconds resort = isNew() ? scaled(m_settings.startResort, m_settings.startResortPerInstance) : scaled(m_settings.lastResort, m_settings.resortPerInstance);
    const auto own = resort * static_cast<int>(stableHash(m_self.value) % steps) / static_cast<int>(steps);
    return now >= lostSince(m_order.size()) + resort + own && peer::mayReadStore(m_self, m_order.size(), now);
}

bool RosterRelay::isAwaited(SteadyTime now) const
{
    const std::chrono::milliseconds wait = m_hasList ? m_settings.answerWait : m_settings.startWait;
    const std::uint32_t doublings = std::min(m_requests - std::min(m_requests, m_settings.mostRequests), m_settings.mostDoublings);
    return m_requests > 0 && now - m_requestedAt < wait * (1 << doublings);
}

// Another instance's list costs the store nothing, and all that changes after it can be told to the others.
bool RosterRelay::mustAskFirst(SteadyTime now) const
{
    const bool hasJustStarted = m_startedAt && now - *m_startedAt < scaled(m_settings.startTurn, m_settings.startTurnPerInstance);
    if (m_hasList || m_order.size() < 2 || !hasJustStarted)
        return false;
    return m_requests < m_settings.firstRequests || isAwaited(now);
}

RosterNeed RosterRelay::need(SteadyTime now)
{
    if (m_order.empty())
        return RosterNeed::follow;
    if (isFollower(now) && mustAskFirst(now))
        return isAwaited(now) ? RosterNeed::nothing : RosterNeed::ask;
    if (isFollower(now) && !(m_hasLostStore && m_isIncomplete && source(now)))
        return RosterNeed::follow;
    if (!source(now)) {
        const bool followersMayReturn = m_failedAt && now - *m_failedAt <= m_settings.followersReturn;
        m_followsAlone = m_followsAlone || (!followersMayReturn && mustFollowAlone(now));
        if (m_followsAlone)
            return RosterNeed::follow;
        return !m_hasList && !isAwaited(now) ? RosterNeed::ask : RosterNeed::nothing;
    }
    m_followsAlone = false;
    if (!m_isIncomplete)
        return RosterNeed::nothing;
    if (m_readsStore)
        return RosterNeed::follow;
    if (isAwaited(now) || (m_toldListAt && now - *m_toldListAt < m_settings.listInterval))
        return RosterNeed::nothing;
    m_readsStore = m_requests >= m_settings.mostRequests && peer::mayReadStore(m_self, m_order.size(), now);
    return m_readsStore ? RosterNeed::follow : RosterNeed::ask;
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
    return source(now) ? "no other instance answered with its list" : "no follower is heard";
}

std::vector<InstanceName> RosterRelay::toAsk(SteadyTime now)
{
    ++m_requests;
    m_requestedAt = now;
    std::vector<InstanceName> tellers = tellersToAsk(now);
    return tellers.empty() ? firstToAsk(now) : tellers;
}

// One that knows all that is missing, or else one that knows more than this instance.
std::vector<InstanceName> RosterRelay::tellersToAsk(SteadyTime now)
{
    std::vector<InstanceName> whole;
    std::vector<InstanceName> part;
    for (const Teller& teller : m_tellers) {
        if (now < teller.notBefore || teller.upTo <= m_listedUpTo)
            continue;
        part.push_back(teller.name);
        if (teller.upTo >= m_neededUpTo)
            whole.push_back(teller.name);
    }
    const std::vector<InstanceName>& able = whole.empty() ? part : whole;
    if (able.empty())
        return {};
    return { able[below(m_random, able.size())] };
}

// Nobody has said that it knows the list: those that should know it first.
std::vector<InstanceName> RosterRelay::firstToAsk(SteadyTime now)
{
    // More of them each time: the first ones may be gone.
    std::size_t sources = m_order.size() / m_settings.startSources;
    std::vector<InstanceName> asked;
    if (sources > m_settings.followers) {
        sources = std::min(m_order.size(), sources * (1 + m_requests / m_settings.firstRequests));
        for (std::size_t i = 0; i < m_settings.followers; ++i) {
            const InstanceName& drawn = m_order[below(m_random, sources)];
            if (drawn != m_self && std::find(asked.begin(), asked.end(), drawn) == asked.end())
                asked.push_back(drawn);
        }
        return asked;
    }
    if (const std::optional<InstanceName> heard = source(now))
        return { *heard };
    // The first ones, and those whose turn it is.
    const auto turns = static_cast<std::size_t>((now - lostSince(0)) / scaled(m_settings.startTurn, m_settings.startTurnPerInstance));
    for (std::size_t rank = 0; rank < m_order.size(); ++rank) {
        const std::size_t turn = rank / m_settings.followers;
        if ((turn == 0 || turn == turns) && m_order[rank] != m_self)
            asked.push_back(m_order[rank]);
    }
    return asked;
}

void RosterRelay::noteRefused(const InstanceName& instance, std::chrono::milliseconds wait, SteadyTime now)
{
    const auto teller = std::find_if(m_tellers.begin(), m_tellers.end(), [&](const Teller& one) { return one.name == instance; });
    if (teller != m_tellers.end())
        teller->notBefore = now + std::max(wait, m_settings.startWait);
    // The next one is asked at once, a few times.
    if (m_requests <= m_settings.mostRequests)
        m_requestedAt = SteadyTime();
}

std::optional<InstanceName> RosterRelay::source(SteadyTime now) const
{
    for (const RankedHeard& one : heardBefore(m_order.size())) {
        if (isCurrent(*one.heard, now) && m_order[one.rank] != m_self)
            return m_order[one.rank];
    }
    return std::nullopt;
}

bool RosterRelay::hasHeard(const RosterStatement& statement) const
{
    const auto known = m_heard.find(statement.instance);
    return statement.instance == m_self || (known != m_heard.end() && known->second.life == statement.life && statement.number <= known->second.number);
}

RelayAction RosterRelay::hear(const RosterStatement& statement, SteadyTime now)
{
    if (hasHeard(statement))
        return RelayAction::ignore;
    const auto known = m_heard.find(statement.instance);
    std::optional<SteadyTime> failedAt;
    if (!statement.isCurrent) {
        m_failedAt = now;
        failedAt = known == m_heard.end() ? now : known->second.failedAt.value_or(now);
    }
    m_heard[statement.instance] = { statement.life, statement.number, now, failedAt };
    // A follower's own list comes from the store, for as long as that answers it.
    if (!statement.isCurrent || statement.upTo == Revision() || (m_currentAt && isFollower(now)))
        return RelayAction::ignore;
    if (statement.upTo < m_listedUpTo)
        return RelayAction::ignore;
    if (m_listedUpTo != Revision() && statement.since <= m_listedUpTo) {
        noteListed(statement.upTo);
        return statement.hasChanges ? RelayAction::apply : RelayAction::ignore;
    }
    m_neededUpTo = std::max(m_neededUpTo, statement.hasChanges ? statement.upTo : statement.since);
    if (!std::exchange(m_isIncomplete, true))
        m_requests = 0;
    return RelayAction::incomplete;
}

void RosterRelay::hearTeller(const InstanceName& instance, const Revision& upTo, SteadyTime now)
{
    if (instance == m_self)
        return;
    SteadyTime notBefore = now;
    if (const auto known = std::find_if(m_tellers.begin(), m_tellers.end(), [&](const Teller& one) { return one.name == instance; }); known != m_tellers.end()) {
        notBefore = known->notBefore;
        m_tellers.erase(known);
    }
    m_tellers.push_back({ instance, upTo, notBefore });
    if (m_tellers.size() > m_settings.mostTellers)
        m_tellers.erase(m_tellers.begin());
}

bool RosterRelay::hearList(const Revision& since, const Revision& upTo, SteadyTime now)
{
    const bool builds = since == Revision() || (m_listedUpTo != Revision() && since <= m_listedUpTo);
    if (!builds || upTo <= m_listedUpTo)
        return false;
    m_toldListAt = now;
    noteListed(upTo);
    return true;
}

void RosterRelay::noteRead(const Revision& upTo)
{
    noteListed(std::max(upTo, m_listedUpTo));
    m_isIncomplete = false; // The store knows best, whatever was stated.
    m_hasList = true;
    m_readsStore = false;
    m_requests = 0;
}

void RosterRelay::noteListed(const Revision& upTo)
{
    m_listedUpTo = upTo;
    m_hasList = true;
    if (upTo < m_neededUpTo && m_isIncomplete)
        return;
    m_isIncomplete = false;
    m_readsStore = false;
    m_requests = 0;
}

}
