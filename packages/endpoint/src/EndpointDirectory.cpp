#include "whinyard/endpoint/EndpointDirectory.h"

#include <algorithm>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace whinyard::endpoint {

namespace {

    // Stands for the time to an answer that nobody can give.
    constexpr std::chrono::hours unreachable { 1 };

    // Only another configuration lets such a request be served.
    constexpr std::chrono::milliseconds tooLargeUntil { 30'000 };

    // After the last answer that said so.
    constexpr std::chrono::seconds brittleFor { 5 };

    // What a brittle endpoint bears is counted in this span.
    constexpr std::chrono::seconds pauseAfterTurningAway { 1 };

    // Names the refusal that a plan without an endpoint stands for.
    Failure refusalOf(const policy::EndpointPlan& plan, const std::string& target)
    {
        constexpr std::chrono::milliseconds comeBack { 1'000 };
        if (plan.reason == policy::ChoiceReason::noEndpoint)
            return { .kind = ErrorKind::noEndpoint, .reason = "no live endpoint is left for " + target, .retryAfter = comeBack };
        if (plan.reason == policy::ChoiceReason::largerThanMemory)
            return { .kind = ErrorKind::overloaded, .reason = "the request is larger than the memory of an engine for " + target, .retryAfter = tooLargeUntil };
        const auto wait = std::chrono::ceil<std::chrono::milliseconds>(plan.expectedWait);
        if (plan.reason == policy::ChoiceReason::noRoom)
            return { .kind = ErrorKind::overloaded, .reason = "no engine for " + target + " has memory for the request in time", .retryAfter = std::max(wait, std::chrono::milliseconds(1)) };
        return { .kind = ErrorKind::overloaded, .reason = "no endpoint for " + target + " takes new work in time", .retryAfter = std::max(wait, std::chrono::milliseconds(1)) };
    }

}

EndpointDirectory::EndpointDirectory(ZoneName zone, Random random, const policy::EndpointTableSettings& table, const policy::WaitSelectorSettings& selector)
    : m_zone(std::move(zone))
    , m_random(random)
    , m_table(table)
    , m_selector(policy::makeWaitSelector(selector))
    , m_sharesPaces(selector.sharesPaces)
{
}

policy::EndpointMember EndpointDirectory::memberOf(const backing::ListedEndpoint& listed) const
{
    policy::EndpointMember member;
    member.name = listed.name;
    member.zone = listed.zone;
    if (listed.kind == backing::ListedKind::engine)
        member.versions = listed.versions;
    else
        member.services = { listed.service };
    member.leaving = listed.leaving;
    member.slots = listed.slots;
    member.incarnation = listed.born;
    member.isEvacuated = m_evacuated.contains(listed.zone);
    const auto bound = m_coldBounds.find(listed.service);
    member.coldBound = bound == m_coldBounds.end() ? 0 : bound->second.requestsInAnySecond;
    const auto cache = m_cacheTokens.find(listed.service);
    member.cacheTokens = cache == m_cacheTokens.end() || listed.kind != backing::ListedKind::engine ? 0 : cache->second;
    return member;
}

void EndpointDirectory::placeMembers()
{
    std::vector<policy::EndpointMember> members;
    for (const auto& [name, endpoint] : m_listed)
        members.push_back(memberOf(endpoint));
    m_table.replaceMembers(members);
}

void EndpointDirectory::replace(const std::vector<backing::ListedEndpoint>& listed, SteadyTime now)
{
    std::unordered_set<std::string_view> names;
    for (const backing::ListedEndpoint& endpoint : listed)
        names.insert(endpoint.name.value);
    std::vector<EndpointName> gone;
    for (const auto& [name, endpoint] : m_listed) {
        if (!names.contains(name.value))
            gone.push_back(name);
    }
    change(listed, gone, now);
}

void EndpointDirectory::change(const std::vector<backing::ListedEndpoint>& changed, const std::vector<EndpointName>& gone, SteadyTime now)
{
    std::vector<policy::EndpointMember> members;
    std::vector<const backing::ListedEndpoint*> becameCold;
    for (const backing::ListedEndpoint& endpoint : changed) {
        if (endpoint.kind == backing::ListedKind::instance)
            continue;
        const auto [known, isNew] = m_listed.try_emplace(endpoint.name);
        if (isNew || known->second.coldLeft != endpoint.coldLeft || known->second.born != endpoint.born)
            becameCold.push_back(&endpoint);
        if (!isNew && known->second.born != endpoint.born && endpoint.born != 0)
            m_rates.forget(endpoint.name);
        if (!isNew)
            countVersions(known->second, -1);
        known->second = endpoint;
        countVersions(endpoint, 1);
        members.push_back(memberOf(endpoint));
    }
    for (const EndpointName& name : gone) {
        if (const auto known = m_listed.find(name); known != m_listed.end()) {
            countVersions(known->second, -1);
            m_listed.erase(known);
        }
    }
    m_table.changeMembers(members, gone);
    usePacesOf(changed, gone);
    for (const backing::ListedEndpoint* endpoint : becameCold)
        recordCold(endpoint->name, endpoint->coldLeft, now);
    for (const policy::EndpointMember& member : members)
        useRate(member.name);
}

void EndpointDirectory::countVersions(const backing::ListedEndpoint& listed, int change)
{
    std::map<VersionName, int>& versions = m_live[listed.service];
    if (listed.leaving)
        return;
    for (const VersionName& version : listed.versions) {
        int& count = versions[version];
        count += change;
        if (count == 0)
            versions.erase(version);
    }
}

std::map<ServiceName, std::vector<VersionName>> EndpointDirectory::liveVersions() const
{
    std::map<ServiceName, std::vector<VersionName>> live;
    for (const auto& [service, versions] : m_live) {
        std::vector<VersionName>& names = live[service];
        for (const auto& [version, count] : versions)
            names.push_back(version);
    }
    return live;
}

std::vector<policy::TargetIndex> EndpointDirectory::targetsOf(const ServiceName& service) const
{
    std::vector<policy::TargetIndex> targets;
    if (const std::optional<policy::TargetIndex> plain = m_table.find(service))
        targets.push_back(*plain);
    const auto live = m_live.find(service);
    if (live == m_live.end())
        return targets;
    for (const auto& [version, count] : live->second) {
        if (const std::optional<policy::TargetIndex> target = m_table.find(version))
            targets.push_back(*target);
    }
    return targets;
}

bool EndpointDirectory::servesAny(policy::EndpointIndex endpoint, const std::vector<policy::TargetIndex>& targets) const
{
    return std::any_of(targets.begin(), targets.end(), [&](policy::TargetIndex target) { return m_table.serves(endpoint, target); });
}

void EndpointDirectory::useEvacuatedZones(const std::set<ZoneName>& zones, SteadyTime now)
{
    const std::set<ZoneName> before = std::exchange(m_evacuated, zones);
    placeMembers();
    for (const auto& [name, endpoint] : m_listed) {
        const auto bound = m_coldBounds.find(endpoint.service);
        const bool isTakenBack = before.contains(endpoint.zone) && !zones.contains(endpoint.zone);
        if (isTakenBack && bound != m_coldBounds.end())
            recordCold(name, std::max(endpoint.coldLeft, bound->second.coldFor), now);
    }
}

void EndpointDirectory::useColdBounds(const std::map<ServiceName, ColdBound>& bounds)
{
    if (m_coldBounds == bounds)
        return;
    m_coldBounds = bounds;
    placeMembers();
}

void EndpointDirectory::useCacheTokens(const std::map<ServiceName, std::uint64_t>& tokens)
{
    if (m_cacheTokens == tokens)
        return;
    m_cacheTokens = tokens;
    placeMembers();
}

std::uint32_t EndpointDirectory::cacheTokens(const EndpointWish& wish) const
{
    const std::optional<policy::TargetIndex> target = targetOf(wish);
    if (!target)
        return 0;
    const policy::TargetMembers& members = m_table.members(*target);
    return members.healthy.empty() ? 0 : m_table.memory().capacity(members.healthy.front());
}

policy::EngineMemory::Hold EndpointDirectory::holdMemory(const EndpointName& endpoint, std::uint32_t tokens, SteadyTime until, double toldTo)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    return index ? m_table.memory().begin(*index, tokens, until, toldTo) : policy::EngineMemory::Hold {};
}

void EndpointDirectory::tellOverdue(const std::function<void(const EndpointName&, std::uint32_t, std::chrono::nanoseconds)>& tell)
{
    for (const policy::EngineMemory::Overdue& overdue : m_table.memory().takeOverdue())
        tell(m_table.name(overdue.endpoint), overdue.tokens, overdue.duration);
}

void EndpointDirectory::takeMemoryNews(const EndpointName& endpoint, std::uint32_t tokens, std::chrono::nanoseconds duration, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.memory().report(*index, tokens, now + duration, now);
}

void EndpointDirectory::recordCold(const EndpointName& endpoint, std::chrono::milliseconds left, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index && (left.count() > 0 || m_table.quotas().knows(*index)))
        m_table.quotas().noteCold(*index, now + left);
}

StatementEffect EndpointDirectory::recordStatement(const EndpointName& endpoint, const EndpointStatement& statement, SteadyTime sentAt, SteadyTime now)
{
    if (!statement.isRateUnreadable) {
        m_rates.takeAnswer(endpoint, statement.requestsPerSecond, sentAt, now);
        useRate(endpoint);
    }
    StatementEffect effect;
    effect.beganToBeBrittle = statement.isBrittle && noteBrittle(endpoint, now);
    // The list may have lapsed since the request was sent.
    const std::optional<policy::EndpointIndex> index = m_table.findRemembered(endpoint);
    if (index && statement.isLeaving && !m_table.row(*index).leaving) {
        m_table.markLeaving(*index);
        effect.beganToLeave = true;
    }
    if (index && now + statement.rest > m_table.row(*index).comeBackAt && statement.rest.count() > 0) {
        m_table.recordComeBackAt(*index, now + statement.rest);
        effect.beganToRest = true;
    }
    return effect;
}

void EndpointDirectory::takeRateNews(const RateNews& news, SteadyTime now)
{
    m_rates.takeNews(news, now);
    useRate(news.endpoint);
}

// What one endpoint of a service states of it holds for the others of all its versions. Returns whether it is news.
bool EndpointDirectory::noteBrittle(const EndpointName& endpoint, SteadyTime now)
{
    const auto listed = m_listed.find(endpoint);
    if (listed == m_listed.end())
        return false;
    bool isNew = false;
    for (const auto& [version, count] : m_live[listed->second.service])
        isNew = m_brittle.insert_or_assign(version, now + brittleFor).second || isNew;
    return isNew;
}

void EndpointDirectory::recordTurnedAway(const EndpointName& endpoint, SteadyTime now)
{
    const auto listed = m_listed.find(endpoint);
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    const bool isBrittle = listed != m_listed.end() && std::any_of(listed->second.versions.begin(), listed->second.versions.end(), [this](const VersionName& version) { return m_brittle.contains(version); });
    if (index && isBrittle)
        m_table.recordComeBackAt(*index, now + pauseAfterTurningAway);
}

void EndpointDirectory::useRate(const EndpointName& endpoint)
{
    if (const std::optional<policy::EndpointIndex> index = m_table.findRemembered(endpoint))
        m_table.quotas().useRate(*index, endpoint, m_rates.rate(endpoint), m_rates.heardAt(endpoint));
}

double EndpointDirectory::capacity(const ServiceName& service) const
{
    double sum = 0;
    for (const policy::TargetIndex target : targetsOf(service)) {
        const policy::TargetMembers& members = m_table.members(target);
        for (const auto* list : { &members.healthy, &members.probing, &members.ejected }) {
            for (const policy::EndpointIndex endpoint : *list)
                sum += m_table.capacity(endpoint);
        }
    }
    return sum;
}

std::optional<backing::ListedEndpoint> EndpointDirectory::findLive(const EndpointName& name) const
{
    const auto listed = m_listed.find(name);
    return listed == m_listed.end() || !isLive(listed->second) ? std::nullopt : std::optional(listed->second);
}

std::vector<backing::ListedEndpoint> EndpointDirectory::drawLive(const ServiceName& service, std::size_t count)
{
    using Lists = std::vector<const std::vector<policy::EndpointIndex>*>;
    Lists sound;
    Lists ejected;
    for (const policy::TargetIndex target : targetsOf(service)) {
        const policy::TargetMembers& members = m_table.members(target);
        sound.insert(sound.end(), { &members.healthy, &members.probing });
        ejected.push_back(&members.ejected);
    }
    std::vector<backing::ListedEndpoint> drawn;
    for (const Lists& lists : { sound, ejected })
        drawLiveFrom(lists, count, drawn);
    return drawn;
}

void EndpointDirectory::drawLiveFrom(const std::vector<const std::vector<policy::EndpointIndex>*>& lists, std::size_t count, std::vector<backing::ListedEndpoint>& drawn)
{
    constexpr std::size_t drawsForEach = 4;
    std::size_t size = 0;
    for (const auto* list : lists)
        size += list->size();
    for (std::size_t draws = 0; size > 0 && draws < count * drawsForEach && drawn.size() < count; ++draws) {
        std::size_t position = below(m_random, size);
        auto list = lists.begin();
        for (; position >= (*list)->size(); ++list)
            position -= (*list)->size();
        const EndpointName& name = m_table.name((**list)[position]);
        const bool isNew = std::none_of(drawn.begin(), drawn.end(), [&](const backing::ListedEndpoint& endpoint) { return endpoint.name == name; });
        if (std::optional<backing::ListedEndpoint> live = isNew ? findLive(name) : std::nullopt)
            drawn.push_back(std::move(*live));
    }
}

std::size_t EndpointDirectory::coldEndpoints(SteadyTime now) const
{
    return m_table.quotas().coldEndpoints(now);
}

void EndpointDirectory::markLeaving(const EndpointName& endpoint)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.markLeaving(*index);
}

std::optional<policy::TargetIndex> EndpointDirectory::targetOf(const EndpointWish& wish) const
{
    return wish.service.empty() ? m_table.find(wish.version) : m_table.find(wish.service);
}

std::vector<policy::ZoneIndex> EndpointDirectory::zonesOf(const config::Residency& residency) const
{
    std::vector<policy::ZoneIndex> zones;
    for (const auto& [name, region] : m_regions) {
        const std::optional<policy::ZoneIndex> zone = m_table.find(name);
        if (zone && residency.allows(region))
            zones.push_back(*zone);
    }
    return zones;
}

std::vector<policy::ZoneIndex> EndpointDirectory::zonesOfOwnRegion() const
{
    std::vector<policy::ZoneIndex> zones;
    const auto own = m_regions.find(m_zone);
    for (const auto& [name, region] : m_regions) {
        const std::optional<policy::ZoneIndex> zone = m_table.find(name);
        if (zone && own != m_regions.end() && region == own->second)
            zones.push_back(*zone);
    }
    return zones;
}

std::vector<policy::EndpointIndex> EndpointDirectory::indexesOf(const std::vector<EndpointName>& names) const
{
    std::vector<policy::EndpointIndex> indexes;
    for (const EndpointName& name : names) {
        if (const std::optional<policy::EndpointIndex> index = m_table.find(name))
            indexes.push_back(*index);
    }
    return indexes;
}

std::optional<ChosenEndpoint> EndpointDirectory::choose(const EndpointWish& wish, SteadyTime now, Failure& failure)
{
    const std::optional<policy::TargetIndex> target = targetOf(wish);
    policy::EndpointPlan plan;
    if (target) {
        const std::vector<policy::EndpointIndex> excluded = indexesOf(wish.excluded);
        const std::vector<policy::EndpointIndex> among = indexesOf(wish.among);
        const std::vector<policy::ZoneIndex> allowedZones = zonesOf(wish.residency);
        const std::vector<policy::ZoneIndex> nearZones = zonesOfOwnRegion();
        policy::EndpointRequest request;
        request.target = *target;
        request.zone = m_table.find(m_zone);
        request.nearZones = nearZones;
        request.allowedZones = allowedZones;
        request.isZoneRestricted = wish.residency.isRestricted();
        request.boundsInFlight = m_brittle.contains(wish.version);
        request.affinity = wish.affinity;
        request.prefix = wish.prefix;
        request.promptTokens = wish.promptTokens;
        request.priority = wish.priority;
        request.mayProbe = wish.mayProbe;
        request.deadline = wish.deadline;
        request.excluded = excluded;
        request.among = among;
        request.tokenTime = wish.tokenTime;
        request.stallsOthers = wish.stallsOthers;
        request.firstEventDue = wish.firstEventDue;
        request.prefixShares = wish.prefixShares;
        request.neededTokens = wish.neededTokens;
        request.roomBy = wish.roomBy;
        plan = m_selector->choose(m_table, request, now, m_random);
    }
    m_lastPlan = plan;
    const auto listed = plan ? m_listed.find(m_table.name(plan.endpoint)) : m_listed.end();
    if (listed != m_listed.end())
        return ChosenEndpoint { listed->first, listed->second.address, std::string(toText(plan.reason)), listed->second.born, plan };
    failure = refusalOf(plan, wish.service.empty() ? wish.version.value : wish.service.value);
    return std::nullopt;
}

void EndpointDirectory::recordDispatch(const EndpointName& endpoint, const std::vector<std::uint64_t>& prefix, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordDispatch(*index, prefix, now);
}

void EndpointDirectory::recordFirstByte(const EndpointName& endpoint, std::chrono::nanoseconds elapsed)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordFirstByte(*index, elapsed);
}

void EndpointDirectory::recordQueued(const EndpointName& endpoint, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordQueued(*index, now);
}

void EndpointDirectory::recordWork(const EndpointName& endpoint, std::chrono::nanoseconds work, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordWork(*index, work, now);
}

void EndpointDirectory::recordPrefixes(const EndpointName& endpoint, const std::vector<std::uint64_t>& prefixes, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordPrefixes(*index, prefixes, now);
}

void EndpointDirectory::recordExpectation(const EndpointName& endpoint, std::chrono::nanoseconds elapsed, std::chrono::nanoseconds expected, SteadyTime now)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordExpectation(*index, elapsed, expected, now);
}

std::chrono::nanoseconds EndpointDirectory::backlog(const EndpointName& endpoint, SteadyTime now) const
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    return index ? m_table.backlog(*index, now) : std::chrono::nanoseconds(0);
}

void EndpointDirectory::recordEnd(const EndpointName& endpoint, EndpointOutcome outcome, std::chrono::nanoseconds elapsed, SteadyTime now)
{
    if (outcome == EndpointOutcome::leaving)
        m_refusals.push_back(endpoint);
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordEnd(*index, outcome, elapsed, now);
}

void EndpointDirectory::recordReport(const EndpointName& endpoint, const LoadReport& report, SteadyTime now, WallTime wallNow)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (!index)
        return;
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(wallNow.time_since_epoch());
    // An engine's clock may be ahead of ours: a report is never from the future.
    const std::chrono::milliseconds age = std::max(wall - report.asOf, std::chrono::milliseconds(0));
    policy::LoadReport taken;
    taken.queued = report.queued;
    taken.running = report.running;
    taken.slots = report.slots;
    taken.step = report.step;
    taken.measuredAt = now - age;
    taken.cachedPrefixes = report.prefixes;
    m_table.recordReport(*index, taken, now);
}

void EndpointDirectory::refresh(SteadyTime now)
{
    m_table.refresh(now);
    refreshPaces(now);
    std::erase_if(m_brittle, [now](const auto& entry) { return entry.second <= now; });
    m_rates.refresh(now, [this](const EndpointName& endpoint) { return m_listed.contains(endpoint); });
}

void EndpointDirectory::recordComeBackAt(const EndpointName& endpoint, SteadyTime at)
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    if (index)
        m_table.recordComeBackAt(*index, at);
}

policy::CascadeStep EndpointDirectory::expectation(const VersionName& version, SteadyTime now, std::uint32_t promptTokens)
{
    policy::CascadeStep step;
    step.version = version;
    step.firstToken = unreachable;
    step.whole = unreachable;
    const std::optional<policy::TargetIndex> target = m_table.find(version);
    if (!target)
        return step;
    policy::EndpointRequest request;
    request.target = *target;
    request.zone = m_table.find(m_zone);
    request.promptTokens = promptTokens;
    request.mayProbe = false;
    const policy::EndpointPlan plan = m_selector->choose(m_table, request, now, m_random);
    if (!plan)
        return step;
    step.firstToken = plan.cautiousWait;
    step.whole = plan.cautiousWait + std::chrono::duration_cast<std::chrono::microseconds>(m_table.slotTime(plan.endpoint));
    return step;
}

bool EndpointDirectory::isLive(const backing::ListedEndpoint& endpoint) const
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint.name);
    return index && !m_table.row(*index).leaving;
}

std::vector<EndpointName> EndpointDirectory::takeRefusals()
{
    return std::exchange(m_refusals, {});
}

std::vector<backing::ListedEndpoint> EndpointDirectory::engines() const
{
    std::vector<backing::ListedEndpoint> engines;
    for (const auto& [name, listed] : m_listed) {
        if (listed.kind == backing::ListedKind::engine && isLive(listed))
            engines.push_back(listed);
    }
    return engines;
}

// Only endpoints with a backlog are looked at: the others add nothing, however many they are.
std::chrono::nanoseconds EndpointDirectory::meanBacklog(const ServiceName& service, SteadyTime now)
{
    const std::vector<policy::TargetIndex> targets = targetsOf(service);
    std::int64_t endpoints = 0;
    for (const policy::TargetIndex target : targets)
        endpoints += static_cast<std::int64_t>(m_table.members(target).size());
    // Little waits at an endpoint that holds work off, however short of engines the service is.
    const std::vector<policy::EndpointIndex> holding = m_table.endpointsThatHoldOff(now);
    SteadyTime firstOpen = SteadyTime::max();
    for (const policy::EndpointIndex endpoint : holding) {
        if (!servesAny(endpoint, targets))
            continue;
        --endpoints;
        firstOpen = std::min(firstOpen, m_table.takesWorkOfAnyAt(endpoint, now));
    }
    if (endpoints <= 0 && firstOpen != SteadyTime::max())
        return firstOpen - now;
    std::chrono::nanoseconds sum { 0 };
    for (const policy::EndpointIndex endpoint : m_table.busyEndpoints(now)) {
        if (servesAny(endpoint, targets) && !std::binary_search(holding.begin(), holding.end(), endpoint))
            sum += m_table.backlog(endpoint, now);
    }
    return sum / std::max<std::int64_t>(1, endpoints);
}

double EndpointDirectory::busyShare(const ServiceName& service, SteadyTime now)
{
    const std::vector<policy::TargetIndex> targets = targetsOf(service);
    std::size_t endpoints = 0;
    for (const policy::TargetIndex target : targets)
        endpoints += m_table.members(target).size();
    const std::vector<policy::EndpointIndex> holding = m_table.endpointsThatHoldOff(now);
    const auto serves = [&](policy::EndpointIndex endpoint) { return servesAny(endpoint, targets); };
    const auto reads = [&](policy::EndpointIndex endpoint) { return serves(endpoint) && !std::binary_search(holding.begin(), holding.end(), endpoint); };
    const std::vector<policy::EndpointIndex>& busy = m_table.busyEndpoints(now);
    const auto taken = std::count_if(holding.begin(), holding.end(), serves) + std::count_if(busy.begin(), busy.end(), reads);
    return std::min(1.0, static_cast<double>(taken) / static_cast<double>(std::max<std::size_t>(1, endpoints)));
}

std::size_t EndpointDirectory::size() const
{
    return static_cast<std::size_t>(std::count_if(m_listed.begin(), m_listed.end(), [this](const auto& entry) { return isLive(entry.second); }));
}

}
