// The part of VersionShifts that counts answers under an order, at this instance and at all, and judges the new version by them.
#include "whinyard/policy/VersionShift.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    // Stands for what no expectation holds: the way to an endpoint and back, and one step of an engine.
    constexpr std::chrono::microseconds leastExpected { 15'000 };

    // Returns the time as a multiple of what was expected.
    double relativeTime(const VersionOutcome& outcome)
    {
        return static_cast<double>(outcome.time.count()) / static_cast<double>((outcome.expected + leastExpected).count());
    }

    constexpr double heldWeight = 0.05; // Of one answer, in the mean time for which requests take a slot.

    // Never takes a share of bad answers for certain.
    constexpr double largestShare = 0.95;

    // Of an instance that doesn't tell kinds of request, as one that runs an earlier release: one kind, at an endpoint of its own.
    KindCounts countsOfOneKind(const ShiftEvidence& evidence, const InstanceName& instance)
    {
        KindCounts counts;
        counts.target[endpointPlace({ instance.value })] = evidence.failures;
        counts.others = evidence.otherFailures;
        return counts;
    }

    // Within which instances that run tell their first counts.
    constexpr std::chrono::milliseconds firstTold { 2'000 };

    // The counts of the versions in use.
    ShiftEvidence othersOnly(ShiftEvidence evidence)
    {
        evidence.failures = {};
        evidence.slowness = {};
        for (KindCounts& kind : evidence.kinds)
            kind.target.fill({});
        return evidence;
    }

}

void VersionShifts::takeEvidence(const ServiceName& service, const InstanceName& instance, const ShiftEvidence& told, SteadyTime now)
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.order.revision != told.order)
        return;
    ShiftEvidence evidence = told;
    if (evidence.kinds == CountsByKind())
        evidence.kinds.front() = countsOfOneKind(evidence, instance);
    Shift& shift = found->second;
    const auto [entry, isNew] = shift.others.try_emplace(instance);
    ShiftEvidence& known = entry->second;
    if (isNew && now - shift.takenAt > firstTold)
        known = othersOnly(evidence); // This process has started meanwhile: what came before says nothing of now.
    else if (known.life != evidence.life)
        known = {}; // That one has: it counts from nothing, and what it had counted before stands.
    addToFleet(shift, known, evidence, now);
    // A process that started meanwhile knows the order's age only from the last record.
    noteElapsed(shift, evidence.elapsed, now);
    if (evidence.failures.total() + evidence.otherFailures.total() >= known.failures.total() + known.otherFailures.total())
        known = evidence; // An older notice may come later.
    judge(shift, memoryOf(service), now);
}

void VersionShifts::addToFleet(Shift& shift, const ShiftEvidence& before, const ShiftEvidence& counted, SteadyTime now) const
{
    const auto add = [](RatedCounts& sum, const RatedCounts& earlier, const RatedCounts& later) {
        const RatedCounts added = countedSince(earlier, later);
        sum = { sum.good + added.good, sum.bad + added.bad };
    };
    add(shift.fleetFailed, before.failures, counted.failures);
    add(shift.fleetSlow, before.slowness, counted.slowness);
    shift.fleetOthers.add(countedSince(before.otherFailures, counted.otherFailures), m_settings.backgroundMemory, now);
    shift.fleetByKind.add(before.kinds, counted.kinds, now);
    for (std::size_t kind = 0; kind < kindPlaces; ++kind) {
        add(shift.fleetCounts[kind].others, before.kinds[kind].others, counted.kinds[kind].others);
        for (std::size_t place = 0; place < endpointPlaces; ++place)
            add(shift.fleetCounts[kind].target[place], before.kinds[kind].target[place], counted.kinds[kind].target[place]);
    }
}

std::optional<ShiftFindings> VersionShifts::findings(const ServiceName& service) const
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end())
        return std::nullopt;
    const Shift& shift = found->second;
    const auto text = [](const RatedCounts& counts) { return std::to_string(counts.bad) + " of " + std::to_string(counts.total()); };
    ShiftFindings findings { .failures = shift.fleetFailed, .slowness = shift.fleetSlow, .failureSum = shift.fleetByKind.sum(), .slownessSum = shift.fleetSlowness.value(), .byEndpoint = {}, .others = {} };
    for (std::size_t place = 0; place < endpointPlaces; ++place) {
        RatedCounts counts;
        for (const KindCounts& kind : shift.fleetCounts)
            counts = { counts.good + kind.target[place].good, counts.bad + kind.target[place].bad };
        if (counts.total() > 0)
            findings.byEndpoint += (findings.byEndpoint.empty() ? "" : "; ") + std::to_string(place) + ": " + text(counts) + ", " + std::to_string(shift.fleetByKind.parts()[place]);
    }
    for (const KindCounts& kind : shift.fleetCounts) {
        if (kind.others.total() > 0)
            findings.others += (findings.others.empty() ? "" : "; ") + text(kind.others);
    }
    return findings;
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
    const std::size_t kind = kindPlace(outcome.measure);
    if (isRunning && found->second.order.target == version) {
        Shift& shift = found->second;
        ShiftEvidence& own = shift.own;
        countCrashes(shift, now);
        const ShiftEvidence before = own;
        if (outcome.endpointEnded) {
            shift.losses.push_back({ now, kind, endpointPlace(outcome.endpoint) });
            return;
        }
        ++(outcome.failed ? own.failures.bad : own.failures.good);
        RatedCounts& byKind = own.kinds[kind].target[endpointPlace(outcome.endpoint)];
        ++(outcome.failed ? byKind.bad : byKind.good);
        // Without answers of the other versions at the same time, slowness may be the load's.
        const bool shows = outcome.wasSeenWhole || isSlowAnswer;
        const bool isCompared = progress(shift, now) < moveAt(shift) && background.total * kept >= m_settings.concurrentSamples;
        if (!outcome.failed && shows && isCompared)
            ++(isSlowAnswer ? own.slowness.bad : own.slowness.good);
        addToFleet(shift, before, own, now);
        judge(shift, memory, now);
        return;
    }
    if (!outcome.failed && outcome.time.count() > 0)
        memory.times.learn(outcome.measure, time);
    if (!outcome.failed && outcome.pause.count() > 0)
        memory.pauses.learn(outcome.measure, pause);
    if (outcome.held.count() > 0) {
        const double held = std::chrono::duration<double>(outcome.held).count();
        memory.heldSeconds += (memory.heldSeconds > 0 ? heldWeight : 1) * (held - memory.heldSeconds);
    }
    if (isRunning) {
        ShiftEvidence& own = found->second.own;
        const ShiftEvidence before = own;
        ++(outcome.failed ? own.otherFailures.bad : own.otherFailures.good);
        ++(outcome.failed ? own.kinds[kind].others.bad : own.kinds[kind].others.good);
        addToFleet(found->second, before, own, now);
    }
    background.total = background.total * kept + 1;
    background.seenWhole = background.seenWhole * kept + (outcome.wasSeenWhole || isSlowAnswer ? 1 : 0);
    background.slow = background.slow * kept + (isSlowAnswer ? 1 : 0);
    background.at = now;
}

void VersionShifts::countCrashes(Shift& shift, SteadyTime now) const
{
    std::erase_if(shift.losses, [&](const Loss& loss) {
        if (now - loss.at < m_settings.crashPatience)
            return false;
        ++shift.own.failures.bad;
        ++shift.own.kinds[loss.kind].target[loss.endpoint].bad;
        ++shift.fleetFailed.bad;
        shift.fleetByKind.addSettled(loss.kind, loss.endpoint, { 0, 1 });
        return true;
    });
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

void VersionShifts::judge(Shift& shift, const ServiceMemory& memory, SteadyTime now)
{
    if (shift.state != ShiftState::running)
        return;
    const Background& background = memory.background;
    // Once everything is moved, no answers of the others come.
    const bool isMoved = progress(shift, now) >= moveAt(shift);
    if (isMoved)
        shift.fleetByKind.settleAll();
    const BadShares slow = sharesOver(m_settings.slowBackground, background.slow / (background.seenWhole + 1), m_settings.slowExcess);
    const bool fleetIsSlow = shift.fleetSlowness.update(shift.fleetSlow, slow) >= m_settings.slowStopAt;
    if (shift.fleetByKind.sum() >= (isMoved ? m_settings.failureStopAt : m_settings.trialStopAt) || shift.fleetByKind.sumOfAll() >= m_settings.failureStopAtOnceAt)
        rollBack(shift, shift.fleetFailed, "failed", "more than those of the other versions to the same kinds of request");
    else if (fleetIsSlow)
        rollBack(shift, shift.fleetSlow, "were slow", std::to_string(std::lround(100 * slow.tolerable)) + " in 100 are tolerable now");
}

void VersionShifts::rollBack(Shift& shift, const RatedCounts& counts, const char* what, const std::string& why)
{
    shift.state = ShiftState::rolledBack;
    shift.reason = std::to_string(counts.bad) + " of " + std::to_string(counts.total()) + " answers of " + shift.order.target + " " + what + "; " + why;
}

// The record isn't in force until it stands: what is counted meanwhile may still turn it.
void VersionShifts::conclude(Shift& shift, ShiftRecord& record) const
{
    shift.fleetByKind.settleAll();
    if (shift.fleetByKind.sum() >= m_settings.doubtAt) {
        rollBack(shift, shift.fleetFailed, "failed", "the whole traffic runs on it, and it fails more than the other versions did");
        return;
    }
    record.state = ShiftState::completed;
    record.reason = "the whole traffic runs on " + shift.order.target + "; " + std::to_string(shift.fleetFailed.bad) + " of " + std::to_string(shift.fleetFailed.total()) + " answers failed";
}

}
