#include "internal/ServiceDispatch.h"

#include "internal/EngineDispatch.h"
#include "whinyard/base/Encoding.h"
#include "whinyard/config/Gate.h"
#include "whinyard/router/RunVerdict.h"

namespace whinyard::router {

namespace {

    // Names a call in the time line: the service, and the digest of customer, service and key that a trace can ask for.
    std::string mention(const RequestContext& context, const ServiceWork& work)
    {
        const std::string& service = work.service.name.value;
        if (work.key.empty())
            return service;
        return service + ", key " + sha256Hex(context.customer.value + "\n" + service + "\n" + work.key);
    }

}

ServiceDispatch::ServiceDispatch(RequestContext& context, const ServiceWork& work)
    : m_context(context)
    , m_work(work)
{
    m_context.useContent({ .customer = m_context.customer.value, .method = work.request.method, .host = work.service.name.value, .target = work.request.target, .body = work.request.body });
}

bool ServiceDispatch::passGate(Failure& failure)
{
    std::uint64_t revision = 0;
    if (awaitServable(m_context, failure) && m_context.guard->pass(failure)) {
        const std::shared_ptr<const config::Configuration> newest = m_context.core.parts.configuration.newest();
        revision = newest->revision;
        if (config::permitsService(*newest, m_context.customer, m_work.service.name, failure)) {
            m_context.record(EventKind::gatePassed, { .amount = revision, .reason = mention(m_context, m_work) });
            return true;
        }
    }
    m_context.record(EventKind::gateRefused, { .amount = revision, .reason = mention(m_context, m_work) + ": " + failure.reason });
    return false;
}

std::optional<net::HttpResponse> ServiceDispatch::run(Failure& failure)
{
    while (true) {
        const std::size_t before = m_context.accounts.size();
        std::optional<net::HttpResponse> response = attempt(failure);
        if (response) {
            m_context.core.retryBudget.earn(m_context.now());
            return response;
        }
        const bool dispatched = m_context.accounts.size() > before;
        if (!dispatched || !mayRetry())
            return std::nullopt;
    }
}

std::optional<net::HttpResponse> ServiceDispatch::attempt(Failure& failure)
{
    if (m_context.timeLeft().count() == 0) {
        failure = { .kind = ErrorKind::deadlineExceeded, .reason = "the deadline passed" };
        return std::nullopt;
    }
    if (!passGate(failure))
        return std::nullopt;
    endpoint::EndpointWish wish;
    wish.service = m_work.service.name;
    wish.priority = m_context.priority;
    wish.mayProbe = m_work.service.idempotent;
    wish.deadline = m_context.deadline;
    wish.excluded = m_excluded;
    Failure chooseFailure;
    const std::optional<endpoint::ChosenEndpoint> chosen = m_context.core.parts.directory.choose(wish, m_context.now(), chooseFailure);
    if (!chosen) {
        // After a failed attempt its own reason says more than that no other endpoint is left.
        if (m_context.accounts.empty())
            failure = chooseFailure;
        return std::nullopt;
    }
    m_excluded.push_back(chosen->name);
    endpoint::ServiceCall call;
    call.attempt = m_context.beginAttempt();
    call.service = chosen->address;
    call.request = m_work.request;
    call.repeatable = m_work.service.idempotent;
    call.timeout = m_context.timeLeft();
    const std::uint32_t number = call.attempt.number;
    m_context.record(EventKind::planMade, { .attempt = number, .endpoint = chosen->name, .reason = chosen->reason });
    m_context.record(EventKind::attemptDispatched, { .attempt = number, .endpoint = chosen->name });
    EndpointUse use(m_context.core.parts.directory, m_context.core.parts.clock, chosen->name, {});
    endpoint::AttemptAccount account;
    std::optional<net::HttpResponse> response = m_context.core.parts.services.call(call, account, failure);
    if (response && account.endsWithConnection && m_context.guard->listens(chosen->address) == net::Listening::no) {
        response.reset();
        account.answeredWhole = false;
        failure = { .kind = ErrorKind::endpointFailed, .reason = "the endpoint ended amid an answer without a length", .runState = RunState::unknown };
    }
    m_context.accounts.back() = account;
    if (account.statement)
        use.takeStatement(*account.statement);
    if (!response) {
        use.end(outcomeOf(account, failure));
        if (failure.kind == ErrorKind::endpointFailed && account.bytesWritten > 0)
            m_context.guard->noteLost({ chosen->name, chosen->address, chosen->incarnation, m_work.service.name, use.began() }, std::nullopt);
        m_context.record(EventKind::attemptFailed, { .attempt = number, .endpoint = chosen->name, .amount = account.bytesWritten, .reason = failure.reason });
        return std::nullopt;
    }
    use.firstByte();
    use.end(endpoint::EndpointOutcome::succeeded);
    m_context.guard->noteCompleted(m_context.now());
    m_context.record(EventKind::attemptFinished, { .attempt = number, .endpoint = chosen->name, .amount = response->body.size(), .reason = "status " + std::to_string(response->status) });
    return response;
}

bool ServiceDispatch::mayRetry()
{
    RouterCore& core = m_context.core;
    policy::FailedAttempt failed;
    failed.runState = runVerdict(m_context.accounts);
    failed.idempotent = m_work.service.idempotent;
    failed.attempt = static_cast<std::uint32_t>(m_context.accounts.size());
    failed.deadline = m_context.deadline;
    const policy::RetryPlan plan = planRetry(core.settings.retries, failed, core.retryBudget, m_context.now(), core.random);
    m_context.record(EventKind::retryPlanned, { .attempt = failed.attempt, .reason = std::string(toText(plan.reason)) });
    if (!plan)
        return false;
    core.parts.metrics.add("whinyard_retries_total");
    core.parts.fibers.wait(plan.delay);
    return true;
}

}
