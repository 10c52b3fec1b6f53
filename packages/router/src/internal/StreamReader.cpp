#include "internal/StreamReader.h"

#include "internal/Bill.h"

namespace whinyard::router {

namespace {

    // Grows with each resume, so that an engine that restarts its listener can be met again.
    constexpr std::chrono::milliseconds resumePause { 20 };

}

StreamReader::StreamReader(RequestContext& context, const EngineWork& work)
    : m_context(context)
    , m_work(work)
    , m_dispatch(context, work)
{
}

StreamReader::~StreamReader() = default;

endpoint::DropObserver StreamReader::dropObserver()
{
    return [this](const std::string& reason) {
        m_context.record(EventKind::lateAnswerDropped, { .attempt = m_attempt->call.attempt.number, .endpoint = m_attempt->endpoint, .reason = reason });
    };
}

bool StreamReader::begin(Failure& failure)
{
    while ((m_attempt = m_dispatch.prepare(true, failure))) {
        if (open(failure))
            return true;
        if (m_watch->givenUp() == GivenUp::redispatched) {
            m_use->end(endpoint::EndpointOutcome::cancelled);
            m_dispatch.redispatch(*m_attempt);
            continue;
        }
        if (m_watch->givenUp() == GivenUp::callerGone)
            failure.kind = ErrorKind::cancelled;
        m_use->end(outcomeOf(m_context.accounts.back(), failure));
        if (failure.kind == ErrorKind::endpointFailed)
            m_dispatch.noteLost(*m_attempt, std::nullopt);
        if (!m_dispatch.mayRetry(*m_attempt, failure))
            return false;
    }
    return false;
}

bool StreamReader::open(Failure& failure)
{
    m_watch.reset();
    m_stream.reset();
    m_next = 0;
    m_resumes = 0;
    m_opening = {};
    m_use = std::make_unique<EndpointUse>(m_context.core.parts.directory, m_context.core.parts.clock, m_attempt->endpoint, m_work.prefix);
    m_watch = std::make_unique<AttemptWatch>(m_context, &m_attempt->elsewhere, m_attempt->unqueuedWait, [this] { closeStream(); });
    m_attempt->call.cancellation = &m_opening;
    endpoint::AttemptAccount account;
    m_stream = m_context.core.parts.engines.open(m_attempt->call, dropObserver(), account, failure);
    m_context.accounts.back() = account;
    if (account.statement)
        m_use->takeStatement(*account.statement);
    return m_stream != nullptr;
}

void StreamReader::closeStream()
{
    if (m_stream)
        m_stream->cancel();
    else
        m_opening.cancel();
}

std::optional<endpoint::StreamPiece> StreamReader::next(Failure& failure)
{
    if (!m_attempt && !begin(failure))
        return std::nullopt;
    while (true) {
        std::optional<endpoint::StreamPiece> piece = m_stream ? m_stream->next(failure) : std::nullopt;
        if (piece) {
            takeIn(*piece);
            return piece;
        }
        if (m_watch->givenUp() == GivenUp::callerGone) {
            failure.kind = ErrorKind::cancelled;
            return std::nullopt;
        }
        if (m_watch->givenUp() == GivenUp::no && resume(failure))
            continue;
        if (!beginAgain(failure))
            return std::nullopt;
    }
}

// Begins another attempt after the stream broke for good, or left its endpoint's queue.
bool StreamReader::beginAgain(Failure& failure)
{
    if (m_watch->givenUp() == GivenUp::redispatched) {
        m_use->end(endpoint::EndpointOutcome::cancelled);
        m_dispatch.redispatch(*m_attempt);
        return begin(failure);
    }
    m_use->end(endpoint::EndpointOutcome::failed);
    m_dispatch.noteLost(*m_attempt, m_next > 0 ? m_context.now() - m_firstAt : std::chrono::nanoseconds(0));
    if (m_shown) {
        failure = { .kind = ErrorKind::answerCut, .reason = "the answer can't be completed: " + failure.reason };
        return false;
    }
    return m_dispatch.mayRetry(*m_attempt, failure) && begin(failure);
}

bool StreamReader::resume(Failure& failure)
{
    Failure broken = failure;
    while (m_resumes < m_context.core.settings.resumes && m_context.timeLeft().count() > 0) {
        ++m_resumes;
        m_context.core.parts.fibers.wait(resumePause * m_resumes);
        if (!passGate(m_context, m_work.version, failure))
            return false;
        m_context.record(EventKind::attemptResumed, { .attempt = m_attempt->call.attempt.number, .endpoint = m_attempt->endpoint, .version = m_work.version, .amount = m_next, .reason = broken.reason });
        m_attempt->call.timeout = m_context.timeLeft();
        m_stream.reset();
        m_stream = m_context.core.parts.engines.resume(m_attempt->call, m_next, dropObserver(), failure);
        if (m_stream)
            return true;
        broken = failure;
    }
    failure = broken;
    return false;
}

void StreamReader::takeIn(const endpoint::StreamPiece& piece)
{
    if (m_next == 0) {
        m_firstAt = m_context.now();
        m_use->firstByte();
        m_watch->noteFirstByte();
        m_context.record(EventKind::attemptFirstByte, { .attempt = m_attempt->call.attempt.number, .endpoint = m_attempt->endpoint });
    }
    m_resumes = 0;
    if (piece.end) {
        finish();
        return;
    }
    m_next = piece.offset + 1;
    if (const std::optional<TokenUsage> reported = chunkUsage(piece.data))
        m_reported = reported;
}

void StreamReader::finish()
{
    m_context.accounts.back().answeredWhole = true;
    m_use->end(endpoint::EndpointOutcome::succeeded);
    m_context.innerUnits += tokenUnits(*m_context.configuration, m_work.version, usage());
    m_context.record(EventKind::attemptFinished, { .attempt = m_attempt->call.attempt.number, .endpoint = m_attempt->endpoint, .version = m_work.version, .amount = usage().completion });
}

void StreamReader::abandon()
{
    if (!m_stream)
        return;
    m_stream->cancel();
    m_use->end(endpoint::EndpointOutcome::cancelled);
    m_context.innerUnits += tokenUnits(*m_context.configuration, m_work.version, usage());
    RouterCore& core = m_context.core;
    core.parts.fibers.start([&core, engine = m_attempt->call.engine, attempt = m_attempt->call.attempt] {
        Failure ignored;
        core.parts.engines.cancel(engine, attempt, ignored);
    });
}

TokenUsage StreamReader::usage() const
{
    if (m_reported)
        return *m_reported;
    return { estimatedTokens(m_work.request), m_next };
}

}
