// What an instance knows about the endpoints: members, own requests in flight, lagging load
// reports, health and cached prompt prefixes, in dense rows that a decision reads without allocating.
//
// The router owns one table on its duty's thread and records dispatches, outcomes and reports in it;
// EndpointSelector reads it. Nothing here does I/O or reads a clock: times are passed in.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/policy/EndpointQuotas.h"
#include "whinyard/policy/EngineMemory.h"
#include "whinyard/policy/PrefixIndex.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

// The row of an endpoint. It stays valid until the endpoint has left and its last request has ended.
enum class EndpointIndex : std::uint32_t {};

// The dense number of a version or plain service that endpoints serve.
enum class TargetIndex : std::uint32_t {};

// The dense number of an availability zone.
enum class ZoneIndex : std::uint32_t {};

inline constexpr EndpointIndex noEndpointIndex { 0xFFFFFFFF };

// Whether an endpoint takes work.
enum class HealthState : std::uint8_t {
    healthy,
    ejected, // Failed or was slow; takes nothing until its ejection ends.
    probing, // Takes one request at a time until enough of them succeed.
};

// How a request ended at an endpoint, as far as the endpoint's health is concerned.
enum class EndpointOutcome : std::uint8_t {
    succeeded,
    failed, // Connection lost, timeout, or an error answer of the endpoint's own making.
    stalled, // Silent for much longer than was expected. Counts as two failures.
    unreachable, // No connection. Ejected at once.
    cancelled, // The caller went away; says nothing about the endpoint.
    turnedAway, // The endpoint didn't take the request: neither a failure nor a sign that it is fast.
    leaving, // The endpoint answered that it takes no new work.
};

// One endpoint of the platform's list, as it is put into the table.
struct EndpointMember {
    EndpointName name;
    ZoneName zone;
    std::vector<VersionName> versions;
    std::vector<ServiceName> services;
    bool leaving = false;
    std::uint32_t slots = 0; // Requests that it runs at once; 0 if it didn't say.
    std::uint64_t incarnation = 0; // Another one is another process under the name; 0 if it doesn't say.
    bool isEvacuated = false; // Its zone is, until operators take it back.
    std::uint32_t coldBound = 0; // Requests that it bears in any second while it is cold, of all instances; 0: any number.
    std::uint64_t cacheTokens = 0; // KV cache of an engine; 0: its use isn't accounted.
};

// A load report of an engine. It counts the requests of all instances.
struct LoadReport {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t slots = 0; // Requests that the engine runs at once; 0 when it didn't say.
    std::chrono::microseconds step { 0 }; // One step of the batch; 0 when it didn't say.
    SteadyTime measuredAt; // On this instance's clock; earlier than the arrival by the report's lag.
    std::span<const std::uint64_t> cachedPrefixes; // Digests of cached prefixes; may have gaps.
};

// The numbers that the table is run with.
struct EndpointTableSettings {
    std::uint32_t defaultSlots = 16; // For endpoints that never said how many requests they run at once.
    std::chrono::milliseconds initialServiceTime { 200 }; // Until the first request of an endpoint has ended.
    std::chrono::milliseconds reportLifetime { 3'000 }; // An older report says nothing about the mean load.
    std::uint32_t failuresToEject = 5; // Consecutive failures.
    double slowFactor = 4; // Ejected when the mean time to the first byte is this many times the median.
    std::uint32_t slowMinimumSamples = 20; // Answers before an endpoint can count as slow.
    std::chrono::milliseconds slowMinimum { 50 }; // An endpoint faster than this never counts as slow.
    double maximumEjectedShare = 0.3; // Of the endpoints of a target; one may always be ejected if there are two.
    std::chrono::milliseconds baseEjection { 2'000 }; // Doubles with each further ejection.
    std::chrono::milliseconds maximumEjection { 60'000 };
    std::uint32_t successesToReturn = 3; // Probes in a row before an endpoint is healthy again.
    std::size_t prefixCapacity = 1 << 16; // Remembered placements of prefixes.
};

// One endpoint as decisions read it.
struct EndpointRow {
    ZoneIndex zone {};
    HealthState health = HealthState::healthy;
    bool present = false; // In the platform's list.
    bool leaving = false;
    bool isEvacuated = false;
    std::uint32_t slots = 0;
    std::uint64_t incarnation = 0;
    std::uint32_t ownInFlight = 0;
    float othersInFlight = 0; // Of other instances, when the last report was measured.
    float othersPrior = 0; // The mean of the above over the target's endpoints, for an outdated report.
    SteadyTime reportAt; // When the last report was measured; the epoch if there was none.
    std::chrono::nanoseconds step { 0 }; // From the last report.
    std::chrono::nanoseconds serviceTime { 0 }; // Moving mean from dispatch to end.
    std::chrono::nanoseconds firstByteTime { 0 }; // Moving mean from dispatch to the first byte.
    std::uint32_t firstByteSamples = 0;
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t consecutiveSuccesses = 0;
    std::uint32_t ejections = 0; // Since it was last healthy for the longest ejection.
    SteadyTime healthySince;
    SteadyTime ejectedUntil;
    SteadyTime comeBackAt; // The endpoint asked for no new work before this.
    double slowness = 1; // Moving mean of the time to the first event, as a multiple of what was expected.
    SteadyTime slownessAt; // When it was last measured.
    SteadyTime busyUntil; // When the prompts that it was given are read, as far as is known.
    double pace = 1; // Its prefill time as a multiple of an ordinary engine's; see EnginePaces.
};

// What is believed of the requests at an endpoint now.
struct LoadEstimate {
    double mean = 0;
    double variance = 0;
};

// A point of a target's hash ring.
struct RingPoint {
    std::uint64_t position;
    EndpointIndex endpoint;
};

// The endpoints of one target in the forms that choices need. Leaving and evacuated endpoints stand in none.
struct TargetMembers {
    std::vector<EndpointIndex> healthy;
    std::vector<std::vector<EndpointIndex>> healthyByZone; // By ZoneIndex.
    std::vector<EndpointIndex> probing;
    std::vector<EndpointIndex> ejected;
    std::vector<RingPoint> ring; // All of the above, sorted by position.

    std::size_t size() const { return healthy.size() + probing.size() + ejected.size(); }
};

// See the head of this file. A row index stays good for a request from its choice to its end: rows of
// endpoints that are gone are reused only after many other ones. An endpoint that returns to the list gets its row back.
class EndpointTable {
public:
    explicit EndpointTable(EndpointTableSettings settings = {});

    // Replaces the list of members. Rows of members that stay keep what was learnt about them, but for those that started
    // again: they hold no memory, have no backlog, and failed nobody yet. This allocates.
    void replaceMembers(std::span<const EndpointMember> members);

    // Takes the members that have changed or are new, and those that are no longer listed. Of few ones the cost doesn't grow with
    // the table, but for moving positions.
    void changeMembers(std::span<const EndpointMember> changed, std::span<const EndpointName> gone);

    // Takes an endpoint out of all choices at once, for example when it answered that it is leaving. Leaving is final for a
    // process: replaceMembers() brings the endpoint back only as another one. Where it doesn't say which process it is, a
    // live one counts as another after the list had it as leaving or not at all; else a list lags, or lapses for a while.
    void markLeaving(EndpointIndex endpoint);

    // Which requests endpoints under a quota may get.
    EndpointQuotas& quotas() { return m_quotas; }
    const EndpointQuotas& quotas() const { return m_quotas; }

    // How much of the engines' memory is used.
    EngineMemory& memory() { return m_memory; }
    const EngineMemory& memory() const { return m_memory; }

    // Returns when the endpoint may get a request of this instance: `now` or earlier where it may at once.
    SteadyTime takesWorkAt(EndpointIndex endpoint, SteadyTime now) const { return std::max(row(endpoint).comeBackAt, m_quotas.nextSend(endpoint, now)); }

    // Returns when the endpoint is likely to take a request of some instance. Callers come back to any of them.
    SteadyTime takesWorkOfAnyAt(EndpointIndex endpoint, SteadyTime now) const { return std::max(row(endpoint).comeBackAt, m_quotas.nextSendOfAny(endpoint, now)); }

    // Returns whether the endpoint has asked for fewer requests, or for none now.
    bool holdsWorkOff(EndpointIndex endpoint, SteadyTime now) const { return row(endpoint).comeBackAt > now || m_quotas.rate(endpoint).has_value(); }

    // Returns the endpoints that were given prompts which aren't read yet. Of a large fleet these are few.
    const std::vector<EndpointIndex>& busyEndpoints(SteadyTime now);

    // Returns the endpoints that hold work off.
    std::vector<EndpointIndex> endpointsThatHoldOff(SteadyTime now);

    // Returns how many requests a second the endpoint takes from all instances, by its stated rate or else by its slots.
    double capacity(EndpointIndex endpoint) const;

    // Counts a request that is being sent. `prefix` is the chain of digests that the request carries.
    void recordDispatch(EndpointIndex endpoint, std::span<const std::uint64_t> prefix, SteadyTime now);

    // Notes that the endpoint holds the memory of these prefixes of prompts.
    void recordPrefixes(EndpointIndex endpoint, std::span<const std::uint64_t> prefixes, SteadyTime now);

    // Learns the time from dispatch to the first byte of the answer.
    void recordFirstByte(EndpointIndex endpoint, std::chrono::nanoseconds elapsed);

    // Learns how the time to the first event compares with the one that was expected.
    void recordExpectation(EndpointIndex endpoint, std::chrono::nanoseconds elapsed, std::chrono::nanoseconds expected, SteadyTime now);

    // Returns by how much the endpoint is believed to be slower than expected; what was measured long ago counts little.
    double slowness(EndpointIndex endpoint, SteadyTime now) const;

    // Sets the engine's prefill time as a multiple of an ordinary engine's. Without a call it is 1.
    void usePace(EndpointIndex endpoint, double pace) { rowAt(endpoint).pace = pace; }

    // Learns that an attempt has waited longer than it would on a free slot: all slots are taken and requests
    // wait. Reports that were measured earlier say no more than that. Says nothing of endpoints that send none.
    void recordQueued(EndpointIndex endpoint, SteadyTime now);

    // Notes that a prompt whose reading takes an ordinary engine `work` was given to an engine, by this instance or another one.
    // Prompts are read in turn, so the work adds up, and passes as time does.
    void recordWork(EndpointIndex endpoint, std::chrono::nanoseconds work, SteadyTime now);

    // Returns the time until the engine has read the prompts that it was given.
    std::chrono::nanoseconds backlog(EndpointIndex endpoint, SteadyTime now) const;

    // Counts the end of a request that recordDispatch() counted.
    void recordEnd(EndpointIndex endpoint, EndpointOutcome outcome, std::chrono::nanoseconds elapsed, SteadyTime now);

    // Takes a load report; one that was measured before the last one is ignored.
    void recordReport(EndpointIndex endpoint, const LoadReport& report, SteadyTime now);

    // Respects an endpoint's wish to get no new work before `at`.
    void recordComeBackAt(EndpointIndex endpoint, SteadyTime at);

    // Ends ejections that are over and ejects slow endpoints. Call it about every 100 ms.
    void refresh(SteadyTime now);

    std::optional<EndpointIndex> find(const EndpointName& name) const;

    // Also finds an endpoint that has left the list, until its row is reused.
    std::optional<EndpointIndex> findRemembered(const EndpointName& name) const;

    std::optional<TargetIndex> find(const VersionName& version) const;
    std::optional<TargetIndex> find(const ServiceName& service) const;
    std::optional<ZoneIndex> find(const ZoneName& zone) const;
    const EndpointName& name(EndpointIndex endpoint) const;
    const EndpointRow& row(EndpointIndex endpoint) const { return m_rows[static_cast<std::size_t>(endpoint)]; }
    const TargetMembers& members(TargetIndex target) const { return m_targets[static_cast<std::size_t>(target)]; }
    bool serves(EndpointIndex endpoint, TargetIndex target) const;
    const PrefixIndex& prefixes() const { return m_prefixes; }
    const EndpointTableSettings& settings() const { return m_settings; }

    // Estimates the requests at an endpoint now: own ones exactly; of the others' in the last report
    // those that haven't ended since, and new ones, as an M/G/infinity queue goes from the reported
    // number to its mean (Eick, Massey, Whitt, Operations Research 1993).
    LoadEstimate load(EndpointIndex endpoint, SteadyTime now) const;

    // The mean of load().
    double inFlight(EndpointIndex endpoint, SteadyTime now) const { return load(endpoint, now).mean; }

    // How long a request occupies one of the endpoint's slots, without the wait for it.
    std::chrono::nanoseconds slotTime(EndpointIndex endpoint) const;

private:
    // Own requests in flight at the end of past periods, to tell a late report's own part from the others'.
    struct History {
        static constexpr std::size_t length = 32;
        static constexpr std::chrono::milliseconds period { 50 };
        std::array<std::uint16_t, length> inFlight {};
        std::int64_t lastPeriod = 0;
    };

    EndpointRow& rowAt(EndpointIndex endpoint) { return m_rows[static_cast<std::size_t>(endpoint)]; }
    EndpointRow newRow() const;
    EndpointIndex rowFor(const EndpointName& name);
    TargetIndex targetFor(std::unordered_map<std::string, TargetIndex>& names, const std::string& name);
    ZoneIndex zoneFor(const ZoneName& zone);
    // While several members change, hash rings are left as they are, and built anew at the end.
    class Batch {
    public:
        Batch(EndpointTable& table, std::size_t changes);
        ~Batch();
        Batch(const Batch&) = delete;
        Batch& operator=(const Batch&) = delete;

    private:
        EndpointTable& m_table;
    };

    EndpointIndex takeMember(const EndpointMember& member);
    void dropMember(EndpointIndex endpoint);
    void reserveRows(std::size_t count);
    void buildRing(TargetMembers& target);
    void forgetEarlierProcess(EndpointIndex endpoint);
    void placeInTargets(EndpointIndex endpoint, std::vector<TargetIndex> targets);
    void removeFromTargets(EndpointIndex endpoint);
    void addToRing(TargetMembers& target, EndpointIndex endpoint);
    void addToHealthList(TargetMembers& target, EndpointIndex endpoint);
    void removeFromHealthList(TargetMembers& target, EndpointIndex endpoint);
    void freeIfGone(EndpointIndex endpoint);
    void reclaim(EndpointIndex endpoint);
    void noteHistory(EndpointIndex endpoint, SteadyTime now);
    std::uint32_t ownInFlightAt(EndpointIndex endpoint, SteadyTime at) const;
    void recordFailure(EndpointIndex endpoint, std::uint32_t weight, SteadyTime now);
    void recordSuccess(EndpointIndex endpoint, std::chrono::nanoseconds elapsed, SteadyTime now);
    bool mayEject(EndpointIndex endpoint) const;
    void eject(EndpointIndex endpoint, SteadyTime now);
    void setHealth(EndpointIndex endpoint, HealthState health);
    void ejectSlowEndpoints(const TargetMembers& target, SteadyTime now);
    void updatePriors(const TargetMembers& target, SteadyTime now);

    EndpointTableSettings m_settings;
    std::vector<EndpointRow> m_rows;
    std::vector<History> m_histories;
    std::vector<EndpointName> m_names;
    std::vector<std::vector<TargetIndex>> m_targetsOf;
    std::vector<std::uint8_t> m_saidLeaving; // Its process leaves, whatever the list says of it.
    std::vector<std::uint8_t> m_free; // The endpoint has left the list. Its name keeps the row until that is reused.
    std::deque<EndpointIndex> m_freeRows; // The longest free one first.
    std::vector<EndpointIndex> m_busy; // With a backlog, or with one that has passed since busyEndpoints() was called.
    std::vector<std::uint8_t> m_isInBusy; // By EndpointIndex.
    std::vector<EndpointIndex> m_resting; // That asked for no new work before a time that may have passed.
    bool m_isBatch = false;
    std::set<TargetIndex> m_staleRings; // Of targets that changed in the batch.
    std::vector<TargetMembers> m_targets;
    std::unordered_map<std::string, EndpointIndex> m_byName;
    std::unordered_map<std::string, TargetIndex> m_versions;
    std::unordered_map<std::string, TargetIndex> m_services;
    std::unordered_map<std::string, ZoneIndex> m_zones;
    PrefixIndex m_prefixes;
    EndpointQuotas m_quotas;
    EngineMemory m_memory;
    std::vector<std::chrono::nanoseconds> m_scratch; // For the median in refresh().
};

}
