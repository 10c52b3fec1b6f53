#include "internal/ForwardAttempt.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    // The largest whole answer that is read into memory.
    constexpr std::size_t largestAnswer = 8 * 1024 * 1024;

    constexpr int firstFailureStatus = 300;

    // Each may take as long as it waits for the endpoint.
    constexpr std::size_t mostRelaysAsked = 3;

    policy::RelayOutcome relayOutcome(net::ConnectOutcome outcome)
    {
        switch (outcome) {
        case net::ConnectOutcome::connected:
            return policy::RelayOutcome::connected;
        case net::ConnectOutcome::refused:
        case net::ConnectOutcome::silent:
            return policy::RelayOutcome::endpointUnreachable;
        case net::ConnectOutcome::relayDeclined:
            return policy::RelayOutcome::declined;
        case net::ConnectOutcome::notTried:
        case net::ConnectOutcome::relayUnreachable:
        case net::ConnectOutcome::lacksResources:
            break;
        }
        return policy::RelayOutcome::unreachable;
    }

    void countRelayed(Metrics& metrics, policy::RelayOutcome outcome)
    {
        switch (outcome) {
        case policy::RelayOutcome::connected:
            metrics.add("whinyard_relayed_connects_total{outcome=\"connected\"}");
            break;
        case policy::RelayOutcome::endpointUnreachable:
            metrics.add("whinyard_relayed_connects_total{outcome=\"endpointUnreachable\"}");
            break;
        case policy::RelayOutcome::declined:
            metrics.add("whinyard_relayed_connects_total{outcome=\"declined\"}");
            break;
        case policy::RelayOutcome::unreachable:
            metrics.add("whinyard_relayed_connects_total{outcome=\"unreachable\"}");
            break;
        }
    }

    void countConnect(Metrics& metrics, net::ConnectOutcome outcome)
    {
        switch (outcome) {
        case net::ConnectOutcome::connected:
            metrics.add("whinyard_endpoint_connects_total{outcome=\"connected\"}");
            break;
        case net::ConnectOutcome::refused:
            metrics.add("whinyard_endpoint_connects_total{outcome=\"refused\"}");
            break;
        case net::ConnectOutcome::silent:
            metrics.add("whinyard_endpoint_connects_total{outcome=\"silent\"}");
            break;
        case net::ConnectOutcome::lacksResources:
            metrics.add("whinyard_endpoint_connects_total{outcome=\"lacksResources\"}");
            break;
        case net::ConnectOutcome::notTried:
        case net::ConnectOutcome::relayUnreachable:
        case net::ConnectOutcome::relayDeclined:
            break;
        }
    }

}

ForwardAttempt::ForwardAttempt(ForwardCore& core, const ForwardedRequest& request, AttemptTarget target, PlacePermit permit)
    : m_core(core)
    , m_request(request)
    , m_target(std::move(target))
    , m_use(core.parts.directory, core.parts.clock, m_target.endpoint.name, m_target.prefix, std::move(permit))
{
}

HeadVerdict ForwardAttempt::open(const AttemptHead& head, std::chrono::milliseconds patience)
{
    const SteadyTime began = now();
    std::optional<SteadyTime> directBegan;
    if (m_core.paths.isDirect(m_target.service)) {
        directBegan = began;
        callDirectly(head, patience);
    }
    if (directBegan && (wasLateItself() || lacksResources()))
        m_lacksPath = true;
    else if (!directBegan || (failedToConnect() && m_core.paths.mayRelayAfter(m_target.service, began)))
        callByRelays(head, patience - std::chrono::ceil<std::chrono::milliseconds>(now() - began), directBegan);
    if (m_stream)
        return judgeHead();
    m_connectionLost = wasSent() && m_failure.kind == ErrorKind::endpointFailed && !m_progress.answerOverLimit;
    return wasSent() ? HeadVerdict::broken : HeadVerdict::notRun;
}

bool ForwardAttempt::failedToConnect() const
{
    return m_progress.connect == net::ConnectOutcome::refused || m_progress.connect == net::ConnectOutcome::silent;
}

bool ForwardAttempt::wasLateItself() const
{
    return m_progress.connect == net::ConnectOutcome::silent && m_core.isBehind();
}

void ForwardAttempt::call(const AttemptHead& head, std::chrono::milliseconds patience, const InstanceName* relay)
{
    net::HttpCallOptions options;
    options.connectTimeout = std::min(m_core.connectTimeout(), patience);
    options.timeout = patience;
    // A connection of its own for each attempt costs about a millisecond. It spares what a kept one may bring: bytes
    // that belong to an earlier answer, and a reset that leaves open whether the request has run.
    options.freshConnection = true;
    options.lastRequest = true;
    options.cancellation = &m_cancellation;
    if (relay) {
        options.relay = m_core.relays.at(*relay);
        options.relayFields = { { std::string(relayEndpointField), m_target.endpoint.name.value }, { std::string(relayRequestField), m_request.id } };
    }
    AttemptHead timed = head;
    timed.timeLeft = std::min(head.timeLeft, patience);
    m_stream = m_core.parts.client.open(m_target.endpoint.address, m_core.parts.codec.encodeAttempt(m_request, timed), options, m_progress, m_failure);
}

void ForwardAttempt::callDirectly(const AttemptHead& head, std::chrono::milliseconds patience)
{
    const SteadyTime began = now();
    call(head, patience, nullptr);
    countConnect(m_core.parts.metrics, m_progress.connect);
    const bool isConnected = m_progress.connect == net::ConnectOutcome::connected;
    if (isConnected)
        m_core.shortestConnect = std::min(m_core.shortestConnect.value_or(m_progress.connectTime), m_progress.connectTime);
    if (isConnected || (failedToConnect() && !wasLateItself()))
        m_core.paths.recordDirect(m_target.service, m_target.endpoint.name, isConnected, began);
}

void ForwardAttempt::callByRelays(const AttemptHead& head, std::chrono::milliseconds patience, std::optional<SteadyTime> directBegan)
{
    const SteadyTime end = now() + patience;
    std::vector<InstanceName> asked;
    if (!directBegan) {
        m_lacksPath = true;
        m_failure = { .kind = ErrorKind::peerUnreachable, .reason = "no instance is known that reaches the endpoints of " + m_target.service.value };
    }
    while (asked.size() < mostRelaysAsked && !m_cancellation.cancelled()) {
        const auto left = std::chrono::floor<std::chrono::milliseconds>(end - now());
        const std::optional<InstanceName> relay = m_core.paths.drawRelay(m_target.service, asked, now());
        if (left < shortestAttempt || !relay || !m_core.relays.contains(*relay))
            return;
        asked.push_back(*relay);
        call(head, left, &*relay);
        if (lacksResources()) {
            m_lacksPath = true;
            return;
        }
        const policy::RelayOutcome outcome = relayOutcome(m_progress.connect);
        countRelayed(m_core.parts.metrics, outcome);
        const bool otherMayDoBetter = m_core.paths.recordRelay(m_target.service, *relay, outcome, directBegan, now());
        m_lacksPath = m_lacksPath && outcome != policy::RelayOutcome::connected && otherMayDoBetter;
        if (outcome == policy::RelayOutcome::connected) {
            m_relay = relay;
            log::info("attempt relayed", { { "request", m_request.id }, { "endpoint", m_target.endpoint.name.value }, { "by", relay->value } });
        }
        if (!otherMayDoBetter)
            return;
    }
}

HeadVerdict ForwardAttempt::judgeHead()
{
    m_reply = m_core.parts.codec.decodeReply(m_stream->head());
    const int status = m_stream->head().status;
    if (m_reply.notRun) {
        takeStatement();
        m_core.parts.directory.recordTurnedAway(m_target.endpoint.name, now());
        return fail(HeadVerdict::notRun, ErrorKind::overloaded, "the endpoint didn't take the request, status " + std::to_string(status));
    }
    if (!m_reply.requestId.empty() && m_reply.requestId != m_request.id)
        return fail(HeadVerdict::broken, ErrorKind::endpointFailed, "the endpoint sent the answer of another request");
    if (m_reply.isEncoded || !m_reply.isSigned)
        return fail(HeadVerdict::broken, ErrorKind::endpointFailed, "what came, status " + std::to_string(status) + ", isn't the endpoint's own answer");
    takeStatement();
    return status >= firstFailureStatus ? HeadVerdict::failedAnswer : HeadVerdict::answer;
}

void ForwardAttempt::takeStatement()
{
    const endpoint::EndpointStatement& statement = m_reply.statement;
    const endpoint::StatementEffect effect = m_use.takeStatement(statement);
    const auto say = [&](std::string_view what) {
        log::info(what, { { "request", m_request.id }, { "endpoint", m_target.endpoint.name.value }, { "status", std::to_string(m_stream->head().status) }, { "restMs", std::to_string(statement.rest.count()) } });
    };
    if (statement.isUnreadable())
        say("endpoint's statement not read");
    if (effect.beganToLeave)
        say("endpoint says that it leaves");
    if (effect.beganToBeBrittle)
        say("endpoint says that it is brittle");
    if (effect.beganToRest)
        say("endpoint asks for rest");
}

HeadVerdict ForwardAttempt::fail(HeadVerdict verdict, ErrorKind kind, std::string reason)
{
    m_failure = { .kind = kind, .reason = std::move(reason), .runState = verdict == HeadVerdict::notRun ? RunState::notRun : RunState::unknown };
    return verdict;
}

std::nullopt_t ForwardAttempt::failBody(std::string reason)
{
    m_failure = { .kind = ErrorKind::endpointFailed, .reason = std::move(reason), .runState = RunState::unknown };
    return std::nullopt;
}

std::optional<net::HttpResponse> ForwardAttempt::readWhole(SteadyTime deadline, AnswerMemory::Share& share)
{
    net::HttpResponse response = m_stream->head();
    while (true) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - m_core.parts.clock.now());
        std::optional<std::string> piece = read(std::max(left, std::chrono::milliseconds(0)));
        if (piece && piece->empty()) {
            share.complete();
            return response;
        }
        if (piece)
            response.body += *piece;
        if (response.body.size() > largestAnswer)
            return failBody("the endpoint's answer is over " + std::to_string(largestAnswer) + " bytes");
        // One that was given up while it waited has been closed.
        if (!share.resize(response.body.capacity())) {
            m_core.parts.metrics.add("whinyard_answers_given_up_total");
            return failBody("the answers under way leave no room for the endpoint's, of " + std::to_string(response.body.size()) + " bytes so far");
        }
        if (!piece)
            return std::nullopt;
    }
}

std::optional<std::string> ForwardAttempt::read(std::chrono::milliseconds patience)
{
    m_stream->usePieceTimeout(patience);
    std::optional<std::string> piece = m_stream->read(m_failure);
    m_connectionLost = !piece && m_failure.kind == ErrorKind::endpointFailed;
    m_isAtEnd = piece && piece->empty();
    m_bodyBytes += piece ? piece->size() : 0;
    return piece;
}

void ForwardAttempt::end(endpoint::EndpointOutcome outcome)
{
    m_use.end(outcome);
    if (isRelayed() && hasHead())
        noteRelayedEnd();
}

// What an answer without a length ends with is known to the relay alone.
void ForwardAttempt::noteRelayedEnd() const
{
    const std::string endsWith = endsWithConnection() ? "connection" : "itself";
    const std::string seen = m_connectionLost ? "lost" : m_isAtEnd ? "whole"
                                                                   : "left";
    const std::optional<net::RelayedEnd> end = m_stream->relayedEnd();
    const std::string stated(end ? text(*end) : "none");
    log::info("relayed answer ended", { { "request", m_request.id }, { "endpoint", m_target.endpoint.name.value }, { "by", m_relay->value }, { "endsWith", endsWith }, { "stated", stated }, { "seen", seen }, { "bytes", std::to_string(m_bodyBytes) } });
    m_core.parts.metrics.add("whinyard_relayed_answers_total{endsWith=\"" + endsWith + "\",stated=\"" + stated + "\",seen=\"" + seen + "\"}");
}

void ForwardAttempt::loseConnection(std::string reason)
{
    m_connectionLost = true;
    m_failure = { .kind = ErrorKind::endpointFailed, .reason = std::move(reason), .runState = RunState::unknown };
}

void ForwardAttempt::cancel()
{
    m_cancellation.cancel();
    if (m_stream)
        m_stream->cancel();
}

}
