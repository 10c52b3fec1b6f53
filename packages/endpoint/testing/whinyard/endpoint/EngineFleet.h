// Many instances before one set of engines, on a virtual clock: which engine each request goes to, and how full the engines get.
//
// The engines run as many requests as they have slots, prefill them one after another, and never preempt: tests read how much memory
// they would need.
#pragma once

#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/policy/AnswerLengths.h"
#include "whinyard/policy/RepeatedReports.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numbers>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::endpoint::fleet {

using namespace std::chrono_literals;

inline constexpr std::uint32_t capacity = 399'372;
inline constexpr std::chrono::nanoseconds prefillOfToken { 8'929 }; // 112 tokens per millisecond.
inline constexpr std::chrono::milliseconds tokenTime { 12 };
inline constexpr std::chrono::milliseconds worthTelling { 25 };
inline constexpr std::chrono::milliseconds slack { 250 }; // Added to durations, as daemons do.
inline constexpr std::chrono::milliseconds way { 1 }; // Of a notice.
inline constexpr std::chrono::milliseconds roomSlack { 500 }; // As the forwarder waits beyond what was expected.
inline constexpr std::chrono::seconds objective { 2 };
inline constexpr std::chrono::seconds deadline { 15 };
inline constexpr std::uint32_t stallingTokens = 25'000;
inline const VersionName version { "lm@v1" };

inline double normal(Random& random)
{
    return std::sqrt(-2 * std::log(1 - uniform(random))) * std::cos(2 * std::numbers::pi * uniform(random));
}

struct Load {
    std::size_t instances = 58;
    std::size_t engines = 90;
    std::uint32_t slots = 16;
    double longPerSecond = 109;
    double shortPerSecond = 50;
    bool accounts = true;
    double lostNotices = 0;
    std::size_t mostTold = 96; // Instances that hear of one request.
    std::uint64_t seed = 1;
};

struct Request {
    std::size_t instance = 0;
    std::size_t engine = 0;
    std::uint32_t prompt = 0;
    std::uint32_t answer = 0;
    std::uint32_t estimate = 0;
    std::uint64_t life = 0; // Of the engine's process.
    SteadyTime arrived;
    SteadyTime prefilled; // max(): it waits for a slot.
    SteadyTime ended;
    std::optional<SteadyTime> roomBy;
    SteadyTime lookAt; // While it waits for room.
    policy::EngineMemory::Hold hold;
};

class EngineFleet {
public:
    explicit EngineFleet(const Load& load)
        : m_load(load)
        , m_random(load.seed)
        , m_engines(load.engines)
        , m_lengths(load.instances)
        , m_isDead(load.instances, false)
        , m_taken(load.instances)
    {
        policy::WaitSelectorSettings selector;
        selector.fullScanLimit = 64;
        std::vector<InstanceName> names;
        for (std::size_t i = 0; i < load.instances; ++i)
            names.push_back({ "entry-" + std::to_string(i) });
        for (std::size_t i = 0; i < load.instances; ++i) {
            m_directories.push_back(std::make_unique<EndpointDirectory>(ZoneName { "z" }, Random(load.seed + i), policy::EndpointTableSettings {}, selector));
            directory(i).useInstances(names[i], names);
            if (load.accounts)
                directory(i).useCacheTokens({ { { "lm" }, capacity } });
            directory(i).replace(listed(), now);
        }
    }

    EndpointDirectory& directory(std::size_t instance) { return *m_directories[instance]; }

    void run(std::chrono::milliseconds duration)
    {
        for (const SteadyTime end = now + duration; now < end; now += 1ms) {
            deliver();
            endRequests();
            retryWaiting();
            arrive(m_dueLong, m_load.longPerSecond, true);
            arrive(m_dueShort, m_load.shortPerSecond, false);
            if (now.time_since_epoch() % 200ms == 0ms)
                refresh();
            if (now.time_since_epoch() % 20ms == 0ms)
                measure();
        }
    }

    void stopLoad() { m_load.longPerSecond = m_load.shortPerSecond = 0; }

    // The instance ends: engines drop its requests, and nobody hears of it.
    void kill(std::size_t instance)
    {
        m_isDead[instance] = true;
        for (Engine& engine : m_engines)
            std::erase_if(engine.requests, [&](const Request& request) { return request.instance == instance; });
        std::erase_if(m_waiting, [&](const Request& request) { return request.instance == instance; });
    }

    void restart(std::size_t engine)
    {
        for (const Request& request : m_engines[engine].requests) {
            directory(request.instance).releaseMemory(request.hold);
            directory(request.instance).recordEnd(name(engine), EndpointOutcome::cancelled, now - request.arrived, now);
        }
        m_engines[engine].requests.clear();
        m_engines[engine].prefillFreeAt = now;
        ++m_engines[engine].life;
        for (std::size_t i = 0; i < m_load.instances; ++i)
            directory(i).replace(listed(), now);
    }

    // Returns the tokens that the engine's running requests hold.
    double held(std::size_t engine) const
    {
        double sum = 0;
        for (const Request& request : m_engines[engine].requests) {
            if (request.prefilled == SteadyTime::max())
                continue;
            const double generating = std::chrono::duration<double>(now - request.prefilled) / std::chrono::duration<double>(request.ended - request.prefilled);
            sum += request.prompt + request.answer * std::clamp(generating, 0.0, 1.0);
        }
        return sum;
    }

    SteadyTime now { 1h };
    double mostShare = 0; // Of an engine's memory, at any time.
    std::size_t overfilled = 0; // Measurements of an engine above its memory.
    std::size_t longArrived = 0;
    std::size_t longServed = 0;
    std::size_t longInTime = 0;
    std::size_t refused = 0;
    std::size_t avoided = 0;
    std::chrono::nanoseconds longestHeldBack { 0 }; // Until a refusal.
    std::map<std::size_t, std::size_t> dispatches; // By engine, since the test cleared it.

private:
    struct Engine {
        std::vector<Request> requests; // The waiting ones last.
        SteadyTime prefillFreeAt;
        std::uint64_t life = 1;
    };

    struct Notice {
        SteadyTime at;
        std::size_t to = 0;
        std::size_t engine = 0;
        std::chrono::nanoseconds work { 0 };
        std::uint32_t tokens = 0;
        std::chrono::nanoseconds duration { 0 };
        std::uint64_t identity = 0;
    };

    static EndpointName name(std::size_t engine) { return { "e" + std::to_string(engine) }; }

    std::vector<backing::ListedEndpoint> listed() const
    {
        std::vector<backing::ListedEndpoint> list;
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            backing::ListedEndpoint endpoint;
            endpoint.name = name(i);
            endpoint.zone = { "z" };
            endpoint.service = { "lm" };
            endpoint.versions = { version };
            endpoint.address = { "10.0.0.1", static_cast<std::uint16_t>(i + 1) };
            endpoint.slots = m_load.slots;
            endpoint.born = m_engines[i].life;
            list.push_back(endpoint);
        }
        return list;
    }

    void arrive(double& due, double perSecond, bool isLong)
    {
        for (due += perSecond / 1'000; due >= 1; due -= 1) {
            Request request;
            request.instance = below(m_random, m_load.instances);
            // A mean of 12,000 tokens, a tenth above 25,000, and some of 60,000.
            request.prompt = isLong ? std::min(60'000U, static_cast<std::uint32_t>(8'600 * std::exp(0.83 * normal(m_random)))) : 2'368;
            request.answer = static_cast<std::uint32_t>(380 * std::exp(0.5 * normal(m_random)));
            request.estimate = static_cast<std::uint32_t>(1 + request.answer * std::exp(normal(m_random)));
            request.arrived = now;
            if (m_isDead[request.instance])
                continue;
            longArrived += isLong ? 1 : 0;
            send(request);
        }
    }

    void send(Request& request)
    {
        EndpointWish wish;
        const bool isLong = request.prompt != 2'368;
        wish.version = version;
        wish.promptTokens = request.prompt;
        wish.tokenTime = prefillOfToken;
        wish.stallsOthers = request.prompt > stallingTokens;
        wish.affinity = stableHash(wish.stallsOthers ? "prompts that stall others" : isLong ? "long"
                                                                                            : "short");
        const std::uint32_t answer = m_lengths[request.instance].expected("r", request.estimate, 2'000);
        if (m_load.accounts) {
            wish.neededTokens = request.prompt + answer;
            wish.roomBy = std::min(request.roomBy.value_or(SteadyTime::max()), request.arrived + deadline - prefillOfToken * request.prompt);
        }
        Failure failure;
        EndpointDirectory& chooser = directory(request.instance);
        const std::optional<ChosenEndpoint> chosen = chooser.choose(wish, now, failure);
        avoided += chooser.lastPlan().avoidedFull ? 1 : 0;
        if (!chosen) {
            ++refused;
            EXPECT_EQ(failure.kind, ErrorKind::overloaded);
            EXPECT_GT(failure.retryAfter, 0ms);
            longestHeldBack = std::max<std::chrono::nanoseconds>(longestHeldBack, now - request.arrived);
            return;
        }
        if (chosen->plan.roomWait > 0us) {
            request.roomBy = request.roomBy.value_or(now + chosen->plan.roomWait + roomSlack);
            request.lookAt = now + std::min<std::chrono::nanoseconds>(chosen->plan.roomWait, std::chrono::milliseconds(50 + below(m_random, 50)));
            m_waiting.push_back(request);
            return;
        }
        request.engine = chosen->address.port - 1U;
        ++dispatches[request.engine];
        const std::chrono::nanoseconds work = chosen->plan.unqueuedWait;
        const std::chrono::nanoseconds duration = chosen->plan.expectedWait + m_lengths[request.instance].tokenTime("r") * answer;
        chooser.recordDispatch(chosen->name, {}, now);
        chooser.recordWork(chosen->name, work, now);
        request.hold = chooser.holdMemory(chosen->name, wish.neededTokens, now + duration, work < worthTelling ? 0 : telling().share);
        if (work >= worthTelling)
            tell(request.instance, request.engine, work, wish.neededTokens, duration);
        start(request);
    }

    policy::EngineMemory::Telling telling() const { return policy::EngineMemory::telling(m_load.mostTold, m_load.instances - 1); }

    void tell(std::size_t from, std::size_t engine, std::chrono::nanoseconds work, std::uint32_t tokens, std::chrono::nanoseconds duration)
    {
        const std::size_t first = below(m_random, m_load.instances);
        const std::uint64_t identity = work > 0ns && tokens > 0 ? ++m_lastReport : 0;
        for (std::size_t i = 0; i < std::min(m_load.mostTold, m_load.instances); ++i) {
            const std::size_t to = (first + i) % m_load.instances;
            if (to == from || m_isDead[to])
                continue;
            Notice notice { now + way, to, engine, work, static_cast<std::uint32_t>(tokens * telling().factor), duration + slack, identity };
            if (uniform(m_random) >= m_load.lostNotices)
                m_notices.push_back(notice);
            if (identity == 0)
                continue;
            notice.at += policy::reportRepeatedAfter;
            notice.duration -= policy::reportRepeatedAfter;
            if (uniform(m_random) >= m_load.lostNotices)
                m_repeated.push_back(notice);
        }
    }

    void deliver()
    {
        deliver(m_notices);
        deliver(m_repeated);
    }

    void deliver(std::deque<Notice>& notices)
    {
        for (; !notices.empty() && notices.front().at <= now; notices.pop_front()) {
            const Notice& notice = notices.front();
            if (!m_taken[notice.to].take(notice.identity, now))
                continue;
            directory(notice.to).recordWork(name(notice.engine), notice.work, now);
            if (notice.tokens > 0)
                directory(notice.to).takeMemoryNews(name(notice.engine), notice.tokens, notice.duration, now);
        }
    }

    // An engine runs as many requests as it has slots for, and prefills them one after another.
    void start(Request request)
    {
        Engine& engine = m_engines[request.engine];
        request.life = engine.life;
        const auto running = std::count_if(engine.requests.begin(), engine.requests.end(), [](const Request& other) { return other.prefilled != SteadyTime::max(); });
        request.prefilled = SteadyTime::max();
        if (static_cast<std::size_t>(running) < m_load.slots)
            prefill(engine, request);
        engine.requests.push_back(request);
    }

    void prefill(Engine& engine, Request& request) const
    {
        engine.prefillFreeAt = std::max(engine.prefillFreeAt, now) + prefillOfToken * request.prompt;
        request.prefilled = engine.prefillFreeAt;
        request.ended = request.prefilled + tokenTime * request.answer;
    }

    void endRequests()
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            Engine& engine = m_engines[i];
            std::size_t freed = 0;
            std::erase_if(engine.requests, [&](Request& request) {
                if (request.prefilled == SteadyTime::max() || request.ended > now)
                    return false;
                end(request);
                ++freed;
                return true;
            });
            for (Request& request : engine.requests) {
                if (freed > 0 && request.prefilled == SteadyTime::max()) {
                    prefill(engine, request);
                    --freed;
                }
            }
        }
    }

    void end(const Request& request)
    {
        EndpointDirectory& ending = directory(request.instance);
        ending.releaseMemory(request.hold);
        ending.recordEnd(name(request.engine), EndpointOutcome::succeeded, now - request.arrived, now);
        m_lengths[request.instance].learn("r", request.answer, request.ended - request.prefilled);
        if (request.prompt == 2'368)
            return;
        ++longServed;
        longInTime += request.prefilled - request.arrived <= objective ? 1 : 0;
    }

    void retryWaiting()
    {
        for (Request& request : std::exchange(m_waiting, {})) {
            if (request.lookAt <= now)
                send(request);
            else
                m_waiting.push_back(request);
        }
    }

    void refresh()
    {
        for (std::size_t i = 0; i < m_load.instances; ++i) {
            if (m_isDead[i])
                continue;
            directory(i).refresh(now);
            directory(i).tellOverdue([&](const EndpointName& engine, std::uint32_t tokens, std::chrono::nanoseconds duration) {
                tell(i, static_cast<std::size_t>(std::stoul(engine.value.substr(1))), 0ns, tokens, duration);
            });
        }
    }

    void measure()
    {
        for (std::size_t i = 0; i < m_engines.size(); ++i) {
            const double share = held(i) / capacity;
            mostShare = std::max(mostShare, share);
            overfilled += share > 1 ? 1 : 0;
        }
    }

    Load m_load;
    Random m_random;
    std::vector<std::unique_ptr<EndpointDirectory>> m_directories;
    std::vector<Engine> m_engines;
    std::vector<policy::AnswerLengths> m_lengths;
    std::vector<bool> m_isDead;
    std::vector<policy::TakenReports> m_taken;
    std::deque<Notice> m_notices;
    std::deque<Notice> m_repeated;
    std::uint64_t m_lastReport = 0;
    std::vector<Request> m_waiting;
    double m_dueLong = 0;
    double m_dueShort = 0;
};

}
