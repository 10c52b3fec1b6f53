// One request's events read for its outcome and for what is missing between them.
#pragma once

#include "whinyard/admin/TraceReport.h"

#include <map>
#include <optional>
#include <set>

namespace whinyard::admin {

// How a request ended for its caller.
enum class StoryEnd : std::uint8_t {
    none, // No end is recorded.
    completed,
    refused,
    cut,
    callerGone,
};

class RequestStory {
public:
    // `events` are those of one request in the order of hybrid time, at least one.
    explicit RequestStory(std::vector<Event> events);

    // Pointers into the events stay right when the story moves, but not when it is copied.
    RequestStory(RequestStory&&) = default;
    RequestStory(const RequestStory&) = delete;
    RequestStory& operator=(const RequestStory&) = delete;

    const RequestId& request() const { return m_events.front().request; }
    StoryEnd end() const { return m_end; }

    // Whether an intent of this request became durable: its call may run at most once.
    bool hasIntent() const { return m_hasIntent; }

    // Whether the outcome of the call is in the record.
    bool hasOutcome() const { return m_hasOutcome; }

    bool isAnsweredFromRecord() const { return m_fromRecord.has_value(); }
    bool isBilled() const { return m_billedUnits.has_value(); }

    // How many attempts finished with a whole answer.
    std::size_t finishedAttempts() const;

    // Returns the outcome as one sentence.
    std::string outcome() const;

    // Returns the gaps, each at the instant after which something is missing.
    std::vector<TraceLine> gaps() const;

private:
    // What is known of one attempt.
    struct Attempt {
        const Event* dispatched = nullptr;
        const Event* last = nullptr;
        bool finished = false;
        bool failed = false;
    };

    void take(const Event& event);
    void takeAttempt(const Event& event);
    void takeBill(const Event& event);
    std::string endText() const;
    std::string runText() const;
    std::string billText() const;
    std::string pathText() const;

    std::vector<Event> m_events;
    std::map<std::uint32_t, Attempt> m_attempts;
    StoryEnd m_end = StoryEnd::none;
    const Event* m_endEvent = nullptr;
    const Event* m_moved = nullptr;
    const Event* m_forwarded = nullptr;
    std::optional<std::string> m_fromRecord; // What the record said.
    std::optional<std::uint64_t> m_billedUnits;
    bool m_hasIntent = false;
    bool m_hasOutcome = false;
    std::set<VersionName> m_cascadeVersions; // The steps that answered or were tried.
};

}
