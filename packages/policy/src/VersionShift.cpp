#include "whinyard/policy/VersionShift.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace whinyard::policy {

namespace {

    // Stands for what no expectation holds: the way to an endpoint and back, and one step of an engine.
    constexpr std::chrono::microseconds leastExpected { 15'000 };

    // Returns the time as a multiple of what was expected.
    double relativeTime(const VersionOutcome& outcome)
    {
        return static_cast<double>(outcome.time.count()) / static_cast<double>((outcome.expected + leastExpected).count());
    }

    // Never takes a share of bad answers for certain.
    constexpr double largestShare = 0.95;

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
    // Of the move. An order may be heard of half a second late, and a completion takes as long to be written.
    constexpr double completePart = 0.25;
    constexpr double shortestTrial = 1e-3; // Of the period; can be divided by.
    const double move = std::clamp(movePart * exposureShare, 0.0, 1.0);
    const double moveAt = 1 - move;
    return { .trialShare = trialPart * exposureShare / std::max(moveAt, shortestTrial), .moveAt = moveAt, .completeAt = moveAt + completePart * move };
}

VersionShifts::VersionShifts(const ShiftSettings& settings)
    : m_settings(settings)
    , m_stages(stagesFor(settings.exposureShare))
{
}

void VersionShifts::takeOrder(const ShiftOrder& order, SteadyTime now)
{
    const auto known = m_shifts.find(order.service);
    if (known != m_shifts.end() && known->second.order.revision >= order.revision)
        return;
    Shift shift;
    shift.order = order;
    shift.since = now;
    shift.own.order = order.revision;
    for (const auto& [session, seen] : memoryOf(order.service).sessions) {
        if (seen.version != order.target && now - seen.lastSeen <= m_settings.sessionGap && isDrawnToTrial(session))
            shift.pins.push_back(session);
    }
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
    if (record.state != ShiftState::running && shift.state != record.state) {
        shift.state = record.state;
        shift.reason = record.reason;
    }
    const auto elapsed = shift.elapsedBefore + std::chrono::duration_cast<std::chrono::milliseconds>(now - shift.since);
    if (record.elapsed > elapsed) {
        shift.elapsedBefore = record.elapsed;
        shift.since = now;
    }
}

void VersionShifts::takeEvidence(const ServiceName& service, const InstanceName& instance, const ShiftEvidence& evidence, SteadyTime now)
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.order.revision != evidence.order)
        return;
    ShiftEvidence& known = found->second.others[instance];
    // An instance that has restarted counts from nothing.
    found->second.fleetOthers.add(countedSince(known.otherFailures, evidence.otherFailures), m_settings.backgroundMemory, now);
    known = evidence;
    judge(found->second, memoryOf(service));
}

double VersionShifts::progress(const Shift& shift, SteadyTime now) const
{
    if (shift.order.period.count() <= 0)
        return 1;
    const auto elapsed = shift.elapsedBefore + std::chrono::duration_cast<std::chrono::milliseconds>(now - shift.since);
    return static_cast<double>(elapsed.count()) / static_cast<double>(shift.order.period.count());
}

bool VersionShifts::isDrawnToTrial(std::uint64_t draw) const
{
    return unit(draw) < m_stages.trialShare;
}

double VersionShifts::shareNow(const Shift& shift, SteadyTime now) const
{
    if (progress(shift, now) >= m_stages.moveAt)
        return 1;
    const bool hasBegun = shift.elapsedBefore + (now - shift.since) >= m_settings.trialDelay;
    return hasBegun ? m_stages.trialShare : 0;
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
    std::vector<std::string> others;
    std::copy_if(available.begin(), available.end(), std::back_inserter(others), [&](const std::string& version) { return version != target; });
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
    const double share = shareNow(shift, now);
    bool takesTarget = unit(draw) < share;
    preference.reason = "drawn";
    const ServiceMemory& memory = memoryOf(service);
    const auto remembered = memory.sessions.find(draw);
    if (hasSession && remembered != memory.sessions.end() && now - remembered->second.lastSeen <= m_settings.sessionGap) {
        // Nobody goes back from the target, and nobody goes to it during the trial.
        const bool wasTarget = remembered->second.version == target;
        takesTarget = wasTarget || progress(shift, now) >= m_stages.moveAt;
        preference.reason = "session";
    }
    if (takesTarget) {
        preference.versions = { target };
        preference.versions.insert(preference.versions.end(), others.begin(), others.end());
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
    if (isDrawnToTrial(session) && progress(found->second, now) < m_stages.moveAt)
        found->second.pins.push_back(session);
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

void VersionShifts::recordOutcome(const ServiceName& service, const std::string& version, const VersionOutcome& outcome, SteadyTime now)
{
    ServiceMemory& memory = memoryOf(service);
    if (isKnownCrash(memory, outcome, now))
        return;
    Background& background = memory.background;
    const auto found = m_shifts.find(service);
    const bool isRunning = found != m_shifts.end() && found->second.state == ShiftState::running;
    const double time = relativeTime(outcome);
    const auto pause = static_cast<double>(outcome.pause.count());
    const bool startsLate = outcome.time >= m_settings.slowMinimum && memory.times.exceeds(outcome.measure, time);
    const bool isSlowAnswer = startsLate || (outcome.pause >= m_settings.slowPause && memory.pauses.exceeds(outcome.measure, pause));
    const double kept = std::exp(-std::chrono::duration<double>(now - background.at) / m_settings.backgroundMemory);
    if (isRunning && found->second.order.target == version) {
        countCrashes(found->second, now);
        if (outcome.endpointEnded) {
            found->second.crashes.push_back(now);
            return;
        }
        ShiftEvidence& own = found->second.own;
        ++(outcome.failed ? own.failures.bad : own.failures.good);
        // Without answers of the other versions at the same time, slowness may be the load's.
        const bool shows = outcome.wasSeenWhole || isSlowAnswer;
        if (!outcome.failed && shows && background.total * kept >= m_settings.concurrentSamples)
            ++(isSlowAnswer ? own.slowness.bad : own.slowness.good);
        judge(found->second, memory);
        return;
    }
    if (!outcome.failed && outcome.time.count() > 0)
        memory.times.learn(outcome.measure, time);
    if (!outcome.failed && outcome.pause.count() > 0)
        memory.pauses.learn(outcome.measure, pause);
    if (isRunning) {
        RatedCounts& others = found->second.own.otherFailures;
        ++(outcome.failed ? others.bad : others.good);
        found->second.fleetOthers.add({ outcome.failed ? 0U : 1U, outcome.failed ? 1U : 0U }, m_settings.backgroundMemory, now);
    }
    background.total = background.total * kept + 1;
    background.failed = background.failed * kept + (outcome.failed ? 1 : 0);
    background.seenWhole = background.seenWhole * kept + (outcome.wasSeenWhole || isSlowAnswer ? 1 : 0);
    background.slow = background.slow * kept + (isSlowAnswer ? 1 : 0);
    background.at = now;
}

void VersionShifts::countCrashes(Shift& shift, SteadyTime now) const
{
    const auto isDue = [&](SteadyTime at) { return now - at >= m_settings.crashPatience; };
    shift.own.failures.bad += static_cast<std::uint32_t>(std::erase_if(shift.crashes, isDue));
}

bool VersionShifts::isKnownCrash(ServiceMemory& memory, const VersionOutcome& outcome, SteadyTime now) const
{
    if (!outcome.connectionLost)
        return false;
    const auto [at, isNew] = memory.crashes.try_emplace(outcome.endpoint, now);
    if (isNew)
        return false;
    const bool isKnown = now - at->second < m_settings.crashMemory;
    at->second = now;
    return isKnown;
}

BadShares VersionShifts::sharesOver(double background, double observed, double excess) const
{
    BadShares shares;
    shares.tolerable = std::min(std::max(background, m_settings.backgroundFactor * observed), largestShare - excess);
    shares.unacceptable = shares.tolerable + excess;
    return shares;
}

void VersionShifts::Fading::add(const RatedCounts& counts, std::chrono::milliseconds memory, SteadyTime now)
{
    const double kept = std::exp(-std::chrono::duration<double>(now - at) / memory);
    good = good * kept + static_cast<double>(counts.good);
    bad = bad * kept + static_cast<double>(counts.bad);
    at = now;
}

void VersionShifts::judge(Shift& shift, const ServiceMemory& memory)
{
    if (shift.state != ShiftState::running)
        return;
    const Background& background = memory.background;
    const BadShares failing = sharesOver(m_settings.failureBackground, background.failed / (background.total + 1), m_settings.failureExcess);
    const BadShares slow = sharesOver(m_settings.slowBackground, background.slow / (background.seenWhole + 1), m_settings.slowExcess);
    RatedCounts failures = shift.own.failures;
    RatedCounts slowness = shift.own.slowness;
    for (const auto& [instance, evidence] : shift.others) {
        failures = { failures.good + evidence.failures.good, failures.bad + evidence.failures.bad };
        slowness = { slowness.good + evidence.slowness.good, slowness.bad + evidence.slowness.bad };
    }
    const bool ownFails = shift.ownFailures.update(shift.own.failures, failing) >= m_settings.failureStopAt;
    // One instance sees too few answers of the other versions to know what a wave of crashes makes fail.
    const BadShares fleetFailing = sharesOver(m_settings.failureBackground, shift.fleetOthers.badShare(), m_settings.failureExcess);
    const bool fleetFails = shift.fleetFailures.update(failures, fleetFailing) >= m_settings.failureStopAt;
    const bool fleetIsSlow = shift.fleetSlowness.update(slowness, slow) >= m_settings.slowStopAt;
    if (ownFails || fleetFails)
        rollBack(shift, ownFails ? shift.own.failures : failures, ownFails ? failing : fleetFailing, "failed");
    else if (fleetIsSlow)
        rollBack(shift, slowness, slow, "were slow");
}

void VersionShifts::rollBack(Shift& shift, const RatedCounts& counts, const BadShares& shares, const char* what)
{
    constexpr double inHundred = 100;
    shift.state = ShiftState::rolledBack;
    shift.reason = std::to_string(counts.bad) + " of " + std::to_string(counts.total()) + " answers of " + shift.order.target + " " + what + "; "
        + std::to_string(static_cast<int>(shares.tolerable * inHundred)) + " in 100 are tolerable now";
}

// Where the move is short, what is left of the period after its quarter isn't enough for an order that was heard late and for
// the completion to be written and read.
double VersionShifts::completionOf(const ShiftOrder& order) const
{
    const double latest = 1 - m_settings.completionLead / std::chrono::duration<double, std::milli>(std::max(order.period, std::chrono::milliseconds(1)));
    return std::clamp(latest, m_stages.moveAt, m_stages.completeAt);
}

std::optional<ShiftRecord> VersionShifts::due(const ServiceName& service, SteadyTime now)
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end())
        return std::nullopt;
    Shift& shift = found->second;
    if (shift.isStored && shift.known.state != ShiftState::running)
        return std::nullopt;
    const double reached = progress(shift, now);
    if (shift.state == ShiftState::running && reached >= completionOf(shift.order)) {
        shift.state = ShiftState::completed;
        shift.reason = "the whole traffic runs on " + shift.order.target;
    }
    ShiftRecord record;
    record.order = shift.order.revision;
    record.state = shift.state;
    record.elapsed = std::chrono::milliseconds(static_cast<std::int64_t>(reached * static_cast<double>(shift.order.period.count())));
    record.reason = shift.reason;
    const double stored = shift.order.period.count() > 0 ? static_cast<double>(shift.known.elapsed.count()) / static_cast<double>(shift.order.period.count()) : 0;
    const bool changed = !shift.isStored || record.state != shift.known.state;
    return changed || reached - stored >= progressStep ? std::optional(record) : std::nullopt;
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
