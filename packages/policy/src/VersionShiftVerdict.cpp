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

    // Of an instance that doesn't tell kinds of request, as one that runs an earlier release: one kind, at an endpoint of its own.
    KindCounts countsOfOneKind(const ShiftEvidence& evidence, const InstanceName& instance)
    {
        KindCounts counts;
        counts.target[endpointPlace({ instance.value })] = evidence.failures;
        counts.others = evidence.otherFailures;
        return counts;
    }

    std::string countsText(const RatedCounts& counts)
    {
        return std::to_string(counts.bad) + " of " + std::to_string(counts.total());
    }

    // Adds what was counted between the two.
    void add(RatedCounts& sum, const RatedCounts& earlier, const RatedCounts& later)
    {
        const RatedCounts added = countedSince(earlier, later);
        sum = { sum.good + added.good, sum.bad + added.bad };
    }

    void add(LogSum& sum, const LogSum& earlier, const LogSum& later)
    {
        if (later.count > earlier.count)
            sum = { sum.count + later.count - earlier.count, sum.thousandths + later.thousandths - earlier.thousandths };
    }

    // Returns a place among those that are told, of `most` at most: that of another one where they are as many already.
    template <typename Told>
    std::size_t toldPlace(const Told& told, std::size_t place, std::size_t most)
    {
        if (told.contains(place) || told.size() < most)
            return place;
        return std::next(told.begin(), static_cast<std::ptrdiff_t>(place % most))->first;
    }

    KindCounts& kindOf(ShiftEvidence& evidence, const std::string& measure)
    {
        return evidence.kinds[toldPlace(evidence.kinds, kindPlace(measure), maximumKinds)];
    }

    // Returns the place at which answers of an endpoint to a kind of request are told.
    std::size_t toldEndpoint(const ShiftEvidence& evidence, const KindCounts& kind, const EndpointName& endpoint)
    {
        std::size_t pairs = 0;
        for (const auto& [place, counts] : evidence.kinds)
            pairs += counts.target.size();
        const std::size_t most = pairs < maximumPairs ? maximumEndpoints : std::max<std::size_t>(kind.target.size(), 1);
        return toldPlace(kind.target, endpointPlace(endpoint), most);
    }

    // Within which instances that run tell their first counts.
    constexpr std::chrono::milliseconds firstTold { 2'000 };

    // The counts of the versions in use, but for what is usual of them.
    ShiftEvidence othersOnly(ShiftEvidence evidence)
    {
        evidence.failures = {};
        evidence.slowness = {};
        evidence.ends.target.clear();
        for (auto& [place, kind] : evidence.kinds)
            kind = { .target = {}, .others = kind.others, .slowTarget = {}, .slowOthers = kind.slowOthers };
        return evidence;
    }

}

void VersionShifts::takeEvidence(const ServiceName& service, const InstanceName& instance, const ShiftEvidence& told, SteadyTime now)
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.order.revision != told.order)
        return;
    ShiftEvidence evidence = told;
    if (evidence.kinds.empty() && evidence.failures.total() + evidence.otherFailures.total() > 0)
        evidence.kinds[0] = countsOfOneKind(evidence, instance);
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
    judgeNowAndThen(shift, now);
}

void VersionShifts::addToFleet(Shift& shift, const ShiftEvidence& before, const ShiftEvidence& counted, SteadyTime now) const
{
    add(shift.fleetFailed, before.failures, counted.failures);
    add(shift.fleetSlow, before.slowness, counted.slowness);
    const RatedCounts others = countedSince(before.otherFailures, counted.otherFailures);
    shift.fleetOthers.add(others, m_settings.backgroundMemory, now);
    if (isMoved(shift, now))
        shift.othersSinceMove += others.total();
    for (const auto& [place, kind] : counted.kinds) {
        const KindCounts& known = countsOf(before.kinds, place);
        KindCounts& sum = shift.fleetCounts[place];
        add(sum.others, known.others, kind.others);
        add(sum.slowOthers, known.slowOthers, kind.slowOthers);
        add(sum.times, known.times, kind.times);
        add(sum.pauses, known.pauses, kind.pauses);
        for (const auto& [endpoint, counts] : kind.target)
            add(sum.target[endpoint], known.target.at(endpoint), counts);
        for (const auto& [endpoint, counts] : kind.slowTarget)
            add(sum.slowTarget[endpoint], known.slowTarget.at(endpoint), counts);
    }
    shift.comparison.add(before.kinds, counted.kinds, now);
    shift.comparison.addEnds(before.ends, counted.ends, now);
}

std::optional<ShiftFindings> VersionShifts::findings(const ServiceName& service) const
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end())
        return std::nullopt;
    const Shift& shift = found->second;
    ShiftFindings findings { .failures = shift.fleetFailed, .slowness = shift.fleetSlow, .evidence = shift.comparison.evidence(), .evidenceOfAll = shift.comparison.evidenceOfAll(), .byEndpoint = {}, .others = {}, .slowOthers = {}, .byKind = {}, .slowByEndpoint = {} };
    const auto append = [](std::string& list, const std::string& text) { list += (list.empty() ? "" : "; ") + text; };
    CountsByPlace byEndpoint;
    CountsByPlace slowByEndpoint;
    for (const auto& [kindPlace, kind] : shift.fleetCounts) {
        RatedCounts failed;
        RatedCounts slow;
        for (const auto& [place, counts] : kind.target) {
            add(byEndpoint[place], {}, counts);
            add(failed, {}, counts);
        }
        for (const auto& [place, counts] : kind.slowTarget) {
            add(slowByEndpoint[place], {}, counts);
            add(slow, {}, counts);
        }
        if (failed.total() + slow.total() > 0)
            append(findings.byKind, countsText(failed) + ", " + countsText(slow));
    }
    for (const auto& [place, counts] : byEndpoint)
        append(findings.byEndpoint, std::to_string(place) + ": " + countsText(counts));
    for (const auto& [place, counts] : slowByEndpoint)
        append(findings.slowByEndpoint, std::to_string(place) + ": " + countsText(counts));
    for (const auto& [place, kind] : shift.fleetCounts) {
        if (kind.others.total() > 0)
            append(findings.others, countsText(kind.others));
        if (kind.slowOthers.total() > 0)
            append(findings.slowOthers, countsText(kind.slowOthers));
    }
    return findings;
}

void VersionShifts::recordOutcome(const ServiceName& service, const std::string& version, const VersionOutcome& outcome, SteadyTime now)
{
    ServiceMemory& memory = memoryOf(service);
    if (isKnownCrash(memory, outcome, now))
        return;
    const auto found = m_shifts.find(service);
    Shift* shift = found != m_shifts.end() && found->second.state == ShiftState::running ? &found->second : nullptr;
    const bool isTarget = shift && shift->order.target == version;
    const KindCounts& told = shift ? countsOf(shift->fleetCounts, toldPlace(shift->own.kinds, kindPlace(outcome.measure), maximumKinds)) : countsOf({}, 0);
    const double time = relativeTime(outcome);
    const auto pause = static_cast<double>(outcome.pause.count());
    const bool startsLate = outcome.time >= m_settings.slowMinimum && memory.times.exceeds(outcome.measure, time, told.times);
    if (outcome.wasGivenUp && (!startsLate || outcome.wasCountedSlow))
        return;
    const bool isSlow = startsLate || (outcome.pause >= m_settings.slowPause && memory.pauses.exceeds(outcome.measure, pause, told.pauses));
    const bool isCompared = !outcome.failed && !outcome.wasCountedSlow && (outcome.wasSeenWhole || isSlow) && memory.times.isKnown(outcome.measure, told.times);
    const bool hasTime = !outcome.failed && !outcome.wasGivenUp && outcome.time.count() > 0;
    const bool hasPause = !outcome.failed && outcome.pause.count() > 0;
    if (!isTarget) {
        if (hasTime)
            memory.times.learn(outcome.measure, time);
        if (hasPause)
            memory.pauses.learn(outcome.measure, pause);
        if (outcome.held.count() > 0) {
            const double held = std::chrono::duration<double>(outcome.held).count();
            memory.heldSeconds += (memory.heldSeconds > 0 ? heldWeight : 1) * (held - memory.heldSeconds);
        }
    }
    if (!shift)
        return;
    const auto rate = [](RatedCounts& counts, bool isBad) { ++(isBad ? counts.bad : counts.good); };
    ShiftEvidence& own = shift->own;
    const ShiftEvidence before = own;
    countLosses(*shift, now);
    KindCounts& kind = kindOf(own, outcome.measure);
    if (!isTarget && hasTime)
        UsualValues::add(kind.times, time);
    if (!isTarget && hasPause)
        UsualValues::add(kind.pauses, pause);
    if (outcome.endpointEnded) {
        CountsByPlace& ends = isTarget ? own.ends.target : own.ends.others;
        ++ends[toldPlace(ends, endpointPlace(outcome.endpoint), maximumEndpoints)].bad;
        if (isTarget)
            shift->losses.push_back(now);
    } else {
        const std::size_t endpoint = isTarget ? toldEndpoint(own, kind, outcome.endpoint) : 0;
        if (!outcome.wasGivenUp)
            rate(isTarget ? kind.target[endpoint] : kind.others, outcome.failed);
        if (isCompared)
            rate(isTarget ? kind.slowTarget[endpoint] : kind.slowOthers, isSlow);
        if (isTarget && isCompared)
            rate(own.slowness, isSlow);
    }
    if (!outcome.wasGivenUp && (!isTarget || !outcome.endpointEnded))
        rate(isTarget ? own.failures : own.otherFailures, outcome.failed);
    addToFleet(*shift, before, own, now);
    judgeNowAndThen(*shift, now);
}

// Answers are compared by when they are asked for: were slow ones counted as they come, those of the last moment before a verdict would
// be the fast ones only.
bool VersionShifts::recordWaiting(const ServiceName& service, const std::string& version, VersionOutcome outcome, SteadyTime now)
{
    const auto found = m_shifts.find(service);
    if (found == m_shifts.end() || found->second.state != ShiftState::running || outcome.time < m_settings.slowMinimum)
        return false;
    const KindCounts& told = countsOf(found->second.fleetCounts, toldPlace(found->second.own.kinds, kindPlace(outcome.measure), maximumKinds));
    if (!memoryOf(service).times.exceeds(outcome.measure, relativeTime(outcome), told.times))
        return false;
    outcome.wasGivenUp = true;
    recordOutcome(service, version, outcome, now);
    return true;
}

// What was usual before the order is told with the first counts.
void VersionShifts::tellUsualValues(Shift& shift, const ServiceMemory& memory) const
{
    const ShiftEvidence before = shift.own;
    memory.times.forEach([&](const std::string& measure, const LogSum& sum) { add(kindOf(shift.own, measure).times, {}, sum); });
    memory.pauses.forEach([&](const std::string& measure, const LogSum& sum) { add(kindOf(shift.own, measure).pauses, {}, sum); });
    addToFleet(shift, before, shift.own, shift.takenAt);
}

void VersionShifts::countLosses(Shift& shift, SteadyTime now) const
{
    shift.own.failures.bad += std::erase_if(shift.losses, [&](SteadyTime at) { return now - at >= m_settings.crashPatience; });
}

bool VersionShifts::isKnownCrash(ServiceMemory& memory, const VersionOutcome& outcome, SteadyTime now) const
{
    if (!outcome.connectionLost)
        return false;
    const auto [at, isNew] = memory.crashes.try_emplace(outcome.endpoint, now);
    if (isNew)
        return false;
    const bool isKnown = now - at->second < m_settings.crashMemory;
    if (!isKnown)
        at->second = now;
    return isKnown;
}

// Many answers come at once where there are many instances.
void VersionShifts::judgeNowAndThen(Shift& shift, SteadyTime now)
{
    if (now - shift.judgedAt >= m_settings.judgeInterval)
        judge(shift, now);
}

void VersionShifts::judge(Shift& shift, SteadyTime now)
{
    if (shift.state != ShiftState::running)
        return;
    // Once everything is moved, no answers of the others come.
    if (isMoved(shift, now))
        shift.comparison.settleAll();
    shift.judgedAt = now;
    if (!shift.comparison.takeWorsened())
        return;
    if (shift.comparison.evidence() >= m_settings.stopAt || shift.comparison.evidenceOfAll() >= m_settings.stopAtOnceAt)
        rollBack(shift, "more than the other versions give for the same kinds of request");
}

void VersionShifts::rollBack(Shift& shift, const std::string& why)
{
    shift.state = ShiftState::rolledBack;
    shift.reason = "of " + shift.order.target + ", " + countsText(shift.fleetFailed) + " answers failed and " + countsText(shift.fleetSlow) + " were slow; " + why;
}

// The record isn't in force until it stands: what is counted meanwhile may still turn it.
void VersionShifts::conclude(Shift& shift, ShiftRecord& record) const
{
    constexpr std::uint64_t enoughOthers = 10; // That the new version should have answered by then.
    shift.comparison.settleAll();
    if (shift.comparison.evidence() >= m_settings.doubtAt) {
        rollBack(shift, "the whole traffic runs on it, and the other versions gave less of them");
        return;
    }
    if (shift.fleetFailed.total() + shift.losses.size() == 0 && shift.othersSinceMove >= enoughOthers) {
        rollBack(shift, "it has answered nothing, and the other versions answer what should run on it");
        return;
    }
    record.state = ShiftState::completed;
    record.reason = "the whole traffic runs on " + shift.order.target + "; " + countsText(shift.fleetFailed) + " answers failed and " + countsText(shift.fleetSlow) + " were slow";
}

}
