// Writes bill lines to append-only segments `usage/<instance>/<incarnation>/<sequence>`, as a state
// machine without input or output.
//
// A segment is created if absent and never changed, so a reply that was lost is harmless: the same
// segment is created again, and one that stands there already is compared with it. UsageMirror and
// MirrorHolder add lines; StoredUsageLedger drives it.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/ledger/LiveWriters.h"
#include "whinyard/ledger/StoreCall.h"
#include "whinyard/ledger/UsageLine.h"

#include <chrono>
#include <deque>
#include <optional>
#include <string>

namespace whinyard::ledger {

struct UsageSegmentsOptions {
    std::chrono::milliseconds flushInterval { 5'000 }; // A line is written at the latest then, if the store answers.
    std::chrono::milliseconds backoff { 50 }; // After a call that the store didn't answer well.
    std::size_t segmentBytes = 512 * 1024; // Of the lines in one segment.
    std::size_t capacity = 100'000; // Lines that aren't durable yet.
};

class UsageSegments {
public:
    // `clock` must outlive the object.
    UsageSegments(Writer self, const UsageSegmentsOptions& options, const Clock& clock);

    // Takes a line as toJsonLine() wrote it, and returns its number, which counts from 1. Returns
    // nothing when as many lines as the capacity wait for the store.
    std::optional<std::uint64_t> add(std::string line);

    // Asks for every line added so far to be written without waiting for the interval.
    void flush();

    // Returns the highest number up to which all lines are durable.
    std::uint64_t durableThrough() const { return m_durable; }

    // Returns the key of the latest durable segment, empty before the first.
    const std::string& latestSegment() const { return m_latest; }

    // Returns the call to carry out now, if any. At most one call is in flight.
    std::optional<StoreCall> nextStoreCall();

    // Takes the reply to the call in flight; a reply to any other call is ignored.
    void onReply(const StoreCall& call, const StoreReply& reply);

    // Returns when nextStoreCall() may have something to do although nothing else happens.
    std::optional<SteadyTime> nextDue() const;

    // Returns the key of a record that somebody else wrote under a name of this incarnation; it was left alone.
    const std::optional<std::string>& foreignRecord() const { return m_foreign; }

    std::size_t waiting() const { return m_lines.size(); }

private:
    struct Segment {
        std::string value;
        std::size_t lines = 0;
        bool comparing = false; // A record of its name stands there: whose?
    };

    std::string key() const;
    Segment makeSegment() const;
    void segmentDurable();
    bool due() const;

    const Writer m_self;
    const UsageSegmentsOptions m_options;
    const Clock& m_clock;
    std::deque<std::string> m_lines; // Not durable yet, in the order of their numbers.
    std::uint64_t m_durable = 0;
    std::uint64_t m_flushThrough = 0; // Lines up to this number are wanted at once.
    SteadyTime m_oldestSince {};
    std::uint64_t m_sequence = 1;
    std::optional<Segment> m_segment;
    std::optional<std::uint64_t> m_inFlight;
    std::uint64_t m_lastCall = 0;
    SteadyTime m_backoffUntil {};
    std::string m_latest;
    std::optional<std::string> m_foreign;
};

}
