// Moves a service's requests from the versions in use to a new one, under an order of the operators: a small share for
// nearly the whole period, everything at its end, and back at once when the new version is bad.
//
// The forwarding path asks for the version of each request and reports each outcome; the daemon feeds orders, what
// the store holds and what other instances counted, and writes what due() returns. Pure: no I/O, no clock of its own.
// Nothing here must survive the process: the stage reached and the verdict stand in the store.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Revision.h"
#include "whinyard/policy/LoadConcentration.h"
#include "whinyard/policy/SequentialTest.h"
#include "whinyard/policy/UsualValues.h"
#include "whinyard/policy/VersionComparison.h"
#include "whinyard/policy/VersionEvidence.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

// The operators' order.
struct ShiftOrder {
    ServiceName service;
    std::string target; // Of the versions of the service's endpoints.
    std::chrono::milliseconds period { 0 }; // Within which everything is to be moved.
    Revision revision {}; // Of the order in the store, which names it.

    bool operator==(const ShiftOrder&) const = default;
};

enum class ShiftState : std::uint8_t {
    running,
    completed, // The other versions' endpoints end at once.
    rolledBack, // The target gets nothing any more.
};

// Returns the enumerator's name.
std::string_view toText(ShiftState state);

// What all instances share of one order, as one record in the store.
struct ShiftRecord {
    Revision order {}; // ShiftOrder::revision.
    ShiftState state = ShiftState::running;
    std::chrono::milliseconds elapsed { 0 }; // Of the period, when the record was written.
    std::string reason; // Of the state, for a person.
    std::optional<std::chrono::milliseconds> moveAt {}; // When everything is moved, once the rate of requests is known.

    bool operator==(const ShiftRecord&) const = default;
};

// How a request ended at a version, as far as the version is concerned.
struct VersionOutcome {
    EndpointName endpoint;
    bool failed = false;
    bool connectionLost = false; // How it failed: every request of an endpoint that crashes does so at once.
    // The caller left before the answer or its first event, after `time`: it counts if that alone is slow, and says nothing else.
    bool wasGivenUp = false;
    bool wasCountedSlow = false; // By recordWaiting(): it isn't counted as slow once more.
    std::string measure; // Groups requests whose times are comparable, such as route and model.
    std::chrono::microseconds time { 0 }; // To the answer or the first event; 0 if there was none.
    std::chrono::microseconds expected { 0 }; // The same, as the load and size of the request let expect.
    bool wasSeenWhole = true; // Slowness had the time to show; a sign of it counts in any case.
    std::chrono::microseconds pause { 0 }; // Mean between the events of a stream; 0 for fewer than minimumPauses.
    bool endpointEnded = false; // It was lost with its endpoint's process.
    std::chrono::microseconds held { 0 }; // For which it took one of the endpoint's slots, whatever its end.
};

// When how much of a service's requests goes to the target, in parts of the order's period.
struct ShiftStages {
    double trialShare = 0; // Of new sessions, until everything is moved.
    double moveAt = 0; // From then on the target gets everything, sessions included.
    double completeAt = 0; // The other versions' endpoints end.
};

// Returns the stages by which a target gets no more than `exposureShare` of the requests of the whole period, whether it
// is found bad or not: a version may fail only under the load of everything, which no trial brings. A fifth of the
// share is left for a load that is higher at the end than on average.
ShiftStages stagesFor(double exposureShare);

// Returns them where `exposureSlack` requests more are allowed, of `expectedRequests` in the period. The move gets them: the fewer
// requests a service has, the longer it takes to see how its new version bears all of them.
ShiftStages stagesFor(double exposureShare, double exposureSlack, double expectedRequests);

// What a verdict on an order would rest on now, for the log.
struct ShiftFindings {
    RatedCounts failures; // Of the target, at all instances.
    RatedCounts slowness;
    double evidence = 0; // VersionComparison::evidence()
    double evidenceOfAll = 0; // With the answers that still wait.
    std::string byEndpoint; // "place: failed of all", for each place of endpoints that has answered.
    std::string others; // "failed of all" of the other versions, by kind of request.
    std::string slowOthers; // The same of slow answers.
    std::string byKind; // "failed of all, slow of all that were compared" of the target, by kind of request.
    std::string slowByEndpoint; // "place: slow of all that were compared".
};

// The numbers that a shift is run with.
struct ShiftSettings {
    double exposureShare = 0.15; // Of the requests of an order's period, that a bad version may get; the site's bound.
    double exposureSlack = 0; // Requests that it may get beside them.
    std::uint64_t life = 0; // Tells this process's counts from those of an earlier one of the instance.
    // Nothing is moved before: instances tell each other of the sessions that must stay where they are.
    std::chrono::milliseconds trialDelay { 700 };
    // Requests without a session have their trial in bursts, each of which brings the whole load, at the same share of the requests:
    // a version that fails under load alone shows it. Longer ones would expose more requests before a verdict.
    std::chrono::milliseconds longestBurst { 500 };
    // Before the end of the period, that the completion is written where the move has begun by then: an order is heard up
    // to half a second late, and the completion is written, and read by operators, within as long again.
    std::chrono::duration<double, std::milli> completionLead { 1'000 };
    double slowFactor = 2.5; // An answer is bad when it takes this many times what is usual for the other versions.
    std::chrono::milliseconds slowMinimum { 80 }; // A time below this is never slow.
    std::chrono::milliseconds slowPause { 25 }; // A mean pause below this is never slow; those of small models are 6 ms.
    std::chrono::milliseconds crashMemory { 1'000 }; // Within which the lost connections of one endpoint count once.
    std::uint32_t baselineSamples = 5; // Of the other versions, before slowness is judged.
    // The evidence (VersionComparison.h) at which a version is stopped, one false stop in about 100 shifts.
    double stopAt = 5.6;
    double stopAtOnceAt = 6.5; // Without waiting for what the other versions' answers of the same second show.
    std::chrono::milliseconds judgeInterval { 20 }; // Answers make a shift judged at most so often, beside due().
    // The same where the whole load runs on the target and the period ends: it is completed or rolled back now, and callers lose more by
    // a bad version that is completed than operators by a sound one that is rolled back.
    double doubtAt = 1.2;
    std::chrono::milliseconds sessionGap { 5'000 }; // A session is remembered so long after its last request.
    // What was lost with an endpoint of the target is told among its failures this much later.
    std::chrono::milliseconds crashPatience { 3'500 };
    std::chrono::milliseconds backgroundMemory { 6'000 }; // Time constant of the other versions' share of bad answers.
};

// Which versions a request may go to, the first one preferred.
struct VersionPreference {
    std::vector<std::string> versions;
    std::string reason;
    std::optional<LoadConcentration> concentration {}; // Of the first version's endpoints.
};

class VersionShifts {
public:
    static constexpr std::uint32_t minimumPauses = 2;

    explicit VersionShifts(const ShiftSettings& settings = {});

    // Takes the order that is in force; one with the revision that is known changes nothing.
    void takeOrder(const ShiftOrder& order, SteadyTime now);

    // The order was taken back: every version may serve.
    void dropOrder(const ServiceName& service);

    // Takes what the store holds of an order. An older order's record, or one that is behind what is known, is ignored.
    void takeRecord(const ServiceName& service, const ShiftRecord& record, SteadyTime now);

    // Notes that the store no longer holds the record of the service's order: it is due again.
    void forgetRecord(const ServiceName& service);

    // Takes what another instance counted.
    void takeEvidence(const ServiceName& service, const InstanceName& instance, const ShiftEvidence& told, SteadyTime now);

    // Chooses among the versions that `available` names. `draw` is a digest of the session, or of a request without one,
    // so that all instances draw alike.
    VersionPreference prefer(const ServiceName& service, bool hasSession, std::uint64_t draw, const std::vector<std::string>& available, SteadyTime now);

    // Notes on which version a request of the session with this digest was sent.
    void noteSession(const ServiceName& service, std::uint64_t session, const std::string& version, SteadyTime now);

    // Notes that an answer to the session on that version has ended: its gap begins. A session that has moved meanwhile stays where it is.
    void noteSessionEnd(const ServiceName& service, std::uint64_t session, const std::string& version, SteadyTime now);

    // Returns the sessions on the other versions, noted since the last call, that would be drawn to the target during the
    // trial by an instance that doesn't know them.
    std::vector<std::uint64_t> takePins(const ServiceName& service);

    // Takes such sessions of another instance.
    void takePinned(const ServiceName& service, const std::vector<std::uint64_t>& sessions, SteadyTime now);

    void recordOutcome(const ServiceName& service, const std::string& version, const VersionOutcome& outcome, SteadyTime now);

    // Counts an attempt that still waits for its answer as slow, where its time so far says that it will be, under an order. Returns
    // whether it did; its outcome then says so. Call it for each attempt about every 50 ms.
    bool recordWaiting(const ServiceName& service, const std::string& version, VersionOutcome outcome, SteadyTime now);

    // Returns the record that should stand in the store now, if it differs from the one that is known: the state has
    // changed, or the elapsed time has grown by `progressStep` since.
    std::optional<ShiftRecord> due(const ServiceName& service, SteadyTime now);

    // Returns this instance's counts under the running order; nothing when there is none.
    std::optional<ShiftEvidence> evidence(const ServiceName& service) const;

    // Returns what is known of the order's target; nothing without an order.
    std::optional<ShiftFindings> findings(const ServiceName& service) const;

    // Returns how much of the order's period has elapsed; 0 without an order.
    std::chrono::milliseconds elapsed(const ServiceName& service, SteadyTime now) const;

    // Returns the services that have an order.
    std::vector<ServiceName> services() const;

    const ShiftOrder* order(const ServiceName& service) const;

    // Returns whether the service has an order that is neither completed nor rolled back.
    bool isRunning(const ServiceName& service) const { return evidence(service).has_value(); }

    // Returns whether everything is moved and the verdict is still open.
    bool isDeciding(const ServiceName& service, SteadyTime now) const;

    // Elapsed time is written so often, as a part of the period.
    static constexpr double progressStep = 0.3;

private:
    struct Shift {
        ShiftOrder order;
        ShiftRecord known; // In the store, as far as this instance knows.
        bool isStored = false;
        ShiftState state = ShiftState::running; // As this instance judges; never behind `known`.
        std::string reason;
        SteadyTime takenAt; // When this process heard of the order.
        SteadyTime since; // When `elapsedBefore` was taken over.
        std::chrono::milliseconds elapsedBefore { 0 };
        std::vector<std::uint64_t> pins; // To be told.
        std::optional<double> moveAt; // Agreed by all; the stages' own until then.
        ShiftEvidence own;
        std::vector<SteadyTime> losses; // With endpoints of the target that ended; not told among the failures yet.
        std::map<InstanceName, ShiftEvidence> others;
        // Of the target at all instances, also at processes of them that have ended.
        RatedCounts fleetFailed;
        RatedCounts fleetSlow;
        CountsByKind fleetCounts {};
        FadingCounts fleetOthers; // Of the other versions, at all instances.
        std::uint64_t othersSinceMove = 0; // Answers of the other versions, since everything was moved.
        SteadyTime judgedAt;
        VersionComparison comparison; // One for all instances: each that looks at its own makes a false alarm likelier.
    };

    struct Session {
        std::string version; // Empty: not the target.
        SteadyTime lastSeen;
    };

    struct ServiceMemory {
        explicit ServiceMemory(const ShiftSettings& settings)
            : times(settings.slowFactor, settings.baselineSamples)
            , pauses(settings.slowFactor, settings.baselineSamples)
        {
        }

        std::unordered_map<std::uint64_t, Session> sessions; // By digest.
        UsualValues times; // As multiples of what was expected.
        UsualValues pauses; // In microseconds.
        double heldSeconds = 0; // Mean of VersionOutcome::held, of the versions in use.
        std::map<EndpointName, SteadyTime> crashes; // When a lost connection of an endpoint was counted last.
        SteadyTime nextSweep;
    };

    ServiceMemory& memoryOf(const ServiceName& service) { return m_memories.try_emplace(service, m_settings).first->second; }
    std::vector<std::string> othersOf(const ShiftOrder& order, const std::vector<std::string>& available) const;
    static double partOf(const ShiftOrder& order, std::chrono::duration<double> elapsed);
    static std::chrono::milliseconds elapsedOf(const Shift& shift, SteadyTime now);
    static void noteElapsed(Shift& shift, std::chrono::milliseconds elapsed, SteadyTime now);
    static double progress(const Shift& shift, SteadyTime now);
    double moveAt(const Shift& shift) const { return shift.moveAt.value_or(m_stages.moveAt); }
    bool isMoved(const Shift& shift, SteadyTime now) const { return progress(shift, now) >= moveAt(shift); }
    double completionAt(const Shift& shift) const;
    std::optional<std::chrono::milliseconds> plannedMove(const Shift& shift, SteadyTime now) const;
    void addToFleet(Shift& shift, const ShiftEvidence& before, const ShiftEvidence& counted, SteadyTime now) const;
    void conclude(Shift& shift, ShiftRecord& record) const;
    double shareNow(const Shift& shift, bool hasSession, SteadyTime now) const;
    std::optional<std::uint64_t> burstAt(const Shift& shift, SteadyTime now) const;
    std::optional<std::uint64_t> burstOfMove(const Shift& shift, SteadyTime now) const;
    std::optional<LoadConcentration> concentrationIn(const Shift& shift, std::uint64_t burst, SteadyTime now) const;
    std::chrono::nanoseconds burstLength(const Shift& shift) const;
    bool isDrawnToTrial(std::uint64_t draw) const;
    void tellUsualValues(Shift& shift, const ServiceMemory& memory) const;
    void countLosses(Shift& shift, SteadyTime now) const;
    bool isKnownCrash(ServiceMemory& memory, const VersionOutcome& outcome, SteadyTime now) const;
    void judgeNowAndThen(Shift& shift, SteadyTime now);
    void judge(Shift& shift, SteadyTime now);
    static void rollBack(Shift& shift, const std::string& why);
    void sweepSessions(ServiceMemory& memory, SteadyTime now) const;

    const ShiftSettings m_settings;
    const ShiftStages m_stages;
    std::map<ServiceName, Shift> m_shifts;
    std::map<ServiceName, ShiftRecord> m_records; // The last ones, also of orders that aren't known yet.
    std::map<ServiceName, std::string> m_inUse; // The targets of the orders that were completed last.
    std::map<ServiceName, ServiceMemory> m_memories;
};

}
