#include "whinyard/peer/ConfigurationSpread.h"

#include <algorithm>
#include <utility>

namespace whinyard::peer {

namespace {

    constexpr std::size_t largestHolderCount = 8;
    constexpr std::chrono::milliseconds behindPatience { 1'000 }; // Then the store is asked for what no peer could give.

    std::chrono::milliseconds roundedUp(SteadyTime::duration duration)
    {
        return std::max(std::chrono::ceil<std::chrono::milliseconds>(duration), std::chrono::milliseconds(0));
    }

}

std::uint32_t voteDigest(const InstanceName& name)
{
    return static_cast<std::uint32_t>(stableHash(name.value));
}

ConfigurationSpread::ConfigurationSpread(InstanceName self, ZoneName zone, SpreadOptions options, std::uint64_t seed, SteadyTime startedAt)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_options(options)
    , m_startedAt(startedAt)
    , m_random(seed)
    , m_watchers { m_self }
{
    makeElectorate();
}

void ConfigurationSpread::setInstances(std::vector<InstanceName> instances)
{
    m_instances = std::move(instances);
    makeElectorate();
}

void ConfigurationSpread::setView(const MembershipView& view)
{
    m_members.clear();
    m_memberRevisions.clear();
    std::vector<std::pair<std::uint64_t, InstanceName>> candidates;
    const std::uint64_t zoneHash = stableHash(m_zone.value);
    for (const Member& member : view.members) {
        m_members.push_back(member.name);
        learnOf(member.configurationRevision);
        if (member.name != m_self)
            m_memberRevisions[member.name] = member.configurationRevision;
        if (member.zone == m_zone && member.state != MemberState::leaving)
            candidates.emplace_back(stableHash(member.name.value, zoneHash), member.name);
    }
    std::sort(candidates.begin(), candidates.end());
    m_watchers.clear();
    for (std::size_t index = 0; index < std::min(candidates.size(), m_options.watchersPerZone); ++index)
        m_watchers.push_back(candidates[index].second);
    makeElectorate();
}

void ConfigurationSpread::makeElectorate()
{
    m_electorate.clear();
    const auto add = [this](const InstanceName& name) { m_electorate.emplace(voteDigest(name), name); };
    add(m_self);
    std::for_each(m_instances.begin(), m_instances.end(), add);
    std::for_each(m_members.begin(), m_members.end(), add);
    std::erase_if(m_votes, [this](const auto& vote) { return !m_electorate.contains(voteDigest(vote.first)); });
}

bool ConfigurationSpread::isWatcher() const
{
    return std::find(m_watchers.begin(), m_watchers.end(), m_self) != m_watchers.end();
}

bool ConfigurationSpread::takeStoreCall(SteadyTime now)
{
    if (now < m_nextStoreCall || (m_storeCallSince && now - *m_storeCallSince < m_options.storeCallLost))
        return false;
    const SteadyTime provenAt = m_provenAt.value_or(m_startedAt);
    const bool isUnproven = now - provenAt >= m_options.ownReadAfter;
    const bool isLeftBehind = m_known > m_held && m_behindSince && now - *m_behindSince >= behindPatience;
    if (m_known > m_held && !m_behindSince)
        m_behindSince = now;
    if (!isWatcher() && !isUnproven && !isLeftBehind)
        return false;
    m_storeCallSince = now;
    return true;
}

void ConfigurationSpread::storeAnswered(SteadyTime startedAt, std::uint64_t revision, std::string record, SteadyTime now)
{
    adopt(revision, std::move(record));
    storeUnchanged(startedAt, revision, now);
}

void ConfigurationSpread::storeUnchanged(SteadyTime startedAt, std::uint64_t revision, SteadyTime now)
{
    m_storeCallSince.reset();
    m_didStoreFail = false;
    m_reachedAt = now;
    if (!isWatcher())
        m_nextStoreCall = now + m_options.ownReadRetry;
    prove(revision, startedAt);
}

void ConfigurationSpread::storeFailed(SteadyTime now)
{
    m_storeCallSince.reset();
    m_didStoreFail = true;
    const std::chrono::milliseconds retry = isWatcher() ? m_options.watchRetry : m_options.ownReadRetry;
    m_nextStoreCall = now + retry + std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(retry.count())));
}

std::optional<InstanceName> ConfigurationSpread::takeFetch(SteadyTime now)
{
    if (m_isFetchOpen || m_known <= m_held || now < m_nextFetch)
        return std::nullopt;
    if (m_holders.empty()) {
        for (const auto& [name, revision] : m_memberRevisions) {
            if (revision >= m_known)
                addHolder(name);
        }
    }
    if (m_holders.empty())
        return std::nullopt;
    m_isFetchOpen = true;
    return m_holders[below(m_random, m_holders.size())];
}

void ConfigurationSpread::fetched(const InstanceName& from, SteadyTime startedAt, const FetchConfigurationAnswer& answer, SteadyTime now)
{
    if (answer.revision <= m_held || answer.record.empty()) {
        fetchFailed(from, now);
        return;
    }
    m_isFetchOpen = false;
    adopt(answer.revision, answer.record);
    if (answer.proofAge)
        prove(answer.revision, startedAt - *answer.proofAge);
}

void ConfigurationSpread::fetchFailed(const InstanceName& from, SteadyTime now)
{
    m_isFetchOpen = false;
    std::erase(m_holders, from);
    m_memberRevisions.erase(from);
    if (m_holders.empty())
        m_nextFetch = now + m_options.fetchRetry;
}

FetchConfigurationAnswer ConfigurationSpread::answer(const FetchConfiguration& request, Incarnation self, SteadyTime now) const
{
    return { self, m_held, m_held > request.known ? m_record : std::string(), proofAge(now) };
}

std::optional<std::chrono::milliseconds> ConfigurationSpread::proofAge(SteadyTime now) const
{
    if (!m_provenAt)
        return std::nullopt;
    return roundedUp(now - *m_provenAt);
}

Standing ConfigurationSpread::standing(SteadyTime now) const
{
    if (m_held == 0 || freshness(now) == FreshnessSource::none)
        return Standing::stale;
    return m_known > m_held ? Standing::catchingUp : Standing::fresh;
}

FreshnessSource ConfigurationSpread::freshness(SteadyTime now) const
{
    if (m_provenAt && now - *m_provenAt <= m_options.bound)
        return FreshnessSource::proof;
    const std::optional<SteadyTime> voted = votedAt();
    return voted && now - *voted <= m_options.bound ? FreshnessSource::votes : FreshnessSource::none;
}

std::optional<SteadyTime> ConfigurationSpread::freshUntil() const
{
    const std::optional<SteadyTime> latest = std::max(m_provenAt, votedAt());
    if (!latest)
        return std::nullopt;
    return *latest + m_options.bound;
}

std::vector<InstanceName> ConfigurationSpread::electorate() const
{
    std::vector<InstanceName> names;
    for (const auto& [digest, name] : m_electorate)
        names.push_back(name);
    return names;
}

bool ConfigurationSpread::mayServe(SteadyTime now, Failure& failure) const
{
    const Standing current = standing(now);
    if (current == Standing::fresh)
        return true;
    failure = { ErrorKind::configurationStale, {}, std::chrono::milliseconds(1'000), RunState::notRun };
    if (current == Standing::catchingUp) {
        failure.reason = "configuration revision " + std::to_string(m_known) + " is being fetched";
        failure.retryAfter = std::chrono::milliseconds(50);
    } else if (m_held == 0) {
        failure.reason = "this instance has no configuration yet";
    } else {
        failure.reason = "this instance was cut off from the configuration for more than " + std::to_string(m_options.bound.count()) + " ms";
    }
    return false;
}

// A read that started at `at` found nothing above `revision`: then nothing above what is held had been written.
void ConfigurationSpread::prove(std::uint64_t revision, SteadyTime at)
{
    if (revision > m_held) {
        learnOf(revision);
        return;
    }
    if (!m_provenAt || at > *m_provenAt)
        m_provenAt = at;
    if (*m_provenAt >= m_startedAt)
        m_mayVote = true;
}

void ConfigurationSpread::adopt(std::uint64_t revision, std::string record)
{
    if (revision <= m_held)
        return;
    m_held = revision;
    m_record = std::move(record);
    learnOf(revision);
    if (m_held == m_known)
        m_behindSince.reset();
}

void ConfigurationSpread::learnOf(std::uint64_t revision)
{
    if (revision <= m_known)
        return;
    m_known = revision;
    m_holders.clear();
    m_nextFetch = {};
}

void ConfigurationSpread::addHolder(const InstanceName& name)
{
    std::erase(m_holders, name);
    if (m_holders.size() >= largestHolderCount)
        m_holders.erase(m_holders.begin());
    m_holders.push_back(name);
}

ConfigurationReport ConfigurationSpread::report(SteadyTime now)
{
    ConfigurationReport report;
    report.held = m_held;
    report.known = m_known;
    report.proofAge = proofAge(now);
    if (m_reachedAt)
        report.reachedAge = roundedUp(now - *m_reachedAt);
    report.storeFailed = m_didStoreFail;
    recoverVote();
    if (isSilent(now)) {
        report.votes = m_mayVote;
        report.others = votesToTell(now);
    }
    return report;
}

void ConfigurationSpread::heard(const Sender& sender, const ConfigurationReport& report, std::optional<SteadyTime> earliest, SteadyTime now)
{
    learnOf(report.known);
    learnOf(report.held);
    if (report.held > m_held && report.held >= m_known)
        addHolder(sender.instance);
    if (m_known > m_held && !m_behindSince)
        m_behindSince = now;
    if (!earliest)
        return;
    if (report.proofAge)
        prove(report.held, *earliest - *report.proofAge);
    takeVotes(sender, report, *earliest);
}

}
