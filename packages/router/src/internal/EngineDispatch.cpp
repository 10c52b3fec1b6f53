#include "internal/EngineDispatch.h"

#include "internal/AttemptWatch.h"
#include "internal/Bill.h"
#include "whinyard/config/Gate.h"

namespace whinyard::router {

namespace {

    bool waitUntilServable(RequestContext& context, Failure& failure)
    {
        constexpr std::chrono::milliseconds moment { 100 }; // A time to come back up to this is worth waiting for.
        constexpr int longestWait = 20; // Moments.
        const ConfigurationSource& source = context.core.parts.configuration;
        for (int waited = 0; waited < longestWait; ++waited) {
            if (source.mayServe(failure))
                return true;
            const bool soon = failure.retryAfter.count() > 0 && failure.retryAfter <= moment;
            if (!soon || context.timeLeft() <= failure.retryAfter)
                return false;
            context.core.parts.fibers.wait(failure.retryAfter);
        }
        return source.mayServe(failure);
    }

}

bool awaitServable(RequestContext& context, Failure& failure)
{
    if (!waitUntilServable(context, failure))
        return false;
    context.core.followEvacuations();
    return true;
}

bool passGate(RequestContext& context, const VersionName& version, Failure& failure)
{
    const ConfigurationSource& source = context.core.parts.configuration;
    if (!awaitServable(context, failure)) {
        context.record(EventKind::gateRefused, { .version = version, .reason = failure.reason });
        return false;
    }
    if (context.guard && !context.guard->pass(failure)) {
        context.record(EventKind::gateRefused, { .version = version, .reason = failure.reason });
        return false;
    }
    const std::shared_ptr<const config::Configuration> newest = source.newest();
    if (config::permitsVersion(*newest, context.customer, version, failure)) {
        context.record(EventKind::gatePassed, { .version = version, .amount = newest->revision });
        return true;
    }
    context.record(EventKind::gateRefused, { .version = version, .amount = newest->revision, .reason = failure.reason });
    return false;
}

endpoint::EndpointOutcome outcomeOf(const endpoint::AttemptAccount& account, const Failure& failure)
{
    if (account.refusedAsLeaving)
        return endpoint::EndpointOutcome::leaving;
    // What this instance lacks for a connection says nothing about the endpoint.
    const bool lacksResources = failure.kind == ErrorKind::overloaded && account.bytesWritten == 0;
    return failure.kind == ErrorKind::cancelled || lacksResources ? endpoint::EndpointOutcome::cancelled : endpoint::EndpointOutcome::failed;
}

EngineDispatch::EngineDispatch(RequestContext& context, const EngineWork& work)
    : m_context(context)
    , m_work(work)
{
}

// Chooses an endpoint, after a wait for capacity where all are busy. That wait is over before the gate is passed
// for good, so a request that waited passes it anew.
std::optional<endpoint::ChosenEndpoint> EngineDispatch::chooseEndpoint(const endpoint::EndpointWish& wish, Failure& failure)
{
    endpoint::EndpointDirectory& directory = m_context.core.parts.directory;
    Failure chooseFailure;
    std::optional<endpoint::ChosenEndpoint> chosen = directory.choose(wish, m_context.now(), chooseFailure);
    if (chosen && !m_waited && m_context.core.capacity.mustWait(wish.version, chosen->plan)) {
        m_waited = true;
        if (!m_context.core.capacity.wait(m_context, wish, expectedTokens(m_work.request), failure) || !passGate(m_context, m_work.version, failure))
            return std::nullopt;
        chosen = directory.choose(wish, m_context.now(), chooseFailure);
    }
    // After a failed attempt its own reason says more than that no other endpoint is left.
    if (!chosen && m_failed == 0)
        failure = chooseFailure;
    return chosen;
}

std::optional<Attempt> EngineDispatch::prepare(bool stream, Failure& failure)
{
    if (m_context.timeLeft().count() == 0) {
        failure = { .kind = ErrorKind::deadlineExceeded, .reason = "the deadline passed" };
        return std::nullopt;
    }
    if (!passGate(m_context, m_work.version, failure))
        return std::nullopt;
    endpoint::EndpointWish wish;
    wish.version = m_work.version;
    wish.affinity = m_work.affinity;
    wish.prefix = m_work.prefix;
    wish.promptTokens = estimatedTokens(m_work.request);
    wish.priority = m_context.priority;
    wish.deadline = m_context.deadline;
    wish.excluded = m_excluded;
    const std::optional<endpoint::ChosenEndpoint> chosen = chooseEndpoint(wish, failure);
    if (!chosen)
        return std::nullopt;
    Attempt attempt;
    attempt.call.attempt = m_context.beginAttempt();
    attempt.call.engine = chosen->address;
    attempt.call.body = engineBody(m_work.request, m_work.version, m_context.priority);
    attempt.call.timeout = m_context.timeLeft();
    attempt.endpoint = chosen->name;
    attempt.incarnation = chosen->incarnation;
    attempt.sentAt = m_context.now();
    attempt.unqueuedWait = chosen->plan.unqueuedWait;
    attempt.elsewhere = std::move(wish);
    attempt.elsewhere.excluded.push_back(chosen->name);
    const std::uint32_t number = attempt.call.attempt.number;
    m_context.record(EventKind::planMade, { .attempt = number, .endpoint = chosen->name, .version = m_work.version, .reason = chosen->reason });
    m_context.record(EventKind::attemptDispatched, { .attempt = number, .endpoint = chosen->name, .version = m_work.version, .reason = stream ? "stream" : "whole" });
    return attempt;
}

bool EngineDispatch::mayRetry(const Attempt& attempt, const Failure& failure)
{
    const endpoint::AttemptAccount& account = m_context.accounts.back();
    m_context.record(EventKind::attemptFailed, { .attempt = attempt.call.attempt.number, .endpoint = attempt.endpoint, .amount = account.bytesWritten, .reason = failure.reason });
    m_excluded.push_back(attempt.endpoint);
    ++m_failed;
    RouterCore& core = m_context.core;
    if (runStateOf(account) == RunState::unknown)
        cancelInBackground(attempt);
    if (failure.kind == ErrorKind::cancelled)
        return false;
    policy::FailedAttempt failed;
    failed.runState = runStateOf(account);
    failed.idempotent = true;
    failed.attempt = m_failed;
    failed.deadline = m_context.deadline;
    const policy::RetryPlan plan = planRetry(core.settings.retries, failed, core.retryBudget, m_context.now(), core.random);
    m_context.record(EventKind::retryPlanned, { .attempt = attempt.call.attempt.number, .reason = std::string(toText(plan.reason)) });
    if (!plan)
        return false;
    core.parts.metrics.add("whinyard_retries_total");
    core.parts.fibers.wait(plan.delay);
    return true;
}

void EngineDispatch::noteLost(const Attempt& attempt, std::optional<std::chrono::nanoseconds> answeredFor)
{
    if (m_context.guard && m_context.accounts.back().bytesWritten > 0)
        m_context.guard->noteLost({ attempt.endpoint, attempt.call.engine, attempt.incarnation, { m_work.version.value }, attempt.sentAt }, answeredFor);
}

void EngineDispatch::cancelInBackground(const Attempt& attempt)
{
    RouterCore& core = m_context.core;
    core.parts.fibers.start([&core, engine = attempt.call.engine, id = attempt.call.attempt] {
        Failure ignored;
        core.parts.engines.cancel(engine, id, ignored);
    });
}

void EngineDispatch::redispatch(const Attempt& attempt)
{
    m_context.record(EventKind::attemptFailed, { .attempt = attempt.call.attempt.number, .endpoint = attempt.endpoint, .amount = m_context.accounts.back().bytesWritten, .reason = "no first byte in time; another endpoint is asked" });
    m_context.core.parts.metrics.add("whinyard_redispatches_total");
    m_excluded.push_back(attempt.endpoint);
    cancelInBackground(attempt);
}

std::optional<endpoint::EngineAnswer> EngineDispatch::whole(Failure& failure)
{
    while (const std::optional<Attempt> attempt = prepare(false, failure)) {
        std::optional<endpoint::EngineAnswer> answer = once(*attempt, failure);
        if (answer)
            return answer;
        if (failure.kind == ErrorKind::endpointFailed)
            noteLost(*attempt, std::nullopt);
        if (!mayRetry(*attempt, failure))
            return std::nullopt;
    }
    return std::nullopt;
}

std::optional<endpoint::EngineAnswer> EngineDispatch::once(const Attempt& attempt, Failure& failure)
{
    EndpointUse use(m_context.core.parts.directory, m_context.core.parts.clock, attempt.endpoint, m_work.prefix);
    endpoint::AttemptAccount account;
    net::HttpCancellation cancellation;
    endpoint::EngineCall call = attempt.call;
    call.cancellation = &cancellation;
    // The first byte of a whole answer is its end, so waiting tells nothing about the queue: it stays where it is.
    const AttemptWatch watch(m_context, nullptr, attempt.unqueuedWait, [&cancellation] { cancellation.cancel(); });
    std::optional<endpoint::EngineAnswer> answer = m_context.core.parts.engines.complete(call, account, failure);
    m_context.accounts.back() = account;
    if (account.statement)
        use.takeStatement(*account.statement);
    if (watch.givenUp() == GivenUp::callerGone)
        failure.kind = ErrorKind::cancelled;
    if (!answer) {
        use.end(outcomeOf(account, failure));
        return std::nullopt;
    }
    use.firstByte();
    use.end(endpoint::EndpointOutcome::succeeded);
    const TokenUsage usage { answer->promptTokens, answer->completionTokens };
    m_context.innerUnits += tokenUnits(*m_context.configuration, m_work.version, usage);
    m_context.record(EventKind::attemptFinished, { .attempt = attempt.call.attempt.number, .endpoint = attempt.endpoint, .version = m_work.version, .amount = answer->completionTokens });
    return answer;
}

}
