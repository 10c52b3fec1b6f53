#include "internal/ForwardRun.h"

#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    // Attempts that no endpoint began, beyond which a request is refused: every endpoint is full, or the list is wrong.
    constexpr std::uint32_t mostRefusals = 4;

    // A shorter rest of the deadline is not worth another attempt.
    constexpr std::chrono::milliseconds shortestAttempt { 20 };

    // An attempt that may be repeated is given up, and another endpoint asked, once it has been silent for so long that
    // its endpoint must be taken for dead or stuck, and early enough for the second answer to be in time. Parts of the
    // route's objective; a whole answer that takes longer than this is rare (one in a hundred of those measured).
    constexpr double wholePatiencePart = 0.6;
    constexpr double firstPatiencePart = 0.35;
    constexpr int expectedFactor = 3; // At least so many times the wait that was expected for the first event.
    constexpr double pausePatiencePart = 0.5; // Of the objective for pauses, where no known work explains a pause.
    constexpr double stallObjectives = 2; // Objectives for pauses, where some does.

    // A prompt whose reading takes this part of the objective for pauses makes the streams on its engine late: each of
    // their events takes several steps, and each step a chunk of the prompt.
    constexpr double stallingPart = 0.75;
    constexpr std::string_view stallingGroup = "prompts that stall others"; // One place on the hash ring for all of them.

    std::chrono::nanoseconds part(std::chrono::nanoseconds whole, double share)
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(whole * share);
    }

    std::string text(std::chrono::nanoseconds duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
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

    // What a page of 300 or more says of an endpoint: its own failures count, a caller's mistake doesn't.
    bool isEndpointFault(int status)
    {
        return status >= 500;
    }

}

std::optional<Admission> admit(const RoutingSource& source, const ForwardedRequest& request, Failure& failure)
{
    Admission admission;
    if (!source.mayServe(failure))
        return std::nullopt;
    admission.table = source.newest();
    if (!admission.table) {
        failure = { .kind = ErrorKind::configurationStale, .reason = "no configuration is known yet" };
        return std::nullopt;
    }
    admission.route = admission.table->findRoute(request.host, request.path);
    if (!admission.route) {
        failure = { .kind = ErrorKind::unknownRoute, .reason = "no route of configuration " + std::to_string(admission.table->version()) + " takes this host and path" };
        return std::nullopt;
    }
    admission.priority = admission.route->priority;
    if (!admission.table->routing().knowsCustomers || !admission.route->needsKey)
        return admission;
    const config::RoutedCustomer* customer = admission.table->findCustomer(request.key);
    if (!customer) {
        failure = { .kind = ErrorKind::unauthenticated, .reason = "no customer of configuration " + std::to_string(admission.table->version()) + " holds this key" };
        return std::nullopt;
    }
    admission.customer = customer->name;
    admission.priority = customer->priority.value_or(admission.priority);
    return admission;
}

ForwardRun::ForwardRun(ForwardCore& core, const ForwardedRequest& request, Admission admission, net::HttpResponder& caller)
    : m_core(core)
    , m_request(request)
    , m_admission(std::move(admission))
    , m_caller(caller)
    , m_arrived(core.parts.clock.now())
    , m_lastEvent(request.resumeAfter)
{
    const std::chrono::milliseconds wait = std::min(request.timeLeft.value_or(m_admission.route->timeout), m_admission.route->timeout);
    m_deadline = m_arrived + wait;
    m_service = drawService();
}

std::chrono::milliseconds ForwardRun::timeLeft() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - now());
    return std::max(left, std::chrono::milliseconds(0));
}

void ForwardRun::run()
{
    log::info("request admitted", { { "request", m_request.id }, { "route", m_admission.route->name }, { "customer", m_admission.customer.value }, { "configuration", std::to_string(m_admission.table->version()) }, { "timeLeftMs", text(timeLeft()) } });
    m_core.budgetOf(m_service).earn(now());
    m_caller.whenPeerGone([this] { callerLeft(); });
    chooseModel();
    while (!m_callerLeft && prepare()) {
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

// The gate before every attempt: the newest configuration decides. A stream that the caller already reads goes on as
// it was admitted.
bool ForwardRun::passGate()
{
    if (m_streaming)
        return true;
    std::optional<Admission> admission = admit(m_core.parts.routing, m_request, m_failure);
    if (!admission)
        return false;
    const bool changed = admission->table->version() != m_admission.table->version();
    m_admission = std::move(*admission);
    if (changed)
        m_service = drawService();
    return true;
}

const ServiceName& ForwardRun::drawService() const
{
    const std::vector<config::WeightedService>& services = m_admission.route->services;
    std::uint64_t total = 0;
    for (const config::WeightedService& service : services)
        total += service.weight;
    if (services.size() == 1 || total == 0)
        return services.front().service;
    std::uint64_t point = sessionDigest() % total;
    for (const config::WeightedService& service : services) {
        if (point < service.weight)
            return service.service;
        point -= service.weight;
    }
    return services.back().service;
}

// Requests of a session are drawn alike, on all instances.
std::uint64_t ForwardRun::sessionDigest() const
{
    return stableHash(m_request.session.empty() ? m_request.id : m_request.session);
}

bool ForwardRun::prepare()
{
    if (timeLeft() < shortestAttempt) {
        m_failure = { .kind = ErrorKind::deadlineExceeded, .reason = "the deadline passed" };
        return false;
    }
    if (!passGate())
        return false;
    Failure failure;
    m_target = chooseTarget(failure);
    if (m_target)
        return true;
    // After an attempt its own reason says more than that no other endpoint is left.
    if (m_sent + m_refused == 0)
        m_failure = failure;
    return false;
}

endpoint::EndpointWish ForwardRun::wish()
{
    endpoint::EndpointWish wish;
    wish.prefix = prefixFor(model());
    // The shared parts decide where a prompt's memory is; the last part is this request's own.
    if (wish.prefix.size() > 1)
        wish.affinity = wish.prefix[wish.prefix.size() - 2];
    wish.promptTokens = m_request.promptTokens;
    if (m_admission.route->isGenerative) {
        wish.tokenTime = m_core.rates.tokenTime(model(), costOf(model()));
        wish.prefixShares = prefixShares();
        wish.stallsOthers = wish.tokenTime * m_request.promptTokens > m_admission.route->pauseObjective * stallingPart;
        if (wish.stallsOthers)
            wish.affinity = stableHash(stallingGroup);
    }
    wish.mayProbe = repeatable();
    wish.excluded = m_tried;
    return wish;
}

std::optional<AttemptTarget> ForwardRun::chooseTarget(Failure& failure)
{
    const auto known = m_core.versions.find(m_service);
    const std::vector<std::string> available = known == m_core.versions.end() ? std::vector<std::string> {} : known->second;
    const policy::VersionPreference preference = m_core.parts.shifts.prefer(m_service, !m_request.session.empty(), sessionDigest(), available, now());
    failure = { .kind = ErrorKind::noEndpoint, .reason = "no endpoint of " + m_service.value + " is known", .retryAfter = m_core.settings.comeBackAfter };
    endpoint::EndpointWish wished = wish();
    std::optional<AttemptTarget> target = chooseAmong(preference.versions, wished, failure);
    if (!target && repeatable() && m_tried.size() > 1) {
        // All were tried. The one that failed first has had the longest time to recover.
        wished.excluded = { m_tried.back() };
        target = chooseAmong(preference.versions, wished, failure);
    }
    return target;
}

std::optional<AttemptTarget> ForwardRun::chooseAmong(const std::vector<std::string>& versions, endpoint::EndpointWish& wished, Failure& failure)
{
    for (const std::string& version : versions) {
        wished.version = targetName(m_service, version);
        std::optional<endpoint::ChosenEndpoint> chosen = m_core.parts.directory.choose(wished, now(), failure);
        if (chosen)
            return AttemptTarget { m_service, version, std::move(*chosen), wished.prefix };
    }
    return std::nullopt;
}

std::vector<std::uint64_t> ForwardRun::prefixFor(const ModelName& model) const
{
    std::vector<std::uint64_t> prefix;
    std::uint64_t digest = stableHash(model.value);
    for (const PromptPart& part : m_request.promptParts) {
        digest = stableHash({ reinterpret_cast<const char*>(&part.digest), sizeof part.digest }, digest);
        prefix.push_back(digest);
    }
    return prefix;
}

std::vector<float> ForwardRun::prefixShares() const
{
    std::uint64_t total = 0;
    for (const PromptPart& part : m_request.promptParts)
        total += part.tokens;
    std::vector<float> shares;
    std::uint64_t sum = 0;
    for (const PromptPart& part : m_request.promptParts) {
        sum += part.tokens;
        shares.push_back(total > 0 ? static_cast<float>(sum) / static_cast<float>(total) : 0);
    }
    return shares;
}

// The engine reads what isn't cached before anything that it is given later.
void ForwardRun::noteWork(const endpoint::ChosenEndpoint& endpoint)
{
    const std::chrono::nanoseconds work = endpoint.plan.unqueuedWait;
    m_core.parts.directory.recordWork(endpoint.name, work, now());
    if (m_core.parts.work)
        m_core.parts.work->gave(endpoint.name, work);
}

const ModelName& ForwardRun::model() const
{
    return m_model ? m_admission.route->models[*m_model] : m_request.model;
}

double ForwardRun::costOf(const ModelName& name) const
{
    const config::RoutedService* service = m_admission.table->findService(m_service);
    if (!service)
        return 1;
    const auto priced = std::find_if(service->models.begin(), service->models.end(), [&](const config::PricedModel& model) { return model.name == name; });
    return priced == service->models.end() ? 1 : priced->costPerThousandTokens;
}

policy::ModelQuestion ForwardRun::modelQuestion() const
{
    const config::Route& route = *m_admission.route;
    policy::ModelQuestion question;
    question.route = route.name;
    for (const ModelName& name : route.models) {
        const double cost = costOf(name);
        question.costs.push_back(cost);
        question.firstEvents.push_back(std::chrono::duration_cast<std::chrono::milliseconds>(m_core.rates.tokenTime(name, cost) * m_request.promptTokens));
    }
    question.promptTokens = m_request.promptTokens;
    question.answerTokens = m_request.expectedTokens > 0 ? m_request.expectedTokens : m_request.answerTokens;
    question.attemptsLeft = route.maximumAttempts - std::min(route.maximumAttempts, m_sent);
    question.timeToFirstEvent = std::chrono::duration_cast<std::chrono::milliseconds>(m_arrived + route.objective - now());
    return question;
}

void ForwardRun::chooseModel()
{
    if (m_request.leavesModelOpen && !m_admission.route->models.empty())
        m_model = m_core.parts.models.first(modelQuestion());
}

AttemptHead ForwardRun::headFor(const AttemptTarget& target) const
{
    AttemptHead head;
    head.endpoint = target.endpoint.name;
    head.customer = m_admission.customer;
    if (m_model)
        head.model = model();
    head.timeLeft = timeLeft();
    head.priority = m_admission.priority;
    head.resumeAfter = m_lastEvent;
    return head;
}

// Whether another endpoint may answer in place of the present attempt's.
bool ForwardRun::mayMove() const
{
    // A stream's last attempt but one is kept for a connection that breaks: moving from it on silence too takes repeats
    // that other requests need for a larger model, and half of a point of worth over eight days.
    return repeatable() && m_sent + 1 < m_admission.route->maximumAttempts && timeLeft() > shortestAttempt;
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
    if (m_events > 0)
        return part(route.pauseObjective, explained.count() > 0 ? stallObjectives : pausePatiencePart);
    return std::max(part(route.objective, firstPatiencePart), expectedFactor * std::max<std::chrono::nanoseconds>(explained, chosen.plan.expectedWait));
}

void ForwardRun::look()
{
    if (!m_current || m_stalled || !mayMove() || now() - m_silentSince < patience())
        return;
    // Silence alone is no reason to end an answer: it is given up only for another attempt that is granted already.
    if (!m_core.budgetOf(m_service).take(now()))
        return;
    m_stalled = true;
    m_current->cancel();
}

ForwardRun::AttemptEnd ForwardRun::attempt()
{
    ForwardAttempt attempt(m_core, m_request, *m_target);
    const AttemptTarget& target = attempt.target();
    m_tried.push_back(target.endpoint.name);
    m_current = &attempt;
    m_events = 0;
    m_firstEventAt.reset();
    if (m_admission.route->isGenerative)
        noteWork(target.endpoint);
    log::info("attempt sent", { { "request", m_request.id }, { "attempt", std::to_string(m_sent + m_refused + 1) }, { "endpoint", target.endpoint.name.value }, { "version", target.version }, { "model", model().value }, { "reason", target.endpoint.reason }, { "expectedWaitMs", text(target.endpoint.plan.expectedWait) }, { "timeLeftMs", text(timeLeft()) } });
    if (!m_request.session.empty())
        m_core.parts.shifts.noteSession(target.service, sessionDigest(), target.version, now());
    m_stalled = false;
    m_silentSince = now();
    m_core.runs.insert(this);
    const AttemptEnd end = conduct(attempt);
    m_core.runs.erase(this);
    m_current = nullptr;
    return end;
}

ForwardRun::AttemptEnd ForwardRun::conduct(ForwardAttempt& attempt)
{
    const HeadVerdict verdict = attempt.open(headFor(attempt.target()), timeLeft());
    AttemptEnd end = AttemptEnd::broken;
    switch (verdict) {
    case HeadVerdict::notRun:
        ++m_refused;
        attempt.end(attempt.wasSent() ? endpoint::EndpointOutcome::succeeded : endpoint::EndpointOutcome::unreachable);
        m_failure = attempt.failure();
        end = AttemptEnd::notRun;
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

bool ForwardRun::stepsUp(const ForwardAttempt& attempt)
{
    if (!m_model || m_streaming || m_request.resumeAfter)
        return false;
    const std::optional<std::size_t> larger = m_core.parts.models.stepUp(modelQuestion(), *m_model, attempt.reply().confidence);
    if (!larger || !m_core.budgetOf(m_service).take(now()))
        return false;
    log::info("larger model asked", { { "request", m_request.id }, { "confidence", std::to_string(attempt.reply().confidence.value_or(0)) }, { "from", model().value }, { "to", m_admission.route->models[*larger].value }, { "elapsedMs", text(now() - m_arrived) } });
    m_core.parts.metrics.add("whinyard_model_steps_total");
    m_nextModel = *larger;
    m_runState = RunState::unknown;
    return true;
}

ForwardRun::AttemptEnd ForwardRun::answerWhole(ForwardAttempt& attempt)
{
    attempt.firstByte();
    const std::optional<net::HttpResponse> response = attempt.readWhole(m_deadline);
    if (!response)
        return breakOff(attempt);
    attempt.end(endpoint::EndpointOutcome::succeeded);
    noteOutcome(attempt, false);
    m_runState = RunState::ran;
    const bool delivered = m_caller.send(*response);
    m_core.parts.metrics.add("whinyard_answers_total");
    m_core.parts.metrics.observe("whinyard_answer_seconds", now() - m_arrived);
    log::info(delivered ? "answered" : "caller left", { { "request", m_request.id }, { "status", std::to_string(response->status) }, { "bytes", std::to_string(response->body.size()) }, { "elapsedMs", text(now() - m_arrived) } });
    return AttemptEnd::answered;
}

ForwardRun::AttemptEnd ForwardRun::keepFailure(ForwardAttempt& attempt)
{
    std::optional<net::HttpResponse> response = attempt.readWhole(m_deadline);
    if (!response)
        return breakOff(attempt);
    const bool isFault = isEndpointFault(response->status);
    m_failedAnswer = std::move(*response);
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
    if (m_stalled)
        m_failure = { .kind = ErrorKind::endpointFailed, .reason = "the endpoint was silent for " + text(now() - m_silentSince) + " ms", .runState = RunState::unknown };
    m_runState = std::max(m_runState, RunState::unknown);
    if (m_callerLeft) {
        attempt.end(endpoint::EndpointOutcome::cancelled);
        return AttemptEnd::broken;
    }
    // Silence until the caller's own deadline says little about an endpoint that had no time left.
    const bool isFault = !attempt.timedOut() || timeLeft() >= shortestAttempt;
    const endpoint::EndpointOutcome fault = m_stalled ? endpoint::EndpointOutcome::stalled : endpoint::EndpointOutcome::failed;
    attempt.end(isFault ? fault : endpoint::EndpointOutcome::cancelled);
    // Silence that was not waited out is slowness, of which load has its share; a lost connection is a failure.
    noteOutcome(attempt, !m_stalled);
    log::info("attempt failed", { { "request", m_request.id }, { "endpoint", attempt.target().endpoint.name.value }, { "reason", m_failure.reason }, { "elapsedMs", text(attempt.age()) }, { "events", std::to_string(m_events) } });
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
    if (!framer.isWhole()) {
        m_failure = { .kind = ErrorKind::endpointFailed, .reason = "the stream ended within an event", .runState = RunState::unknown };
        return breakOff(attempt);
    }
    if (!m_streaming) {
        m_streaming = true;
        m_caller.begin(attempt.head());
    }
    attempt.end(endpoint::EndpointOutcome::succeeded);
    noteOutcome(attempt, false);
    m_runState = RunState::ran;
    const bool delivered = m_caller.end();
    m_core.parts.metrics.add("whinyard_answers_total");
    m_core.parts.metrics.observe("whinyard_answer_seconds", now() - m_arrived);
    log::info(delivered ? "answered" : "caller left", { { "request", m_request.id }, { "lastEvent", std::to_string(m_lastEvent.value_or(0)) }, { "model", model().value }, { "confidence", std::to_string(attempt.reply().confidence.value_or(0)) }, { "firstEventMs", m_firstEventAt ? text(*m_firstEventAt - m_arrived) : "" }, { "elapsedMs", text(now() - m_arrived) } });
    return AttemptEnd::answered;
}

// Passes on the events that `bytes` complete. Returns false when the stream can't go on.
bool ForwardRun::relay(ForwardAttempt& attempt, endpoint::EventFramer& framer, std::string_view bytes)
{
    const endpoint::FramedEvents events = framer.feed(bytes);
    if (events.count > 0) {
        m_latestEventAt = now();
        m_silentSince = now();
        if (!m_firstEventAt) {
            m_firstEventAt = m_latestEventAt;
            attempt.firstByte();
        }
        if (!m_streaming) {
            m_streaming = true;
            m_core.parts.metrics.observe("whinyard_first_event_seconds", now() - m_arrived);
            m_caller.begin(attempt.head());
        }
        m_events += events.count;
        m_caller.write(events.bytes);
        m_lastEvent = events.lastId;
    }
    return !events.outOfOrder && !m_callerLeft;
}

void ForwardRun::noteOutcome(const ForwardAttempt& attempt, bool failed)
{
    policy::VersionOutcome outcome;
    outcome.endpoint = attempt.target().endpoint.name;
    outcome.failed = failed;
    outcome.connectionLost = failed && !m_failedAnswer;
    outcome.measure = m_admission.route->name + "/" + model().value;
    const SteadyTime end = m_firstEventAt.value_or(now());
    const auto began = now() - attempt.age();
    if (!failed && !m_stalled && m_admission.route->isGenerative && attempt.target().endpoint.plan.reason != policy::ChoiceReason::cachedPrefix)
        m_core.rates.learn(model(), costOf(model()), m_request.promptTokens, end - began);
    outcome.time = std::chrono::duration_cast<std::chrono::microseconds>(end - began);
    // What is known of the endpoint's own slowness must not excuse its version.
    outcome.expected = attempt.target().endpoint.plan.soundWait;
    if (!failed && m_admission.route->isGenerative)
        m_core.parts.directory.recordExpectation(attempt.target().endpoint.name, outcome.time, outcome.expected, now());
    outcome.wasSeenWhole = !streams() || m_events > policy::VersionShifts::minimumPauses;
    if (m_events > policy::VersionShifts::minimumPauses)
        outcome.pause = std::chrono::duration_cast<std::chrono::microseconds>(*m_latestEventAt - *m_firstEventAt) / (m_events - 1);
    m_core.parts.shifts.recordOutcome(attempt.target().service, attempt.target().version, outcome, now());
}

bool ForwardRun::mayGoOn(AttemptEnd end)
{
    if (m_callerLeft)
        return false;
    if (end == AttemptEnd::steppedUp)
        return true;
    const bool mayHaveRun = end != AttemptEnd::notRun;
    if (mayHaveRun && (!repeatable() || m_sent >= m_admission.route->maximumAttempts))
        return false;
    if (!mayHaveRun && m_refused >= mostRefusals)
        return false;
    if (timeLeft() < shortestAttempt)
        return false;
    // An attempt that never reached its endpoint is no arrival there.
    const bool reached = mayHaveRun || m_failure.kind != ErrorKind::peerUnreachable;
    const bool granted = !reached || m_stalled || m_core.budgetOf(m_service).take(now());
    log::info(granted ? "attempt repeated" : "repeats are spent", { { "request", m_request.id }, { "service", m_service.value }, { "after", m_failure.reason }, { "attempts", std::to_string(m_sent + m_refused) }, { "timeLeftMs", text(timeLeft()) } });
    if (granted && reached)
        m_core.parts.metrics.add("whinyard_repeats_total");
    return granted;
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
    if (m_runState != RunState::notRun && promisesNotRun(failure.kind))
        failure.kind = ErrorKind::endpointFailed;
    // Nothing was begun, whatever kept it from being sent: the caller may try again.
    if (m_runState == RunState::notRun && !promisesNotRun(failure.kind) && failure.kind != ErrorKind::unknownRoute && failure.kind != ErrorKind::unauthenticated)
        failure.kind = ErrorKind::overloaded;
    if (m_runState == RunState::notRun && failure.retryAfter.count() == 0)
        failure.retryAfter = m_core.settings.comeBackAfter;
    log::info("refused", { { "request", m_request.id }, { "kind", std::string(answerFor(failure.kind).name) }, { "notRun", failure.runState == RunState::notRun ? "true" : "false" }, { "reason", failure.reason }, { "retryAfterMs", text(failure.retryAfter) }, { "elapsedMs", text(now() - m_arrived) } });
    m_core.parts.metrics.add("whinyard_refusals_total{kind=\"" + std::string(answerFor(failure.kind).name) + "\"}");
    m_caller.send(m_core.parts.codec.encodeFailure(m_request.id, failure));
}

}
