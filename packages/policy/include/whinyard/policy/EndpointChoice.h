// Chooses the endpoint for one attempt of a request, as a typed plan with its reason.
//
// The router asks before each dispatch (first try, retry, cascade step); the replay asks the same
// code in virtual time. Pure: no I/O, no clock of its own, no allocation per decision.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/policy/EndpointTable.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

namespace whinyard::policy {

// What a choice needs to know about a request.
struct EndpointRequest {
    TargetIndex target {}; // The version or plain service.
    std::optional<ZoneIndex> zone; // The instance's own zone.
    std::span<const ZoneIndex> nearZones; // Of the instance's own region, its own zone included; empty: there are no regions.
    std::span<const ZoneIndex> allowedZones; // Where it may be served, if it is restricted to zones.
    bool isZoneRestricted = false;
    bool boundsInFlight = false; // No endpoint gets more requests at once than EndpointQuotas::inFlightShare() says.
    std::uint64_t affinity = 0; // Digest of the session, or of the prompt's first block; 0 for none.
    std::span<const std::uint64_t> prefix; // Chained digests of the prompt's blocks, the longest prefix last.
    std::uint32_t promptTokens = 0; // 0 for plain services.
    std::uint8_t priority = 1; // 0 is served first, 2 last.
    bool mayProbe = true; // False for non-idempotent calls: they never try out a failed endpoint.
    SteadyTime deadline = SteadyTime::max();
    // For engines that read prompts in turn: the time of reading a token of this prompt. Zero: the selector's own, and
    // requests in flight stand for the wait.
    std::chrono::nanoseconds tokenTime { 0 };
    // Reading this prompt stalls the streams that run beside it. Such requests are kept together, on the few endpoints that
    // the affinity names, while these aren't too busy.
    bool stallsOthers = false;
    SteadyTime firstEventDue = SteadyTime::max(); // When its answer is late. The latest time: that isn't known.
    std::span<const float> prefixShares; // Of the prompt, up to the end of each part of `prefix`; empty: equal parts.
    std::span<const EndpointIndex> excluded; // Endpoints that this request has tried already.
    std::span<const EndpointIndex> among; // Only these, and only while they have a free slot; empty: any.
    std::uint32_t neededTokens = 0; // Of an engine's memory, until the end of the answer; 0: it isn't accounted.
    // The request is refused if no engine has room by then. max(): it was begun already, and goes to some engine in any case.
    SteadyTime roomBy = SteadyTime::max();
};

// Why an endpoint, or none, was chosen.
enum class ChoiceReason : std::uint8_t {
    cachedPrefix, // It is believed to hold the longest known prefix of the prompt.
    affinity, // The consistent hash of the session names it and its load is within the bound.
    leastLoaded, // The least expected wait among the candidates.
    otherZone, // The same, but in another availability zone, since the own one is overloaded or empty.
    onlyCandidate,
    probe, // Tries out an endpoint whose ejection ended.
    granted, // The coordinator of a scarce service named it.
    allEjected, // Every endpoint is ejected; the least loaded is tried rather than none.
    mostRoom, // Every engine's memory is full; this one has the most room.
    askedToWait, // None: every endpoint asked for no new work before a later time.
    noEndpoint, // None: no endpoint serves the target, or all were tried already.
    noneBeforeDeadline, // None: the least expected wait ends after the deadline.
    noRoom, // None: no engine is expected to have memory for the request in time.
    largerThanMemory, // None: the request doesn't fit into any engine's memory.
};

// Returns the text form of `reason`: the enumerator's name.
std::string_view toText(ChoiceReason reason);

// The decision. `endpoint` is noEndpointIndex for the last five reasons; then `expectedWait` says when
// it is worth to come back (zero when nothing is known).
struct EndpointPlan {
    EndpointIndex endpoint = noEndpointIndex;
    ChoiceReason reason = ChoiceReason::noEndpoint;
    std::chrono::microseconds expectedWait { 0 }; // Until the first byte, at this endpoint.
    std::chrono::microseconds cautiousWait { 0 }; // Not exceeded by about 19 of 20 requests.
    std::chrono::microseconds soundWait { 0 }; // As expectedWait, if the endpoint were as fast as others are.
    std::chrono::microseconds unqueuedWait { 0 }; // The same if a slot is free: the prompt's work and a step.
    std::uint32_t unreadTokens = 0; // Of the prompt, that the endpoint is believed not to hold.
    bool showsPace = false; // The time to the first event will show how fast the engine is.
    bool avoidedFull = false; // An engine that was compared had no room for the request.
    std::chrono::microseconds roomWait { 0 }; // With mostRoom: until the request is expected to fit, and is better sent.
    double room = 0; // With mostRoom and noRoom: tokens that are free at the engine with the most room.

    explicit operator bool() const { return endpoint != noEndpointIndex; }
};

// Chooses endpoints. One selector belongs to one table and its thread.
class EndpointSelector {
public:
    virtual ~EndpointSelector() = default;

    virtual EndpointPlan choose(const EndpointTable& table, const EndpointRequest& request, SteadyTime now, Random& random) = 0;
};

// The numbers of the rule that weighs waits.
struct WaitSelectorSettings {
    std::uint32_t fullScanLimit = 0; // Looks at every endpoint of a target that has at most this many.
    std::uint32_t randomChoices = 2; // Drawn in the own zone, and as many over all zones.
    std::uint32_t affinityChoices = 2; // Taken from the hash ring.
    // What reading a token again costs beyond the time of it, as a time: memory that other prompts could have used, and
    // work of the engine. Compares endpoints only; it is no wait.
    std::chrono::nanoseconds rereadPenalty { 0 };
    double stalledPart = 0.1; // Of the endpoints, that take the requests that stall others; at least affinityChoices.
    std::chrono::microseconds stallPenalty { 2'000'000 }; // Added to the wait of such a request at any other endpoint.
    bool leavesLateGroup = false; // Such a request goes to any other endpoint that is in time where those would be too late.
    double affinityCachedShare = 0.5; // Of a prompt that an affine endpoint is taken to hold.
    double zoneFactor = 1.5; // The own zone is kept while its load is at most this many times the other's.
    std::chrono::microseconds zonePenalty { 1'500 }; // One more way between zones, there and back.
    std::chrono::microseconds regionPenalty { 0 }; // The same between regions, beside the one above.
    std::chrono::nanoseconds prefillPerToken { 50'000 }; // Of a prompt's token that isn't cached.
    double probeShare = 0.05; // Of the decisions that may probe while an endpoint waits for a probe.
    // An engine's prefill time is weighed by the pace that all instances have learnt, in place of this instance's own slowness.
    bool sharesPaces = false;
    // A request shows an engine's pace if as many tokens at least are to be read, the prefill takes so long at least, and of it
    // the wait before takes this part at most: the rest of the time is the same at every engine. A prompt of which a larger share
    // is taken for cached shows whether it is. At this share a wrong belief lengthens the time by a third.
    std::uint32_t paceTokens = 1'000;
    std::chrono::microseconds pacePrefill { 30'000 };
    double paceWaitShare = 0.1;
    double paceCachedShare = 0.25;
};

// The rule that the router uses: the least expected wait among a few candidates (see docs/DECISIONS.md).
std::unique_ptr<EndpointSelector> makeWaitSelector(WaitSelectorSettings settings = {});

// Simpler rules, to compare with: uniformly random, in turn, and the less loaded of two random ones.
std::unique_ptr<EndpointSelector> makeRandomSelector();
std::unique_ptr<EndpointSelector> makeRoundRobinSelector();
std::unique_ptr<EndpointSelector> makeTwoChoicesSelector();

}
