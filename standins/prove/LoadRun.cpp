#include "prove/LoadRun.h"

#include <algorithm>

namespace whinyard::standin {

namespace {

    using namespace std::chrono_literals;
    using nlohmann::json;

    constexpr std::size_t chatsOfAThread = 5;
    constexpr std::size_t triesUnderLoad = 5; // Of a key, before it is put off until the load has ended.
    constexpr auto probeInterval = 200ms;
    constexpr double impatientShare = 0.03; // Of callers who go away before the end.
    constexpr std::chrono::milliseconds longestPause { 400 };

    // A prompt's first part that many requests share, as applications' instructions are.
    const std::string& sharedInstructions()
    {
        static const std::string text = "You write observation reports for mentors. Name what went well, what to try next, and one goal for the coming week. Use plain words and short sentences.";
        return text;
    }

    // Returns the history of an endpoint, an empty object when it gives none.
    json historyOf(net::HttpClient& client, const std::string& endpoint)
    {
        Failure failure;
        const auto address = net::parseAddress(endpoint, failure);
        if (!address)
            return json::object();
        net::HttpCallProgress progress;
        const auto response = client.call(*address, { .method = "GET", .target = "/control/history", .fields = {}, .body = {} }, { .timeout = 10s, .bodyLimit = 256 * 1024 * 1024 }, progress, failure);
        const json body = response ? json::parse(response->body, nullptr, false) : json();
        return body.is_object() ? body : json::object();
    }

}

LoadRun::LoadRun(net::Duty& duty, net::HttpClient& client, const Clock& clock, const LoadPlan& plan)
    : m_duty(duty)
    , m_clock(clock)
    , m_plan(plan)
    , m_random(plan.seed)
    , m_balancer(client)
    , m_caller(client, clock)
    , m_client(client)
{
    for (const LoadInstance& instance : plan.instances) {
        Failure failure;
        const auto callers = net::parseAddress(instance.callers, failure);
        const auto readiness = net::parseAddress(instance.readiness, failure);
        if (callers && readiness)
            m_balancer.add(*callers, *readiness);
    }
}

Observations LoadRun::run(std::chrono::milliseconds duration, std::chrono::milliseconds settling)
{
    m_end = m_clock.now() + duration;
    const SteadyTime settled = m_end + settling;
    startWorker([this] {
        while (m_clock.now() < m_end) {
            m_balancer.probe();
            net::sleepFor(probeInterval);
        }
    });
    for (std::size_t number = 0; number < m_plan.chatWorkers; ++number)
        startWorker([this, number] { chatWorker(number); });
    for (std::size_t number = 0; number < m_plan.callWorkers; ++number)
        startWorker([this, number] { callWorker(number); });
    while (m_workers > 0)
        m_workerEnded.wait(1s);
    settle(settled);
    readHistories();
    return std::move(m_seen);
}

void LoadRun::startWorker(std::function<void()> work)
{
    ++m_workers;
    m_duty.spawn([this, work = std::move(work)] {
        work();
        --m_workers;
        m_workerEnded.notify();
    });
}

void LoadRun::chatWorker(std::size_t number)
{
    Thread thread;
    for (std::size_t count = 0; m_clock.now() < m_end; ++count) {
        if (thread.left == 0) {
            const LoadCustomer& customer = m_plan.customers[below(m_random, m_plan.customers.size())];
            thread = { .customer = &customer, .model = customer.models[below(m_random, customer.models.size())], .left = chatsOfAThread };
        }
        --thread.left;
        chat(thread, number, count);
    }
}

void LoadRun::chat(Thread& thread, std::size_t worker, std::size_t count)
{
    const std::string place = std::to_string(worker) + "-" + std::to_string(count);
    // Without an identity the router may pin anew, so a new name begins.
    if (thread.session.empty())
        thread.name = "thread-" + place;
    ChatObservation chat { .customer = thread.customer->name, .model = thread.model, .stream = uniform(m_random) < 0.5, .session = thread.name };
    chat.messages = json::array({ { { "role", "system" }, { "content", sharedInstructions() } }, { { "role", "user" }, { "content", "Report " + place + ", please." } } });
    chat.seed = below(m_random, 1'000'000);
    chat.maxTokens = uniform(m_random) < 0.3 ? 5 : 0;
    json body { { "model", chat.model }, { "messages", chat.messages }, { "seed", chat.seed }, { "stream", chat.stream } };
    if (chat.maxTokens != 0)
        body["max_tokens"] = chat.maxTokens;

    const bool patient = uniform(m_random) >= impatientShare;
    ChatReply reply = m_caller.chat(m_balancer.next(), thread.customer->key, thread.session, body, patient);
    chat.answer = std::move(reply.answer);
    chat.version = std::move(reply.version);
    chat.text = std::move(reply.text);
    chat.completionTokens = reply.completionTokens;
    if (chat.answer.outcome == CallerOutcome::whole && !reply.session.empty())
        thread.session = reply.session;
    const std::chrono::milliseconds retryAfter(chat.answer.retryAfterMs);
    m_seen.chats.push_back(std::move(chat));
    pause(retryAfter);
}

void LoadRun::callWorker(std::size_t number)
{
    for (std::size_t count = 0; m_clock.now() < m_end; ++count)
        runKey("key-" + std::to_string(m_plan.seed) + "-" + std::to_string(number) + "-" + std::to_string(count));
}

void LoadRun::runKey(const std::string& key)
{
    // Some callers send their call twice at once, some again although it is answered.
    if (uniform(m_random) < 0.2)
        startWorker([this, key] { ask(customerOf(key), key); });
    const KeyState state = askSeveralTimes(key);
    if (state == KeyState::open)
        m_open.push_back(key);
    if (state == KeyState::answered && uniform(m_random) < 0.3)
        ask(customerOf(key), key);
}

LoadRun::KeyState LoadRun::askSeveralTimes(const std::string& key)
{
    for (std::size_t tries = 0; tries < triesUnderLoad; ++tries) {
        const KeyState state = ask(customerOf(key), key);
        if (state != KeyState::open)
            return state;
    }
    return KeyState::open;
}

LoadRun::KeyState LoadRun::ask(const LoadCustomer& customer, const std::string& key)
{
    const std::string target = "/v1/services/" + m_plan.service + "/confirm/" + key;
    CallObservation call { .customer = customer.name, .service = m_plan.service, .key = key };
    call.answer = m_caller.call(m_balancer.next(), customer.key, target, key, { { "match", key } });
    const CallerAnswer answer = call.answer;
    m_seen.calls.push_back(std::move(call));
    pause(std::chrono::milliseconds(answer.retryAfterMs));
    if (answer.outcome == CallerOutcome::whole)
        return KeyState::answered;
    const auto kind = errorKindNamed(answer.kind);
    const bool final = answer.outcome == CallerOutcome::refused && kind && !answerFor(*kind).retryable;
    return final ? KeyState::closed : KeyState::open;
}

void LoadRun::settle(SteadyTime end)
{
    while (!m_open.empty() && m_clock.now() < end) {
        m_balancer.probe();
        std::erase_if(m_open, [this](const std::string& key) { return ask(customerOf(key), key) != KeyState::open; });
    }
    m_seen.undecided = m_open;
}

void LoadRun::readHistories()
{
    for (const std::string& service : m_plan.services) {
        const json history = historyOf(m_client, service);
        for (const json& run : history.value("runs", json::array()))
            m_seen.serviceRuns.push_back(run.get<ServiceExecution>());
        noteLateWork(service, history);
    }
    for (const std::string& engine : m_plan.engines) {
        const json history = historyOf(m_client, engine);
        for (const json& run : history.value("runs", json::array()))
            m_seen.engineRuns.push_back(run.get<EngineExecution>());
        noteLateWork(engine, history);
    }
}

void LoadRun::noteLateWork(const std::string& endpoint, const json& history)
{
    for (const json& afterMs : history.value("refusalsMs", json::array()))
        m_seen.lateWork.push_back({ endpoint, afterMs.get<std::int64_t>() });
}

const LoadCustomer& LoadRun::customerOf(const std::string& key) const
{
    return m_plan.customers[stableHash(key) % m_plan.customers.size()];
}

void LoadRun::pause(std::chrono::milliseconds atLeast)
{
    const std::chrono::milliseconds usual(m_plan.pauseMs);
    net::sleepFor(std::max(usual, std::min(atLeast, longestPause)) + std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(m_plan.pauseMs) + 1)));
}

}
