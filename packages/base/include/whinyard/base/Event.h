// The typed events of the time line: what every process writes about a request, and the bounded
// ring that keeps the latest ones.
//
// Every package that acts on a request records events through EventSink. The log, the trace query
// and `whinyard trace` read them.
#pragma once

#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Identity.h"

#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard {

// What happened. The list is closed; the text form is the enumerator's name.
enum class EventKind : std::uint8_t {
    requestArrived, // reason: route; amount: body bytes.
    gatePassed, // version; amount: configuration revision.
    gateRefused, // version; reason; amount: configuration revision.
    sessionPinned, // version.
    sessionMoved, // version: the new one; reason: why the old one can't serve.
    planMade, // endpoint, version; reason of the choice.
    intentDurable, // amount: the partition's revision.
    attemptDispatched, // endpoint, version; amount: bytes written.
    attemptFirstByte, // endpoint.
    attemptFailed, // endpoint; reason; amount: bytes written.
    attemptFinished, // endpoint; amount: tokens or bytes.
    attemptResumed, // endpoint; amount: offset.
    lateAnswerDropped, // endpoint; reason.
    retryPlanned, // reason.
    cascadeStep, // version; reason: the judgement of the step before.
    ratingReceived, // version; amount: rating in thousandths.
    outcomeDurable, // amount: the partition's revision.
    answeredFromRecord, // reason: the recorded outcome.
    forwarded, // reason: the owning instance.
    billRecorded, // amount: billed tokens.
    billMirrored, // reason: the peers.
    billDurable, // reason: the segment.
    answerCompleted, // amount: bytes.
    answerRefused, // reason: error kind and whether it was run.
    answerCut, // reason.
    callerGone, // amount: bytes delivered.
    eventsLost, // amount: how many events the ring dropped.
};

// The number of kinds.
inline constexpr std::size_t eventKindCount = static_cast<std::size_t>(EventKind::eventsLost) + 1;

// One event of the time line.
struct Event {
    HybridTime at;
    InstanceName instance;
    Incarnation incarnation;
    RequestId request;
    std::uint32_t attempt = 0; // Counts the attempts of the request from 1; 0 stands outside of one.
    EventKind kind = EventKind::requestArrived;
    EndpointName endpoint;
    VersionName version;
    std::uint64_t amount = 0; // Its meaning stands beside the kind.
    std::string reason;

    bool operator==(const Event&) const = default;
};

// Returns the text form of `kind`.
std::string_view toText(EventKind kind);

// Writes `event` as one line of JSON, as it stands in the log.
std::string toJsonLine(const Event& event);

// Reads a line that toJsonLine() wrote; returns nothing for any other line.
std::optional<Event> parseEvent(std::string_view jsonLine);

// Takes events. Implementations are safe to call from any thread.
class EventSink {
public:
    virtual ~EventSink() = default;

    virtual void record(Event event) = 0;
};

// Keeps the latest events up to a fixed number, and tells what it dropped.
class EventRing final : public EventSink {
public:
    explicit EventRing(std::size_t capacity);

    void record(Event event) override;

    // Returns the kept events of `request` in the order of hybrid time.
    std::vector<Event> eventsOf(const RequestId& request) const;

    // Returns all kept events in the order in which they were recorded.
    std::vector<Event> all() const;

    // Returns how many events were dropped because newer ones needed their place.
    std::uint64_t dropped() const;

private:
    const std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Event> m_events;
    std::uint64_t m_dropped = 0;
};

}
