#include "internal/ForwardRun.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    // The timer of an attempt's call ends it at the deadline; this much later it has not counted all of the time.
    constexpr std::chrono::milliseconds timerSlack { 200 };

    // Attempts that no endpoint began, beyond which a request is refused: every endpoint is full, or the list is wrong.
    constexpr std::uint32_t mostRefusals = 4;

    // An attempt that may be repeated is given up, and another endpoint asked, once it has been silent for so long that
    // its endpoint must be taken for dead or stuck, and early enough for the second answer to be in time. Parts of the
    // route's objective; a whole answer seldom takes longer than this.
    constexpr double wholePatiencePart = 0.6;
    constexpr double firstPatiencePart = 0.35;
    constexpr int expectedFactor = 3; // At least so many times the wait that was expected for the first event.
    // Of the objective for pauses, beside what the prompts that its engine was given explain: a stream that goes on elsewhere
    // then is in time. At the last attempt the pause is an objective long first: most silence is an engine that reads prompts,
    // moving reads one more, and what is late already loses nothing by that.
    constexpr double pausePatiencePart = 0.5;
    constexpr double lastPausePatiencePart = 1;
    constexpr double stallObjectives = 2; // The longest pause that work explains, in objectives.
    // A sound engine may be silent for about a second. Until it goes on, it doesn't notice that its stream has been given up, and two
    // engines would work on it.
    constexpr std::chrono::nanoseconds shortestStall = std::chrono::milliseconds(900);

    // The part of the budget from which an attempt is moved on silence alone, which may be a mistake. The rest is kept for
    // attempts that failed: their answers are lost otherwise, and failures come many at once, when an engine crashes.
    constexpr double silencePart = 0.9;

    // An instance that is behind waits so many times as long.
    constexpr int behindFactor = 2;

    // Of an attempt whose path is known to be lost, though its connection lives on.
    constexpr std::chrono::nanoseconds lostPathPatience = std::chrono::milliseconds(200);

    // A newer configuration is read within some hundred milliseconds from another instance.
    constexpr std::chrono::milliseconds newerConfigurationWithin { 300 };

    // What a configuration that is known to be outdated doesn't hold may be allowed by now, so it isn't denied for good.
    Failure staleFailure()
    {
        return { .kind = ErrorKind::configurationStale, .reason = "other instances know a newer configuration", .retryAfter = newerConfigurationWithin };
    }

    // Only another configuration can change it.
    Failure noRegionFailure(std::uint64_t version)
    {
        constexpr std::chrono::milliseconds comeBack { 1'000 };
        return { .kind = ErrorKind::noEndpoint, .reason = "configuration " + std::to_string(version) + " allows the route and the customer no common region", .retryAfter = comeBack };
    }

    std::chrono::nanoseconds part(std::chrono::nanoseconds whole, double share)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(whole * share);
    }

    // Returns whether callers take an answer of this status for the promise that the request has not run.
    bool promisesNotRun(int status)
    {
        return status == 408 || status == 421 || status == 429 || status == 503;
    }

    bool promisesNotRun(ErrorKind kind)
    {
        return promisesNotRun(answerFor(kind).httpStatus);
    }

}

std::optional<Admission> admit(const RoutingSource& source, const ForwardedRequest& request, Failure& failure)
{
    Admission admission;
    if (!source.mayServe(failure))
        return std::nullopt;
    // Asked before the routing is read: one that is read later can only be newer.
    const bool isBehind = source.isBehind();
    admission.table = source.newest();
    if (!admission.table) {
        failure = { .kind = ErrorKind::configurationStale, .reason = "no configuration is known yet" };
        return std::nullopt;
    }
    admission.route = admission.table->findRoute(request.host, request.path);
    if (!admission.route && isBehind) {
        failure = staleFailure();
        return std::nullopt;
    }
    if (!admission.route) {
        failure = { .kind = ErrorKind::unknownRoute, .reason = "no route of configuration " + std::to_string(admission.table->version()) + " takes this host and path" + source.knowledge() };
        return std::nullopt;
    }
    admission.priority = admission.route->priority;
    admission.residency = config::Residency(*admission.route, nullptr);
    if (!admission.table->routing().knowsCustomers || !admission.route->needsKey)
        return admission;
    const config::RoutedCustomer* customer = admission.table->findCustomer(request.key);
    if (!customer && isBehind) {
        failure = staleFailure();
        return std::nullopt;
    }
    if (!customer) {
        failure = { .kind = ErrorKind::unauthenticated, .reason = "no customer of configuration " + std::to_string(admission.table->version()) + " holds this key" + source.knowledge() };
        return std::nullopt;
    }
    admission.customer = customer->name;
    admission.priority = customer->priority.value_or(admission.priority);
    admission.residency = config::Residency(*admission.route, customer);
    if (admission.residency.allowsNone()) {
        failure = noRegionFailure(admission.table->version());
        return std::nullopt;
    }
    return admission;
}

ForwardRun::ForwardRun(ForwardCore& core, const ForwardedRequest& request, Admission admission, net::HttpResponder& caller, SteadyTime sentSince)
    : m_core(core)
    , m_request(request)
    , m_admission(std::move(admission))
    , m_caller(caller)
    , m_guard({ core.parts.clock, core.parts.metrics, core.parts.queries, core.parts.listening }, {})
    , m_sentSince(sentSince)
    , m_arrived(core.parts.clock.now())
    , m_lastEvent(request.resumeAfter)
{
    const std::chrono::milliseconds wait = std::min(request.timeLeft.value_or(m_admission.route->timeout), m_admission.route->timeout);
    m_deadline = m_arrived + wait;
    m_service = drawService();
    m_guard.useTraits(traits());
    ++m_core.loadOf(m_service).requests;
}

std::chrono::milliseconds ForwardRun::timeLeft() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    return std::max(left, std::chrono::milliseconds(0));
}

void ForwardRun::run()
{
    log::info("request admitted", { { "request", m_request.id }, { "route", m_admission.route->name }, { "customer", m_admission.customer.value }, { "configuration", std::to_string(m_admission.table->version()) }, { "timeLeftMs", text(timeLeft()) }, { "readWithinMs", text(now() - m_sentSince) } });
    if (!m_guard.pass(m_failure)) {
        refuse(m_failure);
        return;
    }
    m_core.budgetOf(m_service).noteRequest(m_sentSince, now());
    m_core.movesOf(m_service).earn(now());
    m_caller.whenPeerGone([this] { callerLeft(); });
    chooseModel();
    while (!m_callerLeft && prepare() && renewRepeat()) {
        const AttemptEnd end = attempt();
        if (end == AttemptEnd::answered)
            return;
        if (!mayGoOn(end))
            break;
    }
    conclude();
}

void ForwardRun::callerLeft()
{
    m_callerLeft = true;
    // What can't be repeated runs to its end: its outcome is then known, and the engine's work isn't left half done.
    if (m_current && (repeatable() || streams()))
        m_current->cancel();
}

// The gate before every attempt: the newest configuration and evacuations decide, and whether the request has ended endpoints. A
// stream that the caller already reads goes on as it was admitted, at an endpoint of a zone that isn't evacuated.
bool ForwardRun::passGate()
{
    m_core.followRouting();
    if (!m_guard.pass(m_failure))
        return false;
    if (m_streaming) {
        Failure ignored; // The stream may end, even where a new request wouldn't begin.
        if (const std::optional<Admission> newest = admit(m_core.parts.routing, m_request, ignored))
            m_admission.residency = newest->residency;
        return true;
    }
    std::optional<Admission> admission = admit(m_core.parts.routing, m_request, m_failure);
    if (!admission)
        return false;
    const bool changed = admission->table->version() != m_admission.table->version();
    m_admission = std::move(*admission);
    if (changed) {
        m_service = drawService();
        m_guard.useTraits(traits());
    }
    return true;
}

AttemptHead ForwardRun::headFor(const AttemptTarget& target) const
{
    AttemptHead head;
    head.endpoint = target.endpoint.name;
    head.customer = m_admission.customer;
    if (m_model)
        head.model = model();
    head.timeLeft = timeLeft();
    head.priority = endpointPriority();
    head.resumeAfter = m_lastEvent;
    return head;
}

// An engine that is behind reads the prompts of small models first: they are read in a tenth of the time, and decide
// whether a larger model is needed at all. Among prompts of either kind the order by priority holds.
std::uint8_t ForwardRun::endpointPriority() const
{
    constexpr std::uint8_t largeModelsAfter = 3; // Priorities of routes go from 0 to 2.
    constexpr std::uint8_t last = 9;
    const bool isLarge = m_model && !asksSmallModel();
    return std::min<std::uint8_t>(last, m_admission.priority + (isLarge ? largeModelsAfter : 0));
}

// Whether another endpoint may answer in place of the present attempt's.
bool ForwardRun::mayMove() const
{
    const std::uint32_t left = m_admission.route->maximumAttempts - std::min(m_sent, m_admission.route->maximumAttempts);
    // A stream's last attempt but one is kept for a connection that breaks: moves on silence would take the repeats that
    // other requests need to step up to a larger model. One that has begun and stands still has no other hope.
    return repeatable() && left > (isUnderWay() ? 0U : 1U) && timeLeft() > shortestAttempt;
}

// How long the present attempt may be silent before another endpoint is asked.
std::chrono::nanoseconds ForwardRun::patience() const
{
    const config::Route& route = *m_admission.route;
    if (!streams())
        return part(route.objective, wholePatiencePart);
    const endpoint::ChosenEndpoint& chosen = m_target->endpoint;
    // Prompts that the engine was given meanwhile explain a pause, and a larger engine's events take their time.
    const std::chrono::nanoseconds explained = m_core.parts.directory.backlog(chosen.name, now());
    if (isUnderWay()) {
        const bool isLast = m_sent + 1 >= route.maximumAttempts;
        const std::chrono::nanoseconds unexplained = part(route.pauseObjective, isLast ? lastPausePatiencePart : pausePatiencePart);
        return std::max(shortestStall, std::min(part(route.pauseObjective, stallObjectives), unexplained + expectedFactor * explained));
    }
    return std::max(part(route.objective, firstPatiencePart), expectedFactor * std::max<std::chrono::nanoseconds>(explained, chosen.plan.expectedWait));
}

// What hasn't run can go to another instance. A caller that can take up a stream elsewhere loses nothing where it is cut, and few streams last as
// long as they may.
bool ForwardRun::mustNotBegin() const
{
    const bool mayBeCut = m_deadline > m_core.endsAt && !(streams() && repeatable());
    return mustEnd() || (mayBeCut && m_runState == RunState::notRun);
}

void ForwardRun::look()
{
    if (m_current && mustEnd()) {
        m_endsWithInstance = true;
        m_current->cancel();
        return;
    }
    // A copy that waits when others have ended their endpoints would end this one too. And the call's own timer doesn't count
    // the time for which the machine was suspended.
    m_isOverdue = now() > m_deadline + timerSlack;
    if (m_current && (m_guard.isRefusedAsWhole() || (m_guard.isRefused() && !isSound()) || m_isOverdue)) {
        m_current->cancel();
        return;
    }
    if (m_current && isSound() && !std::exchange(m_soundNoted, true))
        m_guard.noteSound(*m_firstEventAt);
    noteWaiting();
    if (!m_current || m_stalled || !mayMove())
        return;
    const bool lost = m_current->wasSent() && hasLostPath(*m_current);
    // What is late by this instance's own fault seldom comes sooner by sending the prompt once more.
    const int factor = m_core.isBehind() ? behindFactor : 1;
    if (now() - m_silentSince < (lost ? lostPathPatience : factor * patience()))
        return;
    // Silence alone is no reason to end an answer: it is given up only for another attempt that is granted already.
    if ((!lost && !m_core.movesOf(m_service).take(now())) || !takeRepeat(silencePart))
        return;
    m_stalled = true;
    m_current->cancel();
}

// The endpoint of an attempt by a path that is lost can't be blamed for its silence.
bool ForwardRun::hasLostPath(const ForwardAttempt& attempt) const
{
    return !attempt.isRelayed() && !m_core.paths.isDirect(attempt.target().service);
}

ForwardRun::AttemptEnd ForwardRun::attempt()
{
    ForwardAttempt attempt(m_core, m_request, *m_target, std::move(m_permit));
    const AttemptTarget& target = attempt.target();
    m_tried.push_back(target.endpoint.name);
    m_current = &attempt;
    m_events = 0;
    m_firstEventAt.reset();
    m_soundNoted = false;
    m_countedSlow = false;
    if (m_admission.route->isGenerative)
        noteWork(target);
    log::info("attempt sent", { { "request", m_request.id }, { "attempt", std::to_string(m_sent + m_refused + 1) }, { "endpoint", target.endpoint.name.value }, { "version", target.version }, { "model", model().value }, { "reason", target.endpoint.reason }, { "expectedWaitMs", text(target.endpoint.plan.expectedWait) }, { "timeLeftMs", text(timeLeft()) } });
    if (!m_request.session.empty())
        m_core.parts.shifts.noteSession(target.service, sessionDigest(), target.version, now());
    m_stalled = false;
    m_silentSince = now();
    m_core.runs.insert(this);
    ++m_core.loadOf(target.service).running;
    const AttemptEnd end = conduct(attempt);
    if (!m_request.session.empty())
        m_core.parts.shifts.noteSessionEnd(target.service, sessionDigest(), target.version, now());
    --m_core.loadOf(target.service).running;
    m_core.runs.erase(this);
    m_current = nullptr;
    return end;
}

ForwardRun::AttemptEnd ForwardRun::conduct(ForwardAttempt& attempt)
{
    const HeadVerdict verdict = attempt.open(headFor(attempt.target()), timeLeft());
    AttemptEnd end = AttemptEnd::broken;
    if (verdict == HeadVerdict::answer || verdict == HeadVerdict::failedAnswer)
        noteBegun();
    switch (verdict) {
    case HeadVerdict::notRun:
        ++m_refused;
        attempt.end(attempt.wasSent() ? endpoint::EndpointOutcome::turnedAway : attempt.lacksPath() ? endpoint::EndpointOutcome::cancelled
                                                                                                    : endpoint::EndpointOutcome::unreachable);
        m_failure = attempt.failure();
        end = attempt.lacksResources() ? AttemptEnd::lacksResources : AttemptEnd::notRun;
        break;
    case HeadVerdict::failedAnswer:
        ++m_sent;
        end = keepFailure(attempt);
        break;
    case HeadVerdict::broken:
        ++m_sent;
        end = breakOff(attempt);
        break;
    case HeadVerdict::answer:
        ++m_sent;
        if (stepsUp(attempt)) {
            attempt.firstByte();
            noteOutcome(attempt, false);
            m_model = m_nextModel;
            end = AttemptEnd::steppedUp;
        } else
            end = streams() ? answerStream(attempt) : answerWhole(attempt);
        break;
    }
    return end;
}

bool ForwardRun::mayGoOn(AttemptEnd end)
{
    if (m_callerLeft)
        return false;
    if (m_endsWithInstance)
        return false;
    if (end == AttemptEnd::lacksResources) {
        m_core.parts.metrics.add("whinyard_requests_without_connection_total");
        return false;
    }
    if (end == AttemptEnd::steppedUp)
        return true;
    if (repeatable() && !m_guard.pass(m_failure))
        return false;
    const bool mayHaveRun = end != AttemptEnd::notRun;
    if (mayHaveRun && (!repeatable() || m_sent >= m_admission.route->maximumAttempts))
        return false;
    if (!mayHaveRun && m_refused >= mostRefusals)
        return false;
    if (timeLeft() < shortestAttempt)
        return false;
    // An attempt that never reached its endpoint is no arrival there.
    const bool reached = mayHaveRun || m_failure.kind != ErrorKind::peerUnreachable;
    const bool granted = !reached || m_stalled || takeRepeat(1);
    tellRepeat(granted);
    if (granted && reached)
        m_core.parts.metrics.add("whinyard_repeats_total");
    return granted;
}

bool ForwardRun::takeRepeat(double part)
{
    policy::RepeatBudget& budget = m_core.budgetOf(m_service);
    const std::optional<policy::RepeatGrant> grant = budget.take(now(), part);
    if (!grant)
        return false;
    m_repeat = grant;
    m_repeatBudget = &budget;
    return true;
}

// A repeat that waited for its endpoint counts when it is sent, at the service that gets it.
bool ForwardRun::renewRepeat()
{
    if (!m_repeat)
        return true;
    policy::RepeatBudget& budget = m_core.budgetOf(m_service);
    m_repeat = &budget == m_repeatBudget ? budget.renew(*m_repeat, now()) : budget.take(now());
    m_repeatBudget = &budget;
    if (!m_repeat)
        tellRepeat(false);
    return m_repeat.has_value();
}

void ForwardRun::tellRepeat(bool granted) const
{
    log::info(granted ? "attempt repeated" : "repeats are spent", { { "request", m_request.id }, { "service", m_service.value }, { "after", m_failure.reason }, { "attempts", std::to_string(m_sent + m_refused) }, { "repeatsUsed", std::to_string(m_core.budgetOf(m_service).use(now()).share()) }, { "timeLeftMs", text(timeLeft()) } });
}

void ForwardRun::conclude()
{
    if (m_callerLeft) {
        log::info("caller left", { { "request", m_request.id }, { "elapsedMs", text(now() - m_arrived) }, { "attempts", std::to_string(m_sent + m_refused) } });
        m_core.parts.metrics.add("whinyard_callers_left_total");
        m_caller.abort();
        return;
    }
    if (m_streaming) {
        log::info("answer cut", { { "request", m_request.id }, { "reason", m_failure.reason }, { "lastEvent", std::to_string(m_lastEvent.value_or(0)) }, { "elapsedMs", text(now() - m_arrived) } });
        m_core.parts.metrics.add("whinyard_answers_cut_total");
        m_caller.abort();
        return;
    }
    if (m_failedAnswer && !promisesNotRun(m_failedAnswer->status)) {
        log::info("answered", { { "request", m_request.id }, { "status", std::to_string(m_failedAnswer->status) }, { "elapsedMs", text(now() - m_arrived) } });
        m_caller.send(*m_failedAnswer);
        return;
    }
    refuse(m_failure);
}

void ForwardRun::refuse(Failure failure)
{
    failure.runState = m_runState;
    if (failure.kind == ErrorKind::overloaded || failure.kind == ErrorKind::noEndpoint || failure.kind == ErrorKind::deadlineExceeded)
        ++m_core.loadOf(m_service).unserved;
    if (m_runState != RunState::notRun && promisesNotRun(failure.kind))
        failure.kind = ErrorKind::endpointFailed;
    // Nothing was begun, whatever kept it from being sent: the caller may try again.
    if (m_runState == RunState::notRun && !promisesNotRun(failure.kind) && failure.kind != ErrorKind::unknownRoute && failure.kind != ErrorKind::unauthenticated && failure.kind != ErrorKind::queryOfDeath)
        failure.kind = failure.kind == ErrorKind::peerUnreachable ? ErrorKind::noEndpoint : ErrorKind::overloaded;
    if (m_runState == RunState::notRun && failure.retryAfter.count() == 0 && failure.kind != ErrorKind::queryOfDeath)
        failure.retryAfter = m_core.settings.comeBackAfter;
    log::info("refused", { { "request", m_request.id }, { "kind", std::string(answerFor(failure.kind).name) }, { "notRun", failure.runState == RunState::notRun ? "true" : "false" }, { "reason", failure.reason }, { "retryAfterMs", text(failure.retryAfter) }, { "elapsedMs", text(now() - m_arrived) } });
    m_core.parts.metrics.add("whinyard_refusals_total{kind=\"" + std::string(answerFor(failure.kind).name) + "\"}");
    m_caller.send(m_core.parts.codec.encodeFailure(m_request.id, failure));
}

}
