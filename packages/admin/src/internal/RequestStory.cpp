#include "internal/RequestStory.h"

#include <algorithm>

namespace whinyard::admin {

namespace {

    constexpr std::string_view notYet = "not ";

    std::string withReason(const std::string& text, const Event& event)
    {
        return event.reason.empty() ? text : text + " (" + event.reason + ")";
    }

    TraceLine gapAfter(const Event& event, std::string text)
    {
        TraceLine line;
        line.event.at = event.at;
        line.event.request = event.request;
        line.event.instance = event.instance;
        line.isGap = true;
        line.text = std::move(text);
        return line;
    }

    std::string joined(const std::vector<std::string>& parts)
    {
        std::string text;
        for (const std::string& part : parts) {
            if (!part.empty())
                text += (text.empty() ? "" : "; ") + part;
        }
        return text;
    }

}

RequestStory::RequestStory(std::vector<Event> events)
    : m_events(std::move(events))
{
    for (const Event& event : m_events)
        take(event);
}

void RequestStory::take(const Event& event)
{
    const auto end = [&](StoryEnd kind) {
        m_end = kind;
        m_endEvent = &event;
    };
    switch (event.kind) {
    case EventKind::answerCompleted:
        return end(StoryEnd::completed);
    case EventKind::answerRefused:
        return end(StoryEnd::refused);
    case EventKind::answerCut:
        return end(StoryEnd::cut);
    case EventKind::callerGone:
        return end(StoryEnd::callerGone);
    case EventKind::intentDurable:
        m_hasIntent = true;
        return;
    case EventKind::outcomeDurable:
        m_hasOutcome = m_hasOutcome || !event.reason.starts_with(notYet);
        return;
    case EventKind::answeredFromRecord:
        m_fromRecord = event.reason;
        return;
    case EventKind::sessionMoved:
        m_moved = &event;
        return;
    case EventKind::forwarded:
        m_forwarded = &event;
        return;
    case EventKind::cascadeStep:
        m_cascadeVersions.insert(event.version);
        return;
    case EventKind::billRecorded:
    case EventKind::billDurable:
        return takeBill(event);
    default:
        return takeAttempt(event);
    }
}

void RequestStory::takeBill(const Event& event)
{
    if (!m_billedUnits || *m_billedUnits == 0)
        m_billedUnits = event.amount;
}

void RequestStory::takeAttempt(const Event& event)
{
    if (event.attempt == 0 || event.kind == EventKind::retryPlanned || event.kind == EventKind::planMade)
        return;
    Attempt& attempt = m_attempts[event.attempt];
    attempt.last = &event;
    if (event.kind == EventKind::attemptDispatched)
        attempt.dispatched = &event;
    if (event.kind == EventKind::attemptFinished)
        attempt.finished = true;
    if (event.kind == EventKind::attemptFailed || event.kind == EventKind::lateAnswerDropped)
        attempt.failed = true;
}

std::size_t RequestStory::finishedAttempts() const
{
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto& entry) { return entry.second.finished; }));
}

std::string RequestStory::outcome() const
{
    return joined({ runText(), endText(), billText(), pathText() });
}

std::string RequestStory::runText() const
{
    if (m_fromRecord)
        return "answered from the record" + (m_fromRecord->empty() ? "" : " (" + *m_fromRecord + ")");
    if (!m_hasIntent)
        return {};
    if (m_hasOutcome)
        return "ran once";
    if (finishedAttempts() > 0)
        return "ran once, its outcome not yet in the record";
    return m_attempts.empty() ? "intent recorded, no attempt seen" : "may or may not have run";
}

std::string RequestStory::endText() const
{
    switch (m_end) {
    case StoryEnd::completed:
        return "answered whole, " + std::to_string(m_endEvent->amount) + " bytes";
    case StoryEnd::refused:
        return "refused" + (m_endEvent->reason.empty() ? "" : ": " + m_endEvent->reason);
    case StoryEnd::cut:
        return withReason("answer cut", *m_endEvent);
    case StoryEnd::callerGone:
        return "the caller went away after " + std::to_string(m_endEvent->amount) + " bytes";
    case StoryEnd::none:
        return "no end recorded";
    }
    return {};
}

std::string RequestStory::billText() const
{
    if (m_billedUnits)
        return "billed once, " + unitsText(*m_billedUnits) + " units";
    return m_fromRecord ? "" : "no bill line recorded";
}

std::string RequestStory::pathText() const
{
    std::vector<std::string> parts;
    if (m_attempts.size() > 1)
        parts.push_back(std::to_string(m_attempts.size()) + " attempts");
    if (!m_cascadeVersions.empty())
        parts.push_back(std::to_string(m_cascadeVersions.size()) + (m_cascadeVersions.size() == 1 ? " cascade step" : " cascade steps"));
    if (m_moved)
        parts.push_back(withReason("session moved to " + m_moved->version.value, *m_moved));
    return joined(parts);
}

std::vector<TraceLine> RequestStory::gaps() const
{
    std::vector<TraceLine> gaps;
    const Event& first = m_events.front();
    if (first.kind != EventKind::requestArrived)
        gaps.push_back(gapAfter(first, "the request's arrival is missing"));
    std::uint32_t expected = 1;
    for (const auto& [number, attempt] : m_attempts) {
        for (; expected < number; ++expected)
            gaps.push_back(gapAfter(*attempt.last, "attempt " + std::to_string(expected) + " is missing"));
        ++expected;
        if (!attempt.dispatched)
            gaps.push_back(gapAfter(*attempt.last, "the dispatch of attempt " + std::to_string(number) + " is missing"));
        if (!attempt.finished && !attempt.failed)
            gaps.push_back(gapAfter(*attempt.last, "the end of attempt " + std::to_string(number) + " is missing"));
    }
    if (m_forwarded && std::none_of(m_events.begin(), m_events.end(), [&](const Event& event) { return event.instance != m_forwarded->instance; }))
        gaps.push_back(gapAfter(*m_forwarded, withReason("nothing is known of the instance it was forwarded to", *m_forwarded)));
    if (m_end == StoryEnd::none)
        gaps.push_back(gapAfter(m_events.back(), "the request's end is missing: it still runs, or its last events are lost"));
    return gaps;
}

}
