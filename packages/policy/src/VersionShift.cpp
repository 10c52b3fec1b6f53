#include "whinyard/policy/VersionShift.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace whinyard::policy {

namespace {

    constexpr double shortestTrial = 1e-3; // Of the period; can be divided by.

    // Long enough for requests to run beside each other, and often enough that a version that turns bad is found.
    constexpr std::uint64_t trialBursts = 4; // Of a period.
    constexpr std::uint64_t moveBursts = 8;

    bool contains(const std::vector<std::string>& list, const std::string& wanted)
    {
        return std::find(list.begin(), list.end(), wanted) != list.end();
    }

    // Maps a draw to [0, 1).
    double unit(std::uint64_t draw)
    {
        return static_cast<double>(draw >> 11) * 0x1.0p-53;
    }

}

std::string_view toText(ShiftState state)
{
    switch (state) {
    case ShiftState::running:
        return "running";
    case ShiftState::completed:
        return "completed";
    case ShiftState::rolledBack:
        return "rolledBack";
    }
    return "";
}

ShiftStages stagesFor(double exposureShare)
{
    // The move takes the most of the share: it must be long enough for streams that run on the other versions, and for
    // a store that is slow when the completion is written. The trial, over all the time before, takes the rest.
    constexpr double movePart = 0.45;
    constexpr double trialPart = 0.35;
    // Of the move. What is left is for a store that doesn't take the completion at once.
    constexpr double completePart = 0.75;
    const double move = std::clamp(movePart * exposureShare, 0.0, 1.0);
    const double moveAt = 1 - move;
    return { .trialShare = trialPart * exposureShare / std::max(moveAt, shortestTrial), .moveAt = moveAt, .completeAt = moveAt + completePart * move };
}

ShiftStages stagesFor(double exposureShare, double exposureSlack, double expectedRequests)
{
    constexpr double usedPart = 0.8; // As of the share.
    constexpr double earliestMove = 0.55; // Sessions stay where they are for the first half.
    const ShiftStages stages = stagesFor(exposureShare);
    if (expectedRequests <= 0)
        return stages;
    const double move = 1 - stages.moveAt;
    const double longer = usedPart * exposureSlack / expectedRequests;
    ShiftStages longerStages = stages;
    longerStages.moveAt = std::min(stages.moveAt, std::max(earliestMove, stages.moveAt - longer));
    longerStages.completeAt = 1 - (1 - stages.completeAt) * (1 - longerStages.moveAt) / std::max(move, std::numeric_limits<double>::min());
    return longerStages;
}

VersionShifts::VersionShifts(const ShiftSettings& settings)
    : m_settings(settings)
    , m_stages(stagesFor(settings.exposureShare))
{
}

void VersionShifts::takeOrder(const ShiftOrder& order, SteadyTime now)
{
    const auto known = m_shifts.find(order.service);
    if (known != m_shifts.end() && known->second.order.revision == order.revision)
        return;
    Shift shift;
    shift.order = order;
    shift.since = now;
    shift.takenAt = now;
    shift.comparison = VersionComparison(now, order.period);
    shift.own.order = order.revision;
    shift.own.life = m_settings.life;
    for (const auto& [session, seen] : memoryOf(order.service).sessions) {
        if (seen.version != order.target && now - seen.lastSeen <= m_settings.sessionGap && isDrawnToTrial(session))
            shift.pins.push_back(session);
    }
    tellUsualValues(shift, memoryOf(order.service));
    m_shifts[order.service] = std::move(shift);
    const auto record = m_records.find(order.service);
    if (record != m_records.end())
        takeRecord(order.service, ShiftRecord(record->second), now);
}

void VersionShifts::dropOrder(const ServiceName& service)
{
    m_shifts.erase(service);
}

void VersionShifts::takeRecord(const ServiceName& service, const ShiftRecord& record, SteadyTime now)
{
    m_records[service] = record;
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.order.revision != record.order)
        return;
    Shift& shift = found->second;
    shift.isStored = true;
    shift.known = record;
    if (record.moveAt)
        shift.moveAt = partOf(shift.order, *record.moveAt);
    if (record.state != ShiftState::running && shift.state != record.state) {
        shift.state = record.state;
        shift.reason = record.reason;
    }
    if (record.state == ShiftState::completed)
        m_inUse[service] = shift.order.target;
    noteElapsed(shift, record.elapsed, now);
}

void VersionShifts::forgetRecord(const ServiceName& service)
{
    m_records.erase(service);
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end())
        return;
    found->second.isStored = false;
    found->second.known = {};
}

std::chrono::milliseconds VersionShifts::elapsedOf(const Shift& shift, SteadyTime now)
{
    return shift.elapsedBefore + std::chrono::duration_cast<std::chrono::milliseconds>(now - shift.since);
}

void VersionShifts::noteElapsed(Shift& shift, std::chrono::milliseconds elapsed, SteadyTime now)
{
    if (elapsed <= elapsedOf(shift, now))
        return;
    shift.elapsedBefore = elapsed;
    shift.since = now;
}

std::chrono::milliseconds VersionShifts::elapsed(const ServiceName& service, SteadyTime now) const
{
    const auto found = m_shifts.find(service);
    return found == m_shifts.end() ? std::chrono::milliseconds(0) : elapsedOf(found->second, now);
}

double VersionShifts::partOf(const ShiftOrder& order, std::chrono::duration<double> elapsed)
{
    return order.period.count() <= 0 ? 1 : elapsed / std::chrono::duration<double>(order.period);
}

double VersionShifts::progress(const Shift& shift, SteadyTime now)
{
    return partOf(shift.order, elapsedOf(shift, now));
}

bool VersionShifts::isDrawnToTrial(std::uint64_t draw) const
{
    return unit(draw) < m_stages.trialShare;
}

double VersionShifts::shareNow(const Shift& shift, bool hasSession, SteadyTime now) const
{
    if (isMoved(shift, now))
        return 1;
    const std::chrono::nanoseconds trialed = elapsedOf(shift, now) - m_settings.trialDelay;
    if (trialed.count() < 0)
        return 0;
    if (hasSession)
        return m_stages.trialShare;
    return burstAt(shift, now) ? 1 : 0;
}

std::chrono::nanoseconds VersionShifts::burstLength(const Shift& shift) const
{
    return std::min<std::chrono::nanoseconds>(m_settings.longestBurst, std::chrono::duration_cast<std::chrono::nanoseconds>(m_stages.trialShare * shift.order.period / static_cast<double>(trialBursts)));
}

// Returns the number of the burst of the trial that runs now, if one does.
std::optional<std::uint64_t> VersionShifts::burstAt(const Shift& shift, SteadyTime now) const
{
    const std::chrono::nanoseconds trialed = elapsedOf(shift, now) - m_settings.trialDelay;
    const std::chrono::nanoseconds burst = burstLength(shift);
    const auto interval = std::chrono::duration_cast<std::chrono::nanoseconds>(burst / std::max(m_stages.trialShare, shortestTrial));
    if (trialed.count() < 0 || interval.count() <= 0 || (trialed + interval / 2) % interval >= burst)
        return std::nullopt;
    return static_cast<std::uint64_t>((trialed + interval / 2) / interval);
}

// Returns the same once everything is moved: some bursts follow each other then, so that the verdict doesn't hang on the trial's.
std::optional<std::uint64_t> VersionShifts::burstOfMove(const Shift& shift, SteadyTime now) const
{
    const auto moved = elapsedOf(shift, now) - moveAt(shift) * std::chrono::duration<double>(shift.order.period);
    const auto burst = static_cast<std::uint64_t>(moved / std::max<std::chrono::nanoseconds>(burstLength(shift), std::chrono::milliseconds(1)));
    return burst < moveBursts ? std::optional(trialBursts + burst) : std::nullopt;
}

// Requests that last longer than the burst don't all run at once.
std::optional<LoadConcentration> VersionShifts::concentrationIn(const Shift& shift, std::uint64_t burst, SteadyTime now) const
{
    constexpr std::chrono::milliseconds rateKnownAfter { 2'000 };
    const double perSecond = shift.fleetOthers.perSecond(m_settings.backgroundMemory, rateKnownAfter, now);
    const auto memory = m_memories.find(shift.order.service);
    if (perSecond <= 0 || memory == m_memories.end() || memory->second.heldSeconds <= 0)
        return std::nullopt;
    return LoadConcentration { .draw = stableHash(shift.order.target, shift.order.revision.number), .turn = burst, .requests = perSecond * std::min(memory->second.heldSeconds, std::chrono::duration<double>(burstLength(shift)).count()) };
}

// Endpoints of a version that a completed order replaced are listed for a while after their end.
std::vector<std::string> VersionShifts::othersOf(const ShiftOrder& order, const std::vector<std::string>& available) const
{
    const auto inUse = m_inUse.find(order.service);
    if (inUse != m_inUse.end() && inUse->second != order.target && contains(available, inUse->second))
        return { inUse->second };
    std::vector<std::string> others;
    std::copy_if(available.begin(), available.end(), std::back_inserter(others), [&](const std::string& version) { return version != order.target; });
    return others;
}

VersionPreference VersionShifts::prefer(const ServiceName& service, bool hasSession, std::uint64_t draw, const std::vector<std::string>& available, SteadyTime now)
{
    VersionPreference preference;
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end()) {
        preference.versions = available;
        preference.reason = "no order";
        return preference;
    }
    const Shift& shift = found->second;
    const std::string& target = shift.order.target;
    const std::vector<std::string> others = othersOf(shift.order, available);
    const bool hasTarget = contains(available, target);
    if (shift.state == ShiftState::rolledBack || !hasTarget) {
        preference.versions = others;
        preference.reason = hasTarget ? "rolled back" : "no endpoint of the new version";
        return preference;
    }
    if (shift.state == ShiftState::completed || others.empty()) {
        preference.versions = { target };
        preference.versions.insert(preference.versions.end(), others.begin(), others.end());
        preference.reason = "completed";
        return preference;
    }
    const double share = shareNow(shift, hasSession, now);
    const bool takesAll = isMoved(shift, now);
    bool takesTarget = unit(draw) < share;
    preference.reason = "drawn";
    const ServiceMemory& memory = memoryOf(service);
    const auto remembered = memory.sessions.find(draw);
    if (hasSession && remembered != memory.sessions.end() && now - remembered->second.lastSeen <= m_settings.sessionGap) {
        // Nobody goes back from the target, and nobody goes to it during the trial.
        const bool wasTarget = remembered->second.version == target;
        takesTarget = wasTarget || takesAll;
        preference.reason = "session";
    }
    if (takesTarget) {
        preference.versions = { target };
        preference.versions.insert(preference.versions.end(), others.begin(), others.end());
        if (const auto burst = takesAll ? burstOfMove(shift, now) : burstAt(shift, now); burst && !hasSession)
            preference.concentration = concentrationIn(shift, *burst, now);
        return preference;
    }
    preference.versions = others;
    return preference;
}

void VersionShifts::noteSession(const ServiceName& service, std::uint64_t session, const std::string& version, SteadyTime now)
{
    ServiceMemory& memory = memoryOf(service);
    memory.sessions[session] = { version, now };
    sweepSessions(memory, now);
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.state != ShiftState::running || found->second.order.target == version)
        return;
    if (isDrawnToTrial(session) && progress(found->second, now) < moveAt(found->second))
        found->second.pins.push_back(session);
}

void VersionShifts::noteSessionEnd(const ServiceName& service, std::uint64_t session, const std::string& version, SteadyTime now)
{
    const ServiceMemory& memory = memoryOf(service);
    const auto known = memory.sessions.find(session);
    const bool hasMoved = known != memory.sessions.end() && !known->second.version.empty() && known->second.version != version;
    if (!hasMoved)
        noteSession(service, session, version, now);
}

std::vector<std::uint64_t> VersionShifts::takePins(const ServiceName& service)
{
    const auto found = m_shifts.find(service);
    return found == m_shifts.end() ? std::vector<std::uint64_t> {} : std::exchange(found->second.pins, {});
}

void VersionShifts::takePinned(const ServiceName& service, const std::vector<std::uint64_t>& sessions, SteadyTime now)
{
    ServiceMemory& memory = memoryOf(service);
    for (const std::uint64_t session : sessions)
        memory.sessions[session] = { std::string(), now };
    sweepSessions(memory, now);
}

void VersionShifts::sweepSessions(ServiceMemory& memory, SteadyTime now) const
{
    if (now < memory.nextSweep)
        return;
    memory.nextSweep = now + m_settings.sessionGap;
    std::erase_if(memory.crashes, [&](const auto& entry) { return now - entry.second > m_settings.crashMemory; });
    std::erase_if(memory.sessions, [&](const auto& entry) { return now - entry.second.lastSeen > 2 * m_settings.sessionGap; });
}

// As late as the deadline allows, since a version that is bad only under the whole load shows it only now.
double VersionShifts::completionAt(const Shift& shift) const
{
    const double latest = 1 - partOf(shift.order, m_settings.completionLead);
    const double move = moveAt(shift);
    const double ownPart = (m_stages.completeAt - m_stages.moveAt) / std::max(1 - m_stages.moveAt, std::numeric_limits<double>::min());
    return std::clamp(latest, move, move + ownPart * (1 - move));
}

// The rate of requests must be known, and all must hear of the plan before it begins.
std::optional<std::chrono::milliseconds> VersionShifts::plannedMove(const Shift& shift, SteadyTime now) const
{
    constexpr std::chrono::milliseconds heardWithin { 1'000 };
    constexpr double plannedFrom = 0.4; // Of the period; the rate may change until the move.
    const double perSecond = shift.fleetOthers.perSecond(m_settings.backgroundMemory, m_settings.backgroundMemory, now);
    const ShiftStages stages = stagesFor(m_settings.exposureShare, m_settings.exposureSlack, perSecond * std::chrono::duration<double>(shift.order.period).count());
    const double earliest = progress(shift, now) + partOf(shift.order, heardWithin);
    if (progress(shift, now) < plannedFrom || stages.moveAt >= m_stages.moveAt || earliest >= m_stages.moveAt)
        return std::nullopt;
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(stages.moveAt, earliest) * shift.order.period);
}

std::optional<ShiftRecord> VersionShifts::due(const ServiceName& service, SteadyTime now)
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end())
        return std::nullopt;
    Shift& shift = found->second;
    if (shift.isStored && shift.known.state != ShiftState::running)
        return std::nullopt;
    judge(shift, now);
    const double reached = progress(shift, now);
    ShiftRecord record;
    record.order = shift.order.revision;
    record.moveAt = shift.known.moveAt;
    if (shift.state == ShiftState::running && reached >= completionAt(shift))
        conclude(shift, record);
    else if (shift.state == ShiftState::running && !record.moveAt)
        record.moveAt = plannedMove(shift, now);
    if (shift.state != ShiftState::running) {
        record.state = shift.state;
        record.reason = shift.reason;
    }
    record.elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(reached * shift.order.period);
    const bool isPlanned = record.moveAt && !shift.known.moveAt;
    const bool changed = !shift.isStored || record.state != shift.known.state || isPlanned;
    return changed || reached - partOf(shift.order, shift.known.elapsed) >= progressStep ? std::optional(record) : std::nullopt;
}

bool VersionShifts::isDeciding(const ServiceName& service, SteadyTime now) const
{
    const auto found = m_shifts.find(service);
    return found != m_shifts.end() && found->second.state == ShiftState::running && isMoved(found->second, now);
}

std::optional<ShiftEvidence> VersionShifts::evidence(const ServiceName& service) const
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.state != ShiftState::running)
        return std::nullopt;
    return found->second.own;
}

std::vector<ServiceName> VersionShifts::services() const
{
    std::vector<ServiceName> services;
    for (const auto& [service, shift] : m_shifts)
        services.push_back(service);
    return services;
}

const ShiftOrder* VersionShifts::order(const ServiceName& service) const
{
    const auto found = m_shifts.find(service);
    return found == m_shifts.end() ? nullptr : &found->second.order;
}

}
