// What became of one or several requests, told from their events: the outcome in plain language
// first, then the time line, with gaps shown as gaps.
//
// The console, the administration API and `whinyard trace` use it, the last also on collected logs.
// It is pure: the same events give the same report wherever they were found.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Event.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::admin {

// What was found about the requests that were asked for, and what could not be asked.
struct TraceMaterial {
    std::vector<Event> events; // Of any requests, in any order; doubles are dropped.
    std::vector<InstanceName> silent; // Instances that gave no answer.
    std::uint64_t dropped = 0; // Events that the asked instances have lost, of whatever request.
    bool truncated = false; // More events matched than were handed over.
};

// The outcome of one request.
struct RequestOutcome {
    RequestId request;
    std::string text; // One sentence, for example "answered whole, 120 bytes; billed once, 0.04 units".

    bool operator==(const RequestOutcome&) const = default;
};

// One line of the time line: an event, or a gap where `isGap`.
struct TraceLine {
    Event event; // For a gap: its instant and request; the rest is empty.
    bool isGap = false;
    std::string text; // What happened, for a person.

    bool operator==(const TraceLine&) const = default;
};

struct TraceReport {
    std::string summary; // The outcome over all requests, in one sentence.
    std::vector<RequestOutcome> outcomes; // In the order of the requests' first events.
    std::vector<TraceLine> lines; // In the order of hybrid time.
    std::vector<std::string> gaps; // What may be missing as a whole.

    bool operator==(const TraceReport&) const = default;
};

// Makes the report. Without any event, the summary says that nothing is known.
TraceReport makeTraceReport(const TraceMaterial& material);

// Writes a report for a terminal.
std::string toText(const TraceReport& report);

// Writes a report as JSON: {"summary", "outcomes": [{"request", "text"}], "timeLine": [{"atUs",
// "logical", "request", "instance", "text", "gap", "event"}], "gaps": [...]}.
std::string toJson(const TraceReport& report);

// Reads what toJson() wrote.
std::optional<TraceReport> parseTraceReport(std::string_view json, Failure& failure);

// Writes an instant as "2026-01-31 08:00:00.123456" in UTC.
std::string timeOfDay(const HybridTime& at);

// Writes the first and last digits of an identity, to tell the requests of one report apart.
std::string shortText(const RequestId& request);

// Writes thousandths of the billing unit, as bill lines count them, in units: "5" or "0.125".
std::string unitsText(std::uint64_t thousandths);

// Says in words what an event tells.
std::string describe(const Event& event);

// Reads the events of `request` out of collected log lines; an empty identity takes all. Lines
// that are no events are passed over.
std::vector<Event> eventsOfLog(std::string_view log, const RequestId& request);

// Returns the session's name as events mention it, for a name or for the whole identity that callers
// hold (policy::SessionPins). The identity isn't verified: it only says what to look for.
std::string sessionNameOf(std::string_view session);

// Keeps the events of every request that has an event whose reason holds the word `text`, such
// as a session's name or the digest of an idempotency key.
std::vector<Event> eventsMentioning(const std::vector<Event>& events, std::string_view text);

}
