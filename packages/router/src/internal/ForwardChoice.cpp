// The part of ForwardRun that chooses: the service, the version, the model and the endpoint of the next attempt.
#include "internal/ForwardRun.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    // A prompt whose reading takes this part of the objective for pauses makes the streams on its engine late: each of
    // their events takes several steps, and each step a chunk of the prompt.
    constexpr double stallingPart = 0.75;
    // The part of the budget for repeats that better answers may take: an answer that broke off counts for more than one
    // that a larger model would have made better, and failures come many at once. Where steps could take all of it,
    // every stream of an engine that crashed was cut.
    constexpr double stepPart = 0.8;

    constexpr std::string_view stallingGroup = "prompts that stall others"; // One place on the hash ring for all of them.

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

endpoint::EndpointWish ForwardRun::wish()
{
    endpoint::EndpointWish wish;
    wish.prefix = prefixFor(model());
    // The shared parts decide where a prompt's memory is; the last part is this request's own.
    if (wish.prefix.size() > 1)
        wish.affinity = wish.prefix[wish.prefix.size() - 2];
    wish.promptTokens = m_request.promptTokens;
    if (m_admission.route->isGenerative) {
        wish.tokenTime = m_core.ratesOf(m_service).meanTokenTime(model(), costOf(model()), m_request.promptTokens);
        wish.prefixShares = prefixShares();
        wish.stallsOthers = wish.tokenTime * m_request.promptTokens > m_admission.route->pauseObjective * stallingPart;
        if (wish.stallsOthers)
            wish.affinity = stableHash(stallingGroup);
        if (!m_streaming)
            wish.firstEventDue = m_arrived + m_admission.route->objective;
    }
    wish.mayProbe = repeatable();
    wish.excluded = m_tried;
    wish.residency = m_admission.residency;
    needMemory(wish);
    return wish;
}

policy::VersionPreference ForwardRun::preferredVersions() const
{
    const auto known = m_core.versions.find(m_service);
    const std::vector<std::string> available = known == m_core.versions.end() ? std::vector<std::string> {} : known->second;
    return m_core.parts.shifts.prefer(m_service, !m_request.session.empty(), sessionDigest(), available, now());
}

std::optional<AttemptTarget> ForwardRun::chooseTarget(Failure& failure)
{
    m_hold.release();
    const policy::VersionPreference preference = preferredVersions();
    failure = { .kind = ErrorKind::noEndpoint, .reason = "no endpoint of " + m_service.value + " is known", .retryAfter = m_core.settings.comeBackAfter };
    endpoint::EndpointWish wished = wish();
    std::vector<EndpointName> others = endpointsOfOtherSuspects();
    wished.excluded.insert(wished.excluded.end(), others.begin(), others.end());
    std::optional<AttemptTarget> target;
    if (wished.among = concentrated(preference); !wished.among.empty()) {
        target = chooseAmong({ preference.versions.front() }, wished, failure);
        wished.among.clear();
    }
    if (!target || target->endpoint.plan.roomWait.count() > 0)
        target = chooseAmong(preference.versions, wished, failure);
    if (!target && !others.empty()) {
        wished.excluded = m_tried;
        target = chooseAmong(preference.versions, wished, failure);
    }
    if (!target && repeatable() && m_tried.size() > 1) {
        // All were tried. The one that failed first has had the longest time to recover.
        wished.excluded = { m_tried.back() };
        target = chooseAmong(preference.versions, wished, failure);
    }
    if (!target)
        noteRefusal(wished, failure);
    else if (m_core.parts.directory.lastPlan().avoidedFull)
        m_core.parts.metrics.add("whinyard_full_engines_avoided_total");
    return target;
}

// A repeat has callers who have waited already: it isn't kept to few endpoints.
std::vector<EndpointName> ForwardRun::concentrated(const policy::VersionPreference& preference) const
{
    if (!preference.concentration || preference.versions.empty() || !m_tried.empty())
        return {};
    return m_core.concentrated(targetName(m_service, preference.versions.front()), *preference.concentration);
}

std::optional<AttemptTarget> ForwardRun::chooseAmong(const std::vector<std::string>& versions, endpoint::EndpointWish& wished, Failure& failure)
{
    for (const std::string& version : versions) {
        wished.version = targetName(m_service, version);
        std::optional<endpoint::ChosenEndpoint> chosen = m_core.parts.directory.choose(wished, now(), failure);
        if (chosen && wished.stallsOthers)
            m_core.parts.metrics.add(chosen->plan.reason == policy::ChoiceReason::affinity ? "whinyard_stalling_prompts_total{place=\"group\"}" : "whinyard_stalling_prompts_total{place=\"other\"}");
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
void ForwardRun::noteWork(const AttemptTarget& target)
{
    const endpoint::ChosenEndpoint& endpoint = target.endpoint;
    const std::chrono::nanoseconds work = endpoint.plan.unqueuedWait;
    m_core.parts.directory.recordWork(endpoint.name, work, now());
    m_core.loadOf(target.service).work += std::chrono::duration_cast<std::chrono::microseconds>(work);
    const MemoryNeed need = memoryNeed(target);
    const double toldTo = m_core.parts.work ? m_core.parts.work->gave(endpoint.name, work, target.prefix, need) : 0;
    m_hold = EngineHold(m_core.parts.directory, endpoint.name, need.tokens, now() + need.duration, toldTo);
    m_goesOn = m_lastEvent.has_value();
}

bool ForwardRun::asksSmallModel() const
{
    return m_model == 0U && m_admission.route->models.size() > 1;
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
    const policy::EnginePrice& price = m_core.priceOf(m_service);
    const policy::PromptRates& rates = m_core.ratesOf(m_service);
    policy::ModelQuestion question;
    question.priority = route.priority;
    for (const ModelName& name : route.models) {
        const double cost = costOf(name);
        question.costs.push_back(cost);
        question.readingTimes.push_back(rates.readingTime(name, cost, m_request.promptTokens));
        question.delayShares.push_back(price.share(question.readingTimes.back(), route.objective));
    }
    question.promptTokens = m_request.promptTokens;
    question.answerTokens = m_request.expectedTokens > 0 ? m_request.expectedTokens : m_request.answerTokens;
    question.attemptsLeft = route.maximumAttempts - std::min(route.maximumAttempts, m_sent);
    question.timeToFirstEvent = m_arrived + route.objective - now();
    question.queue = price.backlog();
    question.smallSuffices = m_core.sufficiency.chance(route.name, m_request.promptTokens, now());
    return question;
}

void ForwardRun::chooseModel()
{
    if (!m_request.leavesModelOpen || m_admission.route->models.empty())
        return;
    m_model = m_core.parts.models.first(modelQuestion());
    m_core.parts.metrics.add(m_model == 0U ? "whinyard_first_model_total{size=\"smallest\"}" : "whinyard_first_model_total{size=\"larger\"}");
}

bool ForwardRun::stepsUp(const ForwardAttempt& attempt)
{
    if (!m_model || m_streaming || m_request.resumeAfter)
        return false;
    const policy::ModelQuestion question = modelQuestion();
    const std::optional<std::size_t> larger = m_core.parts.models.stepUp(question, *m_model, attempt.reply().confidence);
    if (asksSmallModel() && attempt.reply().confidence)
        m_core.sufficiency.note(m_admission.route->name, m_request.promptTokens, !larger, now());
    if (!larger || !takeRepeat(stepPart))
        return false;
    log::info("larger model asked", { { "request", m_request.id }, { "confidence", std::to_string(attempt.reply().confidence.value_or(0)) }, { "from", model().value }, { "to", m_admission.route->models[*larger].value }, { "backlogMs", text(question.queue) }, { "elapsedMs", text(now() - m_arrived) } });
    m_core.parts.metrics.add("whinyard_model_steps_total");
    m_nextModel = *larger;
    m_runState = RunState::unknown;
    return true;
}

}
