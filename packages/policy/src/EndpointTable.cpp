#include "whinyard/policy/EndpointTable.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace whinyard::policy {

namespace {

    // Positions of an endpoint on the hash ring of each of its targets.
    constexpr std::uint64_t pointsPerEndpoint = 8;

    // Members that change at once, beyond which a hash ring is built anew: one by one each moves a part of it.
    constexpr std::size_t mostSingleChanges = 16;

    // Free rows that must be ahead of a row before it is reused.
    constexpr std::size_t reuseDistance = 256;

    constexpr std::uint32_t stallWeight = 2; // In failures.
    constexpr double shortestSlotTime = 0.001; // Seconds that any request takes.

    // An engine that answers at once still takes a step and the way there and back.
    constexpr std::chrono::milliseconds leastExpected { 15 };
    constexpr double slownessWeight = 0.2; // Of a new sample.
    constexpr double largestSlowness = 10;
    constexpr std::chrono::seconds slownessMemory { 4 }; // Time constant after which a measurement is forgotten.

    // Weight of a new sample in the moving means.
    constexpr double sampleWeight = 0.1;

    template <typename Index>
    std::size_t at(Index index)
    {
        return static_cast<std::size_t>(index);
    }

    void eraseValue(std::vector<EndpointIndex>& list, EndpointIndex endpoint)
    {
        list.erase(std::remove(list.begin(), list.end(), endpoint), list.end());
    }

    std::chrono::nanoseconds movingMean(std::chrono::nanoseconds mean, std::chrono::nanoseconds sample)
    {
        const double difference = static_cast<double>((sample - mean).count());
        return mean + std::chrono::nanoseconds(static_cast<std::int64_t>(difference * sampleWeight));
    }

    bool isBefore(const RingPoint& left, const RingPoint& right)
    {
        if (left.position != right.position)
            return left.position < right.position;
        return left.endpoint < right.endpoint;
    }

    template <typename Key>
    std::optional<typename std::unordered_map<std::string, Key>::mapped_type> lookUp(const std::unordered_map<std::string, Key>& names, const std::string& name)
    {
        const auto found = names.find(name);
        if (found == names.end())
            return std::nullopt;
        return found->second;
    }

}

EndpointTable::EndpointTable(EndpointTableSettings settings)
    : m_settings(settings)
    , m_prefixes(settings.prefixCapacity)
{
}

EndpointTable::Batch::Batch(EndpointTable& table, std::size_t changes)
    : m_table(table)
{
    m_table.m_isBatch = changes > mostSingleChanges;
}

EndpointTable::Batch::~Batch()
{
    m_table.m_isBatch = false;
    for (const TargetIndex target : std::exchange(m_table.m_staleRings, {}))
        m_table.buildRing(m_table.m_targets[at(target)]);
}

void EndpointTable::replaceMembers(std::span<const EndpointMember> members)
{
    const Batch batch(*this, members.size());
    reserveRows(members.size());
    std::vector<std::uint8_t> listed(m_rows.size() + members.size(), 0);
    for (const EndpointMember& member : members)
        listed[at(takeMember(member))] = 1;
    for (std::size_t i = 0; i < m_rows.size(); ++i) {
        if (!listed[i] && !m_free[i])
            dropMember(static_cast<EndpointIndex>(i));
    }
}

void EndpointTable::changeMembers(std::span<const EndpointMember> changed, std::span<const EndpointName> gone)
{
    const Batch batch(*this, changed.size() + gone.size());
    if (m_rows.empty())
        reserveRows(changed.size());
    for (const EndpointMember& member : changed)
        takeMember(member);
    for (const EndpointName& name : gone) {
        if (const std::optional<EndpointIndex> endpoint = find(name))
            dropMember(*endpoint);
    }
}

// A first list is taken without the room that growing vectors leave.
void EndpointTable::reserveRows(std::size_t count)
{
    m_rows.reserve(count);
    m_histories.reserve(count);
    m_names.reserve(count);
    m_targetsOf.reserve(count);
    m_saidLeaving.reserve(count);
    m_free.reserve(count);
}

void EndpointTable::dropMember(EndpointIndex endpoint)
{
    removeFromTargets(endpoint);
    if (row(endpoint).incarnation == 0)
        m_saidLeaving[at(endpoint)] = 0;
    rowAt(endpoint).present = false;
    freeIfGone(endpoint);
}

EndpointIndex EndpointTable::takeMember(const EndpointMember& member)
{
    const EndpointIndex endpoint = rowFor(member.name);
    EndpointRow& row = rowAt(endpoint);
    if (row.incarnation != 0 && member.incarnation != 0 && row.incarnation != member.incarnation)
        forgetEarlierProcess(endpoint);
    if (member.incarnation != 0)
        row.incarnation = member.incarnation;
    if (member.leaving)
        m_saidLeaving[at(endpoint)] = row.incarnation != 0 ? 1 : 0;
    row.present = true;
    if (member.slots > 0)
        row.slots = member.slots;
    row.leaving = member.leaving || m_saidLeaving[at(endpoint)] != 0;
    row.isEvacuated = member.isEvacuated;
    m_quotas.useColdBound(endpoint, member.name, member.coldBound);
    const ZoneIndex zone = zoneFor(member.zone);
    if (row.zone != zone)
        removeFromTargets(endpoint);
    row.zone = zone;
    std::vector<TargetIndex> targets;
    for (const VersionName& version : member.versions)
        targets.push_back(targetFor(m_versions, version.value));
    for (const ServiceName& service : member.services)
        targets.push_back(targetFor(m_services, service.value));
    if (!targets.empty())
        m_memory.useCapacity(endpoint, member.cacheTokens, member.slots, targets.front());
    if (row.leaving || row.isEvacuated)
        targets.clear();
    placeInTargets(endpoint, std::move(targets));
    return endpoint;
}

void EndpointTable::forgetEarlierProcess(EndpointIndex endpoint)
{
    removeFromTargets(endpoint);
    m_prefixes.forget(static_cast<std::uint32_t>(endpoint));
    m_memory.clear(endpoint);
    m_saidLeaving[at(endpoint)] = 0;
    EndpointRow fresh = newRow();
    fresh.zone = rowAt(endpoint).zone;
    fresh.ownInFlight = rowAt(endpoint).ownInFlight; // Their ends are still to come.
    rowAt(endpoint) = fresh;
}

EndpointRow EndpointTable::newRow() const
{
    EndpointRow row;
    row.slots = m_settings.defaultSlots;
    row.serviceTime = m_settings.initialServiceTime;
    return row;
}

void EndpointTable::markLeaving(EndpointIndex endpoint)
{
    m_saidLeaving[at(endpoint)] = 1;
    rowAt(endpoint).leaving = true;
    removeFromTargets(endpoint);
}

EndpointIndex EndpointTable::rowFor(const EndpointName& name)
{
    const auto [place, isNew] = m_byName.try_emplace(name.value, noEndpointIndex);
    if (!isNew) {
        reclaim(place->second);
        return place->second;
    }
    EndpointIndex endpoint {};
    if (m_freeRows.size() > reuseDistance) {
        endpoint = m_freeRows.front();
        m_freeRows.pop_front();
        m_byName.erase(m_names[at(endpoint)].value);
        m_prefixes.forget(static_cast<std::uint32_t>(endpoint));
    } else {
        endpoint = static_cast<EndpointIndex>(m_rows.size());
        m_rows.emplace_back();
        m_histories.emplace_back();
        m_names.emplace_back();
        m_targetsOf.emplace_back();
        m_saidLeaving.push_back(0);
        m_free.push_back(0);
    }
    place->second = endpoint;
    m_quotas.forget(endpoint);
    m_memory.useCapacity(endpoint, 0, 0, {});
    rowAt(endpoint) = newRow();
    m_histories[at(endpoint)] = {};
    m_names[at(endpoint)] = name;
    m_saidLeaving[at(endpoint)] = 0;
    m_free[at(endpoint)] = 0;
    return endpoint;
}

TargetIndex EndpointTable::targetFor(std::unordered_map<std::string, TargetIndex>& names, const std::string& name)
{
    const auto [place, isNew] = names.try_emplace(name, static_cast<TargetIndex>(m_targets.size()));
    if (isNew)
        m_targets.emplace_back();
    return place->second;
}

ZoneIndex EndpointTable::zoneFor(const ZoneName& zone)
{
    return m_zones.try_emplace(zone.value, static_cast<ZoneIndex>(m_zones.size())).first->second;
}

void EndpointTable::placeInTargets(EndpointIndex endpoint, std::vector<TargetIndex> targets)
{
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    if (m_targetsOf[at(endpoint)] == targets)
        return;
    removeFromTargets(endpoint);
    for (const TargetIndex target : targets) {
        addToHealthList(m_targets[at(target)], endpoint);
        if (m_isBatch)
            m_staleRings.insert(target);
        else
            addToRing(m_targets[at(target)], endpoint);
    }
    m_targetsOf[at(endpoint)] = std::move(targets);
}

void EndpointTable::removeFromTargets(EndpointIndex endpoint)
{
    for (const TargetIndex target : m_targetsOf[at(endpoint)]) {
        TargetMembers& members = m_targets[at(target)];
        removeFromHealthList(members, endpoint);
        if (m_isBatch)
            m_staleRings.insert(target);
        else
            std::erase_if(members.ring, [&](const RingPoint& point) { return point.endpoint == endpoint; });
    }
    m_targetsOf[at(endpoint)].clear();
}

void EndpointTable::addToRing(TargetMembers& target, EndpointIndex endpoint)
{
    for (std::uint64_t i = 0; i < pointsPerEndpoint; ++i) {
        const RingPoint point { stableHash(m_names[at(endpoint)].value, i), endpoint };
        target.ring.insert(std::upper_bound(target.ring.begin(), target.ring.end(), point, isBefore), point);
    }
}

void EndpointTable::buildRing(TargetMembers& target)
{
    std::vector<RingPoint> ring;
    ring.reserve(target.size() * pointsPerEndpoint);
    for (const std::vector<EndpointIndex>* list : { &target.healthy, &target.probing, &target.ejected }) {
        for (const EndpointIndex endpoint : *list) {
            for (std::uint64_t i = 0; i < pointsPerEndpoint; ++i)
                ring.push_back({ stableHash(m_names[at(endpoint)].value, i), endpoint });
        }
    }
    std::sort(ring.begin(), ring.end(), isBefore);
    target.ring = std::move(ring);
}

void EndpointTable::addToHealthList(TargetMembers& target, EndpointIndex endpoint)
{
    const EndpointRow& added = row(endpoint);
    switch (added.health) {
    case HealthState::healthy:
        if (target.healthyByZone.size() <= at(added.zone))
            target.healthyByZone.resize(at(added.zone) + 1);
        target.healthyByZone[at(added.zone)].push_back(endpoint);
        target.healthy.push_back(endpoint);
        return;
    case HealthState::probing:
        target.probing.push_back(endpoint);
        return;
    case HealthState::ejected:
        target.ejected.push_back(endpoint);
        return;
    }
}

void EndpointTable::removeFromHealthList(TargetMembers& target, EndpointIndex endpoint)
{
    switch (row(endpoint).health) {
    case HealthState::healthy:
        eraseValue(target.healthyByZone[at(row(endpoint).zone)], endpoint);
        eraseValue(target.healthy, endpoint);
        return;
    case HealthState::probing:
        eraseValue(target.probing, endpoint);
        return;
    case HealthState::ejected:
        eraseValue(target.ejected, endpoint);
        return;
    }
}

void EndpointTable::freeIfGone(EndpointIndex endpoint)
{
    if (row(endpoint).present || row(endpoint).ownInFlight > 0 || m_free[at(endpoint)])
        return;
    m_free[at(endpoint)] = 1;
    m_memory.useCapacity(endpoint, 0, 0, {});
    m_freeRows.push_back(endpoint);
}

// Gives an endpoint that returns to the list its row back. One that doesn't say which process it is counts as another one.
void EndpointTable::reclaim(EndpointIndex endpoint)
{
    if (!m_free[at(endpoint)])
        return;
    m_free[at(endpoint)] = 0;
    std::erase(m_freeRows, endpoint);
    if (row(endpoint).incarnation != 0)
        return;
    const SteadyTime comeBackAt = row(endpoint).comeBackAt; // It may be the same one after all.
    forgetEarlierProcess(endpoint);
    rowAt(endpoint).comeBackAt = comeBackAt;
}

void EndpointTable::recordDispatch(EndpointIndex endpoint, std::span<const std::uint64_t> prefix, SteadyTime now)
{
    noteHistory(endpoint, now);
    m_quotas.noteSend(endpoint, now);
    ++rowAt(endpoint).ownInFlight;
    recordPrefixes(endpoint, prefix, now);
}

void EndpointTable::recordPrefixes(EndpointIndex endpoint, std::span<const std::uint64_t> prefixes, SteadyTime now)
{
    for (const std::uint64_t digest : prefixes)
        m_prefixes.note(digest, static_cast<std::uint32_t>(endpoint), now);
}

void EndpointTable::recordWork(EndpointIndex endpoint, std::chrono::nanoseconds work, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    changed.busyUntil = std::max(changed.busyUntil, now) + std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(work.count()) * changed.pace));
    m_isInBusy.resize(m_rows.size(), 0);
    if (!std::exchange(m_isInBusy[at(endpoint)], 1))
        m_busy.push_back(endpoint);
}

const std::vector<EndpointIndex>& EndpointTable::busyEndpoints(SteadyTime now)
{
    std::erase_if(m_busy, [&](EndpointIndex endpoint) {
        const bool isFree = row(endpoint).busyUntil <= now;
        if (isFree)
            m_isInBusy[at(endpoint)] = 0;
        return isFree;
    });
    return m_busy;
}

std::vector<EndpointIndex> EndpointTable::endpointsThatHoldOff(SteadyTime now)
{
    std::erase_if(m_resting, [&](EndpointIndex endpoint) { return row(endpoint).comeBackAt <= now; });
    std::vector<EndpointIndex> holding = m_quotas.limited();
    holding.insert(holding.end(), m_resting.begin(), m_resting.end());
    std::sort(holding.begin(), holding.end());
    holding.erase(std::unique(holding.begin(), holding.end()), holding.end());
    return holding;
}

std::chrono::nanoseconds EndpointTable::backlog(EndpointIndex endpoint, SteadyTime now) const
{
    return std::max<std::chrono::nanoseconds>(row(endpoint).busyUntil - now, std::chrono::nanoseconds(0));
}

void EndpointTable::recordFirstByte(EndpointIndex endpoint, std::chrono::nanoseconds elapsed)
{
    EndpointRow& changed = rowAt(endpoint);
    const bool isFirst = changed.firstByteSamples == 0;
    changed.firstByteTime = isFirst ? elapsed : movingMean(changed.firstByteTime, elapsed);
    ++changed.firstByteSamples;
}

void EndpointTable::recordExpectation(EndpointIndex endpoint, std::chrono::nanoseconds elapsed, std::chrono::nanoseconds expected, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    // What the engine's pace explains is no slowness.
    const double ratio = static_cast<double>(elapsed.count()) / (static_cast<double>(expected.count()) * changed.pace + static_cast<double>(leastExpected.count()));
    const double before = slowness(endpoint, now);
    changed.slowness = before + slownessWeight * (std::min(ratio, largestSlowness) - before);
    changed.slownessAt = now;
}

double EndpointTable::slowness(EndpointIndex endpoint, SteadyTime now) const
{
    const EndpointRow& read = row(endpoint);
    const double kept = std::exp(-std::chrono::duration<double>(now - read.slownessAt) / slownessMemory);
    return std::max(1.0, 1 + kept * (read.slowness - 1));
}

void EndpointTable::recordEnd(EndpointIndex endpoint, EndpointOutcome outcome, std::chrono::nanoseconds elapsed, SteadyTime now)
{
    noteHistory(endpoint, now);
    EndpointRow& changed = rowAt(endpoint);
    if (changed.ownInFlight > 0)
        --changed.ownInFlight;
    switch (outcome) {
    case EndpointOutcome::succeeded:
        recordSuccess(endpoint, elapsed, now);
        break;
    case EndpointOutcome::failed:
        recordFailure(endpoint, 1, now);
        break;
    case EndpointOutcome::stalled:
        recordFailure(endpoint, stallWeight, now);
        break;
    case EndpointOutcome::unreachable:
        recordFailure(endpoint, m_settings.failuresToEject, now);
        break;
    case EndpointOutcome::leaving:
        markLeaving(endpoint);
        break;
    case EndpointOutcome::cancelled:
    case EndpointOutcome::turnedAway:
        break;
    }
    freeIfGone(endpoint);
}

void EndpointTable::recordSuccess(EndpointIndex endpoint, std::chrono::nanoseconds elapsed, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    changed.serviceTime = movingMean(changed.serviceTime, elapsed);
    changed.consecutiveFailures = 0;
    if (changed.health != HealthState::probing)
        return;
    ++changed.consecutiveSuccesses;
    if (changed.consecutiveSuccesses < m_settings.successesToReturn)
        return;
    changed.healthySince = now;
    setHealth(endpoint, HealthState::healthy);
}

void EndpointTable::recordComeBackAt(EndpointIndex endpoint, SteadyTime time)
{
    rowAt(endpoint).comeBackAt = std::max(rowAt(endpoint).comeBackAt, time);
    m_resting.push_back(endpoint);
}

double EndpointTable::capacity(EndpointIndex endpoint) const
{
    if (const std::optional<double> rate = m_quotas.rate(endpoint))
        return std::max(*rate, EndpointQuotas::leastRate);
    const double seconds = std::max(std::chrono::duration<double>(slotTime(endpoint)).count(), shortestSlotTime);
    return row(endpoint).slots / seconds;
}

std::optional<EndpointIndex> EndpointTable::find(const EndpointName& name) const
{
    const std::optional<EndpointIndex> endpoint = findRemembered(name);
    return endpoint && !m_free[at(*endpoint)] ? endpoint : std::nullopt;
}

std::optional<EndpointIndex> EndpointTable::findRemembered(const EndpointName& name) const
{
    return lookUp(m_byName, name.value);
}

std::optional<TargetIndex> EndpointTable::find(const VersionName& version) const
{
    return lookUp(m_versions, version.value);
}

std::optional<TargetIndex> EndpointTable::find(const ServiceName& service) const
{
    return lookUp(m_services, service.value);
}

std::optional<ZoneIndex> EndpointTable::find(const ZoneName& zone) const
{
    return lookUp(m_zones, zone.value);
}

bool EndpointTable::serves(EndpointIndex endpoint, TargetIndex target) const
{
    const std::vector<TargetIndex>& targets = m_targetsOf[at(endpoint)];
    return std::binary_search(targets.begin(), targets.end(), target);
}

const EndpointName& EndpointTable::name(EndpointIndex endpoint) const
{
    return m_names[at(endpoint)];
}

}
