#include "internal/ProductStrategy.h"

#include <algorithm>

namespace whinyard::replay {

namespace {

    constexpr std::uint32_t missesUntilUnavailable = 3;
    constexpr std::chrono::seconds judgePause { 5 };
    const policy::RetrySettings retrySettings;
    const policy::RedispatchSettings redispatchSettings;

    InstanceName instanceName(std::size_t index) { return { "entry-" + std::to_string(index) }; }

    std::vector<policy::CustomerLimit> limitsOf(const config::Document& document)
    {
        std::vector<policy::CustomerLimit> limits;
        for (const config::Customer& customer : document.customers)
            limits.push_back({ customer.name, customer.requestsPerSecond, customer.concurrentRequests });
        return limits;
    }

}

ProductStrategy::Entry::Entry(const World& world, std::size_t index, std::uint64_t seed)
    : name(instanceName(index))
    , table(world, index, policy::makeWaitSelector())
    , limits(name, Incarnation { 1 })
    , judge(name, Incarnation { 1 })
    , budget(retrySettings)
    , redispatchBudget(redispatchSettings.budgetRatio, redispatchSettings.minimumPerSecond)
    , random(stableHash(name.value, seed))
{
    limits.replaceCustomers(limitsOf(world.trace.document));
    judge.useConfiguration(world.trace.document);
}

ProductStrategy::ProductStrategy(World& world, std::uint64_t seed, bool judgesBeforeShowing)
    : m_world(world)
    , m_judgesBeforeShowing(judgesBeforeShowing)
{
    m_configuration.revision = 1;
    m_configuration.document = world.trace.document;
    for (std::size_t i = 0; i < world.trace.instances; ++i)
        m_entries.push_back(std::make_unique<Entry>(world, i, seed));
    useFleet();
}

void ProductStrategy::useFleet()
{
    std::vector<InstanceName> live;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (!m_world.instanceLost[i])
            live.push_back(m_entries[i]->name);
    }
    for (auto& entry : m_entries) {
        std::vector<InstanceName> others = live;
        std::erase(others, entry->name);
        entry->limits.replacePeers(others, m_world.events.now());
        entry->judge.useFleet(live);
    }
}

SteadyTime ProductStrategy::deadlineOf(const Call& call) const
{
    return call.arrivedAt + m_world.trace.firstTokenWithin[call.request->application];
}

std::vector<ProductStrategy::Option> ProductStrategy::optionsFor(Call& call, const std::vector<std::size_t>& versions)
{
    Entry& entry = entryOf(call);
    const double completion = entry.planner.expectedCompletion(m_world.trace.applications[call.request->application]);
    std::vector<Option> options;
    for (const std::size_t version : versions) {
        std::chrono::microseconds wait { 0 };
        const auto engine = entry.table.choose(call, version, SteadyTime::max(), entry.random, wait);
        if (!engine)
            continue;
        const config::Version& described = m_world.trace.document.versions[version];
        options.push_back({ version, *engine, { described.name, described.costPerThousandTokens, wait, wait + entry.table.decodeTime(*engine, completion) } });
    }
    return options;
}

policy::CascadeQuestion ProductStrategy::questionFor(const Call& call, const std::vector<policy::CascadeStep>& steps)
{
    policy::CascadeQuestion question;
    question.application = m_world.trace.applications[call.request->application];
    question.qualityTarget = config::findCascade(m_world.trace.document, m_world.trace.cascade)->qualityTarget;
    question.promptTokens = call.request->promptTokens;
    question.steps = steps;
    question.firstTokenWithin = std::chrono::duration_cast<std::chrono::microseconds>(deadlineOf(call) - m_world.events.now());
    question.judgeAvailable = m_judgesBeforeShowing && m_world.events.now() >= entryOf(call).judgeAvailableFrom;
    question.judgeTime = m_world.trace.times.judgeTime;
    return question;
}

Decision ProductStrategy::begin(Call& call)
{
    Entry& entry = entryOf(call);
    const config::Customer& customer = m_world.trace.document.customers[call.request->customer];
    const policy::CustomerIndex index = *entry.limits.find(customer.name);
    if (entry.limits.admit(index, m_world.events.now()).verdict != policy::LimitVerdict::admitted)
        return refusal();
    m_admitted[call.id] = index;

    const auto session = m_sessions.find(call.request->session);
    Failure failure;
    const auto choice = policy::resolveVersion(m_configuration, customer, m_world.trace.cascade.value, session == m_sessions.end() ? nullptr : &session->second, entry.judge, entry.random, failure);
    if (!choice)
        return refusal();
    std::vector<std::size_t>& candidates = m_candidates[call.id];
    for (const VersionName& version : choice->candidates)
        candidates.push_back(m_world.trace.versionIndex(version));
    if (choice->guard)
        m_guards[call.id] = { m_world.trace.versionIndex(choice->guard->version), m_world.trace.versionIndex(choice->guard->fallback) };
    return decide(call);
}

Decision ProductStrategy::decide(Call& call)
{
    Entry& entry = entryOf(call);
    const std::vector<Option> options = optionsFor(call, m_candidates[call.id]);
    if (options.empty())
        return refusal();
    std::vector<policy::CascadeStep> steps;
    for (const Option& option : options)
        steps.push_back(option.step);
    const policy::CascadeQuestion question = questionFor(call, steps);
    const policy::CascadePlan plan = entry.planner.start(question, entry.random);
    return dispatchGuarded(call, question, options, plan);
}

// Dispatches what was planned; a version on trial is judged before it is shown where that fits the time.
Decision ProductStrategy::dispatchGuarded(Call& call, const policy::CascadeQuestion& question, const std::vector<Option>& options, const policy::CascadePlan& plan)
{
    const Option& option = options[plan.step];
    const auto guard = m_guards.find(call.id);
    if (guard == m_guards.end())
        return dispatchTo(option.version, option.engine, plan.judged);
    const std::vector<Option> fallback = optionsFor(call, { guard->second.fallback });
    const bool concerned = option.version == guard->second.version && question.judgeAvailable && !fallback.empty();
    guard->second.judged = concerned && entryOf(call).planner.leavesTimeFor(question, plan.step, fallback.front().step.firstToken);
    return dispatchTo(option.version, option.engine, plan.judged || guard->second.judged);
}

Decision ProductStrategy::afterGuardedAnswer(Call& call, const Guarded& guard, std::optional<double> score)
{
    const std::vector<Option> fallback = optionsFor(call, { guard.fallback });
    if (!score || *score >= entryOf(call).judge.badScore() || fallback.empty())
        return { Decision::Action::show, 0, 0, false, {} };
    return dispatchTo(fallback.front().version, fallback.front().engine);
}

Decision ProductStrategy::afterFailure(Call& call)
{
    Entry& entry = entryOf(call);
    policy::FailedAttempt failed;
    failed.idempotent = true;
    failed.attempt = call.attempt - call.redispatches;
    const policy::RetryPlan plan = policy::planRetry(retrySettings, failed, entry.budget, m_world.events.now(), entry.random);
    if (!plan)
        return refusal();
    Decision decision = decide(call);
    decision.delay = plan.delay;
    return decision;
}

std::optional<std::chrono::milliseconds> ProductStrategy::patienceFor(const Call& call)
{
    return policy::patienceFor(redispatchSettings, entryOf(call).table.unqueuedWait(call.engine));
}

Decision ProductStrategy::elsewhere(const Call& call)
{
    Entry& entry = entryOf(call);
    entry.table.queued(call);
    Call other = call;
    other.tried.push_back(call.engine);
    const Decision decision = decide(other);
    policy::EndpointPlan plan;
    if (decision.action == Decision::Action::dispatch)
        plan.endpoint = policy::EndpointIndex { static_cast<std::uint32_t>(decision.engine) };
    const SteadyTime now = m_world.events.now();
    policy::WaitingAttempt waiting;
    waiting.idempotent = true;
    waiting.redispatches = call.redispatches;
    waiting.waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - call.dispatchedAt);
    waiting.unqueuedWait = entry.table.unqueuedWait(call.engine);
    const auto reason = policy::planRedispatch(redispatchSettings, waiting, plan, entry.redispatchBudget, now);
    return reason == policy::RedispatchReason::redispatch ? decision : refusal();
}

Decision ProductStrategy::afterAnswer(Call& call, std::optional<double> score)
{
    Entry& entry = entryOf(call);
    entry.judgementsMissed = score ? 0 : entry.judgementsMissed + 1;
    if (entry.judgementsMissed >= missesUntilUnavailable)
        entry.judgeAvailableFrom = m_world.events.now() + judgePause;
    if (score)
        rated(call, call.version, *score);
    const auto guard = m_guards.find(call.id);
    if (guard != m_guards.end() && guard->second.judged)
        return afterGuardedAnswer(call, guard->second, score);

    const std::vector<Option> options = optionsFor(call, m_candidates[call.id]);
    std::vector<policy::CascadeStep> steps;
    for (const Option& option : options)
        steps.push_back(option.step);
    const auto current = std::find_if(options.begin(), options.end(), [&](const Option& option) { return option.version == call.version; });
    const Decision show { Decision::Action::show, 0, 0, false, {} };
    if (current == options.end())
        return show;
    const auto continuation = entry.planner.afterStep(questionFor(call, steps), static_cast<std::size_t>(current - options.begin()), score);
    if (continuation.show)
        return show;
    return dispatchGuarded(call, questionFor(call, steps), options, continuation.next);
}

void ProductStrategy::attemptEnded(const Call& call, policy::EndpointOutcome outcome)
{
    Entry& entry = entryOf(call);
    entry.table.attemptEnded(call, outcome);
    if (outcome != policy::EndpointOutcome::succeeded)
        return;
    entry.budget.earn(m_world.events.now());
    entry.redispatchBudget.earn(m_world.events.now());
    entry.planner.learnCompletion(m_world.trace.applications[call.request->application], call.request->completionTokens);
}

void ProductStrategy::beganToShow(const Call& call)
{
    Entry& entry = entryOf(call);
    const VersionName& version = m_world.trace.document.versions[call.version].name;
    entry.judge.recordExposure(version, call.id, m_world.events.now());
    auto [session, isNew] = m_sessions.try_emplace(call.request->session);
    if (isNew)
        session->second = policy::newSession(entry.random);
    session->second.pin(m_world.trace.cascade.value, version);
}

void ProductStrategy::callEnded(const Call& call)
{
    m_candidates.erase(call.id);
    m_guards.erase(call.id);
    if (const auto admitted = m_admitted.find(call.id); admitted != m_admitted.end()) {
        entryOf(call).limits.release(admitted->second);
        m_admitted.erase(admitted);
    }
}

void ProductStrategy::rated(const Call& call, std::size_t version, double score)
{
    Entry& entry = entryOf(call);
    const VersionName& name = m_world.trace.document.versions[version].name;
    entry.planner.learnRating(m_world.trace.applications[call.request->application], name, score);
    entry.judge.recordRating(name, call.id, score, m_world.events.now());
    entry.judge.refresh(m_world.events.now());
}

void ProductStrategy::reported(std::size_t engine, const policy::LoadReport& report)
{
    for (auto& entry : m_entries)
        entry->table.reported(engine, report);
}

void ProductStrategy::engineListChanged()
{
    for (auto& entry : m_entries)
        entry->table.useList();
    useFleet();
}

void ProductStrategy::storeChanged()
{
    for (auto& entry : m_entries)
        entry->judge.setStoreReachable(m_world.storeReachable);
}

void ProductStrategy::gossip()
{
    const SteadyTime now = m_world.events.now();
    for (std::size_t from = 0; from < m_entries.size(); ++from) {
        if (m_world.instanceLost[from])
            continue;
        Entry& sender = *m_entries[from];
        const std::vector<std::string> sections = sender.judge.sections();
        const bool changed = sections != sender.published;
        sender.published = sections;
        const std::vector<std::string> ratings = sender.planner.sections();
        const bool rated = ratings != sender.publishedRatings;
        sender.publishedRatings = ratings;
        const policy::DemandReport report = sender.limits.makeReport(now);
        for (std::size_t to = 0; to < m_entries.size(); ++to) {
            if (to == from || m_world.instanceLost[to])
                continue;
            m_world.events.after(m_world.trace.times.gossipLag, [this, from, to, sections, changed, ratings, rated, report] {
                Entry& receiver = *m_entries[to];
                for (const std::string& section : changed ? sections : std::vector<std::string> {})
                    receiver.judge.merge(section);
                for (const std::string& section : rated ? ratings : std::vector<std::string> {})
                    receiver.planner.merge(m_entries[from]->name, Incarnation { 1 }, section);
                receiver.limits.takeReport(m_entries[from]->name, report, m_world.events.now());
            });
        }
    }
}

void ProductStrategy::tick()
{
    for (auto& entry : m_entries) {
        entry->table.refresh();
        entry->judge.refresh(m_world.events.now());
    }
}

}
