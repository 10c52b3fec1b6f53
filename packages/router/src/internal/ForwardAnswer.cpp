// The part of ForwardRun that takes an endpoint's answer in, whole or as a stream, and hands it to the caller.
#include "internal/ForwardRun.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

namespace {

    std::string_view text(net::Listening listening)
    {
        switch (listening) {
        case net::Listening::yes:
            return "yes";
        case net::Listening::no:
            return "no";
        case net::Listening::notAsked:
            return "not asked";
        case net::Listening::unknown:
            break;
        }
        return "unknown";
    }

    // What a page of 300 or more says of an endpoint: its own failures count, a caller's mistake doesn't.
    bool isEndpointFault(int status)
    {
        return status >= 500;
    }

}

// A request counts once, whichever of its attempts an endpoint began.
void ForwardRun::noteBegun()
{
    if (m_core.parts.usage && !std::exchange(m_isCounted, true) && !m_admission.customer.empty())
        m_core.parts.usage->began(m_admission.customer);
}

ForwardRun::AttemptEnd ForwardRun::answerWhole(ForwardAttempt& attempt)
{
    attempt.firstByte();
    AnswerMemory::Share share(m_core.answerMemory, [&attempt] { attempt.cancel(); });
    const std::optional<net::HttpResponse> response = attempt.readWhole(m_deadline, share);
    if (!response || hasEndedWithEndpoint(attempt))
        return breakOff(attempt);
    attempt.end(endpoint::EndpointOutcome::succeeded);
    noteOutcome(attempt, false);
    m_guard.noteCompleted(m_firstEventAt.value_or(now()));
    m_runState = RunState::ran;
    const bool delivered = m_caller.send(*response);
    m_core.parts.metrics.add("whinyard_answers_total");
    m_core.parts.metrics.observe("whinyard_answer_seconds", now() - m_arrived);
    log::info(delivered ? "answered" : "caller left", { { "request", m_request.id }, { "status", std::to_string(response->status) }, { "bytes", std::to_string(response->body.size()) }, { "elapsedMs", text(now() - m_arrived) } });
    return AttemptEnd::answered;
}

ForwardRun::AttemptEnd ForwardRun::keepFailure(ForwardAttempt& attempt)
{
    auto share = std::make_unique<AnswerMemory::Share>(m_core.answerMemory, [&attempt] { attempt.cancel(); });
    std::optional<net::HttpResponse> response = attempt.readWhole(m_deadline, *share);
    if (!response || hasEndedWithEndpoint(attempt))
        return breakOff(attempt);
    const bool isFault = isEndpointFault(response->status);
    m_failedAnswer = std::move(*response);
    m_failedShare = std::move(share);
    attempt.end(isFault ? endpoint::EndpointOutcome::failed : endpoint::EndpointOutcome::succeeded);
    noteOutcome(attempt, isFault);
    log::info("attempt failed", { { "request", m_request.id }, { "endpoint", attempt.target().endpoint.name.value }, { "status", std::to_string(m_failedAnswer->status) }, { "reason", "the endpoint answered with a failure" }, { "elapsedMs", text(attempt.age()) } });
    m_failure = { .kind = ErrorKind::endpointFailed, .reason = "the endpoint answered with status " + std::to_string(m_failedAnswer->status) };
    m_runState = RunState::ran;
    return AttemptEnd::failedAnswer;
}

ForwardRun::AttemptEnd ForwardRun::breakOff(ForwardAttempt& attempt)
{
    m_failure = attempt.failure();
    if (!m_streaming)
        m_core.wastedBytes += attempt.bodyBytes();
    if (m_stalled)
        m_failure = { .kind = ErrorKind::endpointFailed, .reason = "the endpoint was silent for " + text(now() - m_silentSince) + " ms", .runState = RunState::unknown };
    if (m_isOverdue)
        m_failure = { .kind = ErrorKind::deadlineExceeded, .reason = "the deadline passed", .runState = RunState::unknown };
    if (m_endsWithInstance)
        m_failure = { .kind = ErrorKind::shuttingDown, .reason = "this instance ends before the answer", .runState = RunState::unknown };
    m_runState = std::max(m_runState, RunState::unknown);
    const bool wasGivenUp = m_callerLeft || m_isOverdue || m_endsWithInstance || m_guard.isRefused();
    const net::Listening listening = attempt.connectionLost() ? inquire(attempt) : net::Listening::unknown;
    // Where the path may be at fault, nothing is said of the endpoint and its version.
    const bool isPathSuspect = listening != net::Listening::no && (hasLostPath(attempt) || (attempt.isRelayed() && attempt.connectionLost()));
    if (isPathSuspect)
        log::info("attempt lost with its path", { { "request", m_request.id }, { "endpoint", attempt.target().endpoint.name.value }, { "reason", m_failure.reason }, { "elapsedMs", text(attempt.age()) } });
    if (wasGivenUp || isPathSuspect) {
        if (m_callerLeft && !isPathSuspect && !m_firstEventAt && !m_core.isBehind())
            noteGivenUp(attempt);
        attempt.end(endpoint::EndpointOutcome::cancelled);
        return AttemptEnd::broken;
    }
    // Silence until the caller's own deadline says little about an endpoint that had no time left.
    const bool isFault = !attempt.timedOut() || timeLeft() >= shortestAttempt;
    const endpoint::EndpointOutcome lost = listening == net::Listening::no ? endpoint::EndpointOutcome::unreachable : endpoint::EndpointOutcome::failed;
    const endpoint::EndpointOutcome fault = m_stalled ? endpoint::EndpointOutcome::stalled : lost;
    attempt.end(isFault ? fault : endpoint::EndpointOutcome::cancelled);
    // Silence that was not waited out is slowness, of which load has its share; a lost connection is a failure.
    noteOutcome(attempt, !m_stalled, listening == net::Listening::no);
    log::info("attempt failed", { { "request", m_request.id }, { "digest", toText(m_guard.traits().request) }, { "parts", toText(m_guard.traits().parts) }, { "endpoint", attempt.target().endpoint.name.value }, { "endpointListens", std::string(text(listening)) }, { "reason", m_failure.reason }, { "elapsedMs", text(attempt.age()) }, { "hadHead", attempt.hasHead() ? "true" : "false" }, { "events", std::to_string(m_events) } });
    return AttemptEnd::broken;
}

ForwardRun::AttemptEnd ForwardRun::answerStream(ForwardAttempt& attempt)
{
    endpoint::EventFramer framer(m_lastEvent);
    while (true) {
        const std::optional<std::string> bytes = attempt.read(timeLeft());
        if (!bytes)
            return breakOff(attempt);
        if (bytes->empty())
            break;
        if (!relay(attempt, framer, *bytes))
            return breakOff(attempt);
    }
    if (!framer.isWhole())
        attempt.loseConnection("the stream ended within an event");
    if (attempt.connectionLost() || hasEndedWithEndpoint(attempt))
        return breakOff(attempt);
    if (!m_streaming) {
        m_streaming = true;
        m_caller.begin(attempt.head());
    }
    attempt.end(endpoint::EndpointOutcome::succeeded);
    learnAnswer();
    noteOutcome(attempt, false);
    m_guard.noteCompleted(m_firstEventAt.value_or(now()));
    m_runState = RunState::ran;
    const bool delivered = m_caller.end();
    m_core.parts.metrics.add("whinyard_answers_total");
    m_core.parts.metrics.observe("whinyard_answer_seconds", now() - m_arrived);
    log::info(delivered ? "answered" : "caller left", { { "request", m_request.id }, { "lastEvent", std::to_string(m_lastEvent.value_or(0)) }, { "model", model().value }, { "confidence", std::to_string(attempt.reply().confidence.value_or(0)) }, { "firstEventMs", m_callerFirstEventAt ? text(*m_callerFirstEventAt - m_arrived) : "" }, { "longestPauseMs", text(m_longestPause) }, { "elapsedMs", text(now() - m_arrived) } });
    return AttemptEnd::answered;
}

// The close of a connection is the end of an answer that states none, and also what an endpoint leaves behind that ends amid it.
// Nobody listening there, or a stream without any event, tells the second from the first. Of an endpoint behind a relay nothing else is
// known, so the relay has to find somebody listening.
bool ForwardRun::hasEndedWithEndpoint(ForwardAttempt& attempt)
{
    if (!attempt.endsWithConnection())
        return false;
    const bool isEmptyStream = streams() && m_events == 0 && !m_lastEvent;
    const bool mayListen = attempt.isRelayed() ? inquireByRelay(attempt) == net::Listening::yes : m_guard.listens(attempt.target().endpoint.address) != net::Listening::no;
    if (isEmptyStream || !mayListen)
        attempt.loseConnection("the endpoint ended amid an answer without a length");
    return attempt.connectionLost();
}

// Passes on the events that `bytes` complete. Returns false when the stream can't go on.
bool ForwardRun::relay(ForwardAttempt& attempt, endpoint::EventFramer& framer, std::string_view bytes)
{
    const endpoint::FramedEvents events = framer.feed(bytes);
    if (events.count > 0) {
        if (!m_firstEventAt) {
            attempt.firstByte();
            notePace(attempt);
        }
        noteEvents(events.count);
        if (!m_streaming) {
            m_streaming = true;
            m_core.parts.metrics.observe("whinyard_first_event_seconds", now() - m_arrived);
            m_caller.begin(attempt.head());
        }
        m_caller.write(events.bytes);
        m_lastEvent = events.lastId;
    }
    if (framer.isOverLimit())
        attempt.loseConnection("an event of the stream is over " + std::to_string(endpoint::EventFramer::largestEvent) + " bytes");
    return !events.outOfOrder && !framer.isOverLimit() && !m_callerLeft;
}

// An attempt that takes up a stream or was given up for its silence says little of its engine's speed.
void ForwardRun::notePace(const ForwardAttempt& attempt)
{
    if (!m_lastEvent && !m_stalled)
        m_core.parts.directory.recordPace(attempt.target().endpoint, model(), attempt.age(), now());
}

void ForwardRun::noteEvents(std::uint32_t count)
{
    const SteadyTime at = now();
    if (m_callerFirstEventAt)
        m_longestPause = std::max<std::chrono::nanoseconds>(m_longestPause, at - m_callerLatestEventAt);
    m_callerFirstEventAt = m_callerFirstEventAt.value_or(at);
    m_callerLatestEventAt = at;
    m_firstEventAt = m_firstEventAt.value_or(at);
    m_latestEventAt = at;
    m_silentSince = at;
    m_events += count;
}

void ForwardRun::learnReadingTime(std::chrono::nanoseconds elapsed)
{
    policy::PromptRates& rates = m_core.ratesOf(m_service);
    if (!rates.learn(model(), costOf(model()), m_request.promptTokens, elapsed))
        return;
    constexpr double thousand = 1'000;
    m_core.parts.metrics.set("whinyard_prefill_ratio{service=\"" + m_service.value + "\"}", rates.ratio() * thousand);
    log::info("prefill curve changed", { { "service", m_service.value }, { "ratioPerThousandTokens", std::to_string(rates.ratio() * thousand) } });
}

policy::VersionOutcome ForwardRun::outcomeOf(const ForwardAttempt& attempt) const
{
    policy::VersionOutcome outcome;
    outcome.endpoint = attempt.target().endpoint.name;
    outcome.wasCountedSlow = m_countedSlow;
    outcome.measure = m_admission.route->name + "/" + model().value;
    // What is known of the endpoint's own slowness must not excuse its version; the wait at a plain one is little else.
    outcome.expected = m_admission.route->isGenerative ? attempt.target().endpoint.plan.soundWait : std::chrono::microseconds(0);
    return outcome;
}

// Slow answers make callers leave: were they counted as nothing, a slow version would show its sound answers only.
void ForwardRun::noteGivenUp(const ForwardAttempt& attempt)
{
    policy::VersionOutcome outcome = outcomeOf(attempt);
    outcome.wasGivenUp = true;
    outcome.time = std::chrono::duration_cast<std::chrono::microseconds>(attempt.age());
    m_core.parts.shifts.recordOutcome(attempt.target().service, attempt.target().version, outcome, now());
}

void ForwardRun::noteWaiting()
{
    if (!m_current || m_countedSlow || m_firstEventAt || !m_current->wasSent() || m_core.isBehind() || hasLostPath(*m_current))
        return;
    policy::VersionOutcome outcome = outcomeOf(*m_current);
    outcome.time = std::chrono::duration_cast<std::chrono::microseconds>(m_current->age());
    m_countedSlow = m_core.parts.shifts.recordWaiting(m_current->target().service, m_current->target().version, outcome, now());
}

void ForwardRun::noteOutcome(const ForwardAttempt& attempt, bool failed, bool endpointEnded)
{
    m_hold.release();
    policy::VersionOutcome outcome = outcomeOf(attempt);
    outcome.failed = failed;
    outcome.connectionLost = failed && !m_failedAnswer;
    outcome.endpointEnded = failed && endpointEnded;
    const SteadyTime end = m_firstEventAt.value_or(now());
    const auto began = now() - attempt.age();
    if (!failed && !m_stalled && m_admission.route->isGenerative && attempt.target().endpoint.plan.reason != policy::ChoiceReason::cachedPrefix)
        learnReadingTime(end - began);
    outcome.time = std::chrono::duration_cast<std::chrono::microseconds>(end - began);
    if (!failed && m_admission.route->isGenerative)
        m_core.parts.directory.recordExpectation(attempt.target().endpoint.name, outcome.time, outcome.expected, now());
    outcome.held = std::chrono::duration_cast<std::chrono::microseconds>(now() - began);
    outcome.wasSeenWhole = !streams() || m_events > policy::VersionShifts::minimumPauses;
    if (m_events > policy::VersionShifts::minimumPauses)
        outcome.pause = std::chrono::duration_cast<std::chrono::microseconds>(*m_latestEventAt - *m_firstEventAt) / (m_events - 1);
    m_core.parts.shifts.recordOutcome(attempt.target().service, attempt.target().version, outcome, now());
}

}
