#include "internal/ChatPath.h"

#include "internal/Bill.h"
#include "internal/PromptPrefix.h"
#include "internal/Rating.h"
#include "whinyard/endpoint/PieceSequence.h"

namespace whinyard::router {

ChatPath::ChatPath(RequestContext& context, const config::Customer& customer)
    : m_context(context)
    , m_customer(customer)
{
}

void ChatPath::handle(const net::HttpRequest& request, net::HttpResponder& responder)
{
    Failure failure;
    std::optional<ChatRequest> chat = parseChatRequest(request.body, failure);
    if (chat)
        m_chat = std::move(*chat);
    if (!chat || !resolve(request, failure)) {
        refuse(m_context, failure, responder);
        return;
    }
    m_prefix = promptPrefix(m_chat.prompt);
    m_context.useContent({ .customer = m_context.customer.value, .method = request.method, .host = {}, .target = request.target, .body = request.body }, messageParts(m_chat));
    run(responder);
}

bool ChatPath::resolve(const net::HttpRequest& request, Failure& failure)
{
    const RouterParts& parts = m_context.core.parts;
    const std::string_view identity = net::fieldValue(request.fields, "X-Whinyard-Session");
    std::optional<policy::Session> session;
    if (!identity.empty()) {
        session = parts.sessionPins.verify(m_context.customer, identity, failure);
        if (!session)
            return false;
    }
    const policy::Session* known = session ? &*session : nullptr;
    const auto choice = policy::resolveVersion(*m_context.configuration, m_customer, m_chat.model, known, parts.judge, m_context.core.random, failure);
    if (!choice) {
        m_context.record(EventKind::gateRefused, { .version = { m_chat.model }, .amount = m_context.configuration->revision, .reason = failure.reason });
        return false;
    }
    m_choice = *choice;
    m_session = session ? *session : policy::newSession(m_context.core.random);
    m_application = net::fieldValue(request.fields, "X-Whinyard-Application");
    if (m_choice.movedFrom)
        m_context.record(EventKind::sessionMoved, { .version = m_choice.candidates.front(), .reason = std::string(toText(m_choice.reason)) + " from " + m_choice.movedFrom->value });
    return true;
}

EngineWork ChatPath::workFor(const VersionName& version) const
{
    return { m_chat, version, stableHash(m_session.name.value), m_prefix };
}

std::vector<net::HttpField> ChatPath::headFor(const VersionName& version)
{
    if (m_choice.pins)
        m_session.pin(m_chat.model, version);
    // Also where the caller named the version itself: a trace by session finds its requests by this event.
    m_context.record(EventKind::sessionPinned, { .version = version, .reason = "session " + m_session.name.value + ", " + std::string(toText(m_choice.reason)) });
    const std::optional<std::string> identity = m_context.core.parts.sessionPins.issue(m_context.customer, m_session);
    return answerFields(m_context, { version, identity.value_or("") });
}

void ChatPath::run(net::HttpResponder& responder)
{
    CascadeRun cascade(m_context, m_choice, m_chat, m_application);
    while (true) {
        std::optional<Failure> failed;
        bool over = false;
        if (!m_chat.stream)
            over = runWhole(cascade, responder, failed);
        else if (cascade.judged())
            over = runJudgedStream(cascade, responder, failed);
        else
            over = relay(workFor(cascade.version()), responder, failed);
        if (over)
            return;
        const bool gone = failed && failed->kind == ErrorKind::cancelled;
        if (failed && (gone || !cascade.goOnAfterFailure(*failed))) {
            refuse(m_context, *failed, responder);
            return;
        }
    }
}

bool ChatPath::runWhole(CascadeRun& cascade, net::HttpResponder& responder, std::optional<Failure>& failed)
{
    const EngineWork work = workFor(cascade.version());
    Failure failure;
    const std::optional<endpoint::EngineAnswer> answer = EngineDispatch(m_context, work).whole(failure);
    if (!answer) {
        failed = failure;
        return false;
    }
    if (cascade.judged() && !cascade.accepts(answer->text))
        return false;
    std::vector<net::HttpField> fields = headFor(work.version);
    bill(m_context, chatLine(m_context, work.version, { answer->promptTokens, answer->completionTokens }, ledger::UsageEnd::complete));
    const bool delivered = sendJson(responder, std::move(fields), answer->body);
    m_delivered = delivered ? answer->body.size() : 0;
    const bool rated = !cascade.judged() && drawsRating(m_context, work.version);
    answered(work.version, delivered, rated ? std::optional(answer->text) : std::nullopt);
    return true;
}

void ChatPath::answered(const VersionName& version, bool delivered, std::optional<std::string> text)
{
    m_context.record(delivered ? EventKind::answerCompleted : EventKind::callerGone, { .version = version, .amount = m_delivered });
    m_context.guard->noteCompleted(m_context.now());
    m_context.core.retryBudget.earn(m_context.now());
    m_context.core.redispatchBudget.earn(m_context.now());
    m_context.core.parts.judge.recordExposure(version, m_context.id, m_context.now());
    if (text)
        rateLater(m_context, { version, m_application, m_chat.prompt, std::move(*text) });
}

void ChatPath::callerGone(const VersionName& version, const TokenUsage& usage)
{
    m_context.record(EventKind::callerGone, { .version = version, .amount = m_delivered });
    if (!m_billed)
        bill(m_context, chatLine(m_context, version, { usage.prompt, m_deliveredPieces }, ledger::UsageEnd::cancelled));
}

bool ChatPath::showPiece(const endpoint::StreamPiece& piece, const EngineWork& work, const TokenUsage& usage, net::HttpResponder& responder)
{
    if (piece.offset == 0 && !beginStream(responder, headFor(work.version)))
        return false;
    if (piece.end) {
        bill(m_context, chatLine(m_context, work.version, usage, ledger::UsageEnd::complete));
        m_billed = true;
        return writePiece(responder, endpoint::endMark) && responder.end();
    }
    if (!writePiece(responder, piece.data))
        return false;
    m_delivered += piece.data.size();
    ++m_deliveredPieces;
    return true;
}

bool ChatPath::relay(const EngineWork& work, net::HttpResponder& responder, std::optional<Failure>& failed)
{
    StreamReader reader(m_context, work);
    std::optional<std::string> text;
    if (drawsRating(m_context, work.version))
        text.emplace();
    Failure failure;
    while (const std::optional<endpoint::StreamPiece> piece = reader.next(failure)) {
        reader.noteShown();
        const bool there = showPiece(*piece, work, reader.usage(), responder);
        if (piece->end) {
            answered(work.version, there, std::move(text));
            return true;
        }
        if (!there) {
            reader.abandon();
            callerGone(work.version, reader.usage());
            return true;
        }
        if (text)
            *text += chunkText(piece->data);
    }
    if (!reader.shown()) {
        failed = failure;
        return false;
    }
    if (failure.kind == ErrorKind::cancelled) {
        reader.abandon();
        callerGone(work.version, reader.usage());
        return true;
    }
    bill(m_context, chatLine(m_context, work.version, reader.usage(), ledger::UsageEnd::cut));
    endStreamByError(m_context, failure, responder);
    return true;
}

bool ChatPath::runJudgedStream(CascadeRun& cascade, net::HttpResponder& responder, std::optional<Failure>& failed)
{
    const EngineWork work = workFor(cascade.version());
    StreamReader reader(m_context, work);
    std::vector<endpoint::StreamPiece> pieces;
    std::string text;
    Failure failure;
    while (pieces.empty() || !pieces.back().end) {
        std::optional<endpoint::StreamPiece> piece = reader.next(failure);
        if (!piece) {
            failed = failure;
            return false;
        }
        if (piece->offset == 0) {
            // The first piece, perhaps again: the attempt before it failed and another one answers.
            pieces.clear();
            text.clear();
        }
        text += chunkText(piece->data);
        pieces.push_back(std::move(*piece));
    }
    if (!cascade.accepts(text))
        return false;
    for (const endpoint::StreamPiece& piece : pieces) {
        if (!showPiece(piece, work, reader.usage(), responder)) {
            callerGone(work.version, reader.usage());
            return true;
        }
    }
    answered(work.version, true, std::nullopt);
    return true;
}

}
