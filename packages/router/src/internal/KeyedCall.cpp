#include "internal/KeyedCall.h"

#include "internal/Bill.h"
#include "whinyard/base/Encoding.h"
#include "whinyard/ledger/IntentRecord.h"
#include "whinyard/router/RunVerdict.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    constexpr std::chrono::milliseconds stillRunningRetry { 1'000 };

    // An owner that is paused is known as lost to all within about five seconds; then the record decides here.
    constexpr std::chrono::milliseconds forwardPatience { 5'000 };

    // Whether a forwarded call that failed so is run by this instance instead.
    bool runsAsWellHere(ErrorKind kind)
    {
        switch (kind) {
        case ErrorKind::peerUnreachable:
        case ErrorKind::shuttingDown:
        case ErrorKind::configurationStale:
        case ErrorKind::overloaded:
        case ErrorKind::corruptRecord:
            return true;
        default:
            return false;
        }
    }

    ledger::CallIdentity identityOf(const RequestContext& context, const ServiceWork& work)
    {
        const net::HttpRequest& request = work.request;
        return { context.customer, work.service.name, work.key, sha256Hex(request.method + "\n" + request.target + "\n" + request.body) };
    }

    net::HttpResponse responseOf(const ledger::StoredAnswer& answer)
    {
        return { .status = answer.status, .fields = { { "Content-Type", answer.contentType } }, .body = answer.body };
    }

    ledger::StoredAnswer storedOf(const net::HttpResponse& response)
    {
        return { response.status, std::string(net::fieldValue(response.fields, "Content-Type")), response.body };
    }

}

KeyedCall::KeyedCall(RequestContext& context, const ServiceWork& work)
    : m_context(context)
    , m_work(work)
    , m_dispatch(context, work)
{
}

std::optional<ServiceAnswer> KeyedCall::runSomewhere(Failure& failure)
{
    const std::optional<InstanceName> owner = otherOwner();
    std::optional<ServiceAnswer> answer;
    if (owner && forward(*owner, answer, failure) == Forwarding::over)
        return answer;
    return run(failure);
}

std::optional<InstanceName> KeyedCall::otherOwner() const
{
    const peer::Peers* peers = m_context.core.parts.peers;
    if (!peers)
        return std::nullopt;
    const ledger::ShortDigest key = ledger::keyDigest(identityOf(m_context, m_work));
    const std::optional<peer::Member> owner = peers->ownerOf(ledger::partitionOf(key, m_context.core.settings.intentPartitions));
    if (!owner || owner->name == m_context.core.settings.instance)
        return std::nullopt;
    return owner->name;
}

KeyedCall::Forwarding KeyedCall::forward(const InstanceName& owner, std::optional<ServiceAnswer>& answer, Failure& failure)
{
    if (!m_dispatch.passGate(failure))
        return Forwarding::over;
    peer::ForwardCall call;
    call.request = m_context.id;
    call.customer = m_context.customer;
    call.service = m_work.service.name;
    call.method = m_work.request.method;
    call.path = m_work.request.target;
    for (const net::HttpField& field : m_work.request.fields)
        call.fields.push_back({ field.name, field.value });
    call.body = m_work.request.body;
    call.idempotencyKey = m_work.key;
    call.timeLeft = m_context.timeLeft();
    call.configurationRevision = m_context.core.parts.configuration.newest()->revision;
    m_context.record(EventKind::forwarded, { .reason = owner.value });
    const SteadyTime askedAt = m_context.now();
    const std::optional<peer::ForwardCallAnswer> forwarded = peer::ask(*m_context.core.parts.peers, owner, call, std::min(call.timeLeft, forwardPatience), failure);
    if (forwarded) {
        answer.emplace();
        answer->response = { .status = forwarded->status, .fields = {}, .body = forwarded->body };
        for (const peer::ForwardedField& field : forwarded->fields)
            answer->response.fields.push_back({ field.name, field.value });
        answer->replayed = net::fieldValue(answer->response.fields, replayedField) == "1";
        return Forwarding::over;
    }
    // No answer, or an instance that can't decide: the ledger's record decides here just as well, and
    // admits the call at most once whatever the other instance did.
    m_context.recorded = failure.runState;
    const bool isOutOfPatience = failure.kind == ErrorKind::deadlineExceeded && m_context.now() - askedAt >= forwardPatience;
    if ((runsAsWellHere(failure.kind) || isOutOfPatience) && m_context.timeLeft().count() > 0) {
        m_context.record(EventKind::forwarded, { .reason = "not by " + owner.value + ": " + failure.reason });
        return Forwarding::runHere;
    }
    return Forwarding::over;
}

std::optional<ServiceAnswer> KeyedCall::run(Failure& failure)
{
    if (!m_dispatch.passGate(failure))
        return std::nullopt;
    const std::optional<ledger::AdmissionAnswer> admission = m_context.core.parts.intents.admit(identityOf(m_context, m_work), m_context.id, failure);
    if (!admission) {
        if (failure.runState != RunState::notRun)
            m_context.recorded = failure.runState;
        return std::nullopt;
    }
    const std::string first = "first request " + toText(admission->firstRequest);
    switch (admission->admission) {
    case ledger::Admission::granted:
        // No other request had an intent before this instant, so none has run.
        m_context.recorded = RunState::notRun;
        m_context.record(EventKind::intentDurable, { .amount = admission->revision });
        return dispatchGranted(admission->ticket, failure);
    case ledger::Admission::finished:
        m_context.record(EventKind::answeredFromRecord, { .amount = admission->revision, .reason = "finished, " + first });
        return ServiceAnswer { responseOf(admission->answer), true };
    case ledger::Admission::running:
        m_context.recorded = RunState::unknown;
        m_context.record(EventKind::answeredFromRecord, { .amount = admission->revision, .reason = "running, " + first });
        failure = { .kind = ErrorKind::stillRunning, .reason = "the first call with this key has not finished", .retryAfter = stillRunningRetry };
        return std::nullopt;
    case ledger::Admission::unknown:
        m_context.recorded = RunState::unknown;
        break;
    }
    m_context.record(EventKind::answeredFromRecord, { .amount = admission->revision, .reason = "unknown, " + first });
    failure = { .kind = ErrorKind::outcomeUnknown, .reason = "the first call with this key may or may not have run; it is not run again" };
    return std::nullopt;
}

std::optional<ServiceAnswer> KeyedCall::dispatchGranted(const ledger::IntentTicket& ticket, Failure& failure)
{
    std::optional<net::HttpResponse> response = m_dispatch.run(failure);
    if (!response) {
        settleFailed(ticket, failure);
        return std::nullopt;
    }
    const ledger::UsageLine line = serviceLine(m_context, m_work.service);
    Failure late;
    if (m_context.core.parts.intents.finish(ticket, storedOf(*response), line, late)) {
        m_context.record(EventKind::outcomeDurable, {});
        m_context.record(EventKind::billDurable, { .amount = line.billedUnits, .reason = "in the intent's record" });
    } else {
        m_context.record(EventKind::outcomeDurable, { .reason = "not yet: " + late.reason });
        bill(m_context, line); // The same line will stand in the intent's record; it is counted once.
    }
    return ServiceAnswer { std::move(*response), false };
}

void KeyedCall::settleFailed(const ledger::IntentTicket& ticket, Failure& failure)
{
    Failure late;
    if (runVerdict(m_context.accounts) == RunState::notRun) {
        m_context.core.parts.intents.release(ticket, late);
        return;
    }
    m_context.core.parts.intents.leaveUnknown(ticket, late);
    failure = { .kind = ErrorKind::outcomeUnknown, .reason = "the call may or may not have run: " + failure.reason };
}

std::optional<peer::ForwardCallAnswer> runForwarded(RequestContext& context, const peer::ForwardCall& call, Failure& failure)
{
    const config::Service* service = config::findService(context.configuration->document, call.service);
    if (!service || service->idempotent || call.idempotencyKey.empty()) {
        failure = { .kind = ErrorKind::unknownService, .reason = "no plain service with keyed calls is named " + call.service.value };
        return std::nullopt;
    }
    ServiceWork work { .service = *service, .key = call.idempotencyKey, .request = {} };
    work.request = { .method = call.method, .target = call.path, .fields = {}, .body = call.body };
    for (const peer::ForwardedField& field : call.fields)
        work.request.fields.push_back({ field.name, field.value });
    const std::optional<ServiceAnswer> answer = KeyedCall(context, work).run(failure);
    if (!answer) {
        failure = context.judged(failure);
        return std::nullopt;
    }
    peer::ForwardCallAnswer forwarded { .status = answer->response.status, .fields = {}, .body = answer->response.body };
    forwarded.fields.push_back({ "Content-Type", std::string(net::fieldValue(answer->response.fields, "Content-Type")) });
    if (answer->replayed)
        forwarded.fields.push_back({ replayedField, "1" });
    return forwarded;
}

}
