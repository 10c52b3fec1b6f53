#include "whinyard/replay/Simulator.h"

#include "internal/ExactLimits.h"
#include "internal/Strategy.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

namespace whinyard::replay {

namespace {

    using std::chrono::microseconds;
    using std::chrono::milliseconds;

    constexpr int patienceFactor = 5; // A caller gives up after this many times its bound for the first token.
    constexpr milliseconds tickInterval { 100 };
    constexpr std::chrono::seconds afterLastRequest { 120 };

    // One run: the path of each request, as the router would take it, between the strategy and the fakes.
    class Simulation {
    public:
        Simulation(const Trace& trace, StrategyKind kind, std::uint64_t seed)
            : m_trace(trace)
            , m_kind(kind)
            , m_random(stableHash("simulation", seed))
            , m_world { trace, m_events, {}, std::vector<bool>(trace.instances, false) }
            , m_limits(applyExactLimits(trace))
            , m_calls(trace.requests.size())
        {
            for (std::size_t engine = 0; engine < trace.engines.size(); ++engine) {
                FakeEngine::Listener listener { [this](std::uint64_t job) { onFirstToken(job); }, [this](std::uint64_t job) { onFinished(job); } };
                m_world.engines.push_back(std::make_unique<FakeEngine>(trace.engines[engine], m_events, std::move(listener)));
            }
            m_strategy = makeStrategy(kind, m_world, seed);
        }

        RunResult run()
        {
            for (std::size_t i = 0; i < m_trace.requests.size(); ++i)
                m_events.at(timeOf(m_trace.requests[i].at), [this, i] { arrive(i); });
            for (const TraceFailure& failure : m_trace.failures)
                m_events.at(timeOf(failure.at), [this, &failure] { strike(failure); });
            const SteadyTime end = EventQueue::start + (m_trace.requests.empty() ? TraceTime(0) : m_trace.requests.back().at) + afterLastRequest;
            repeat(tickInterval, end, [this] { m_strategy->tick(); });
            repeat(m_trace.times.gossipInterval, end, [this] { m_strategy->gossip(); });
            repeat(m_trace.times.reportInterval, end, [this] { report(); });
            m_events.runUntil(end);
            return std::move(m_result);
        }

    private:
        static SteadyTime timeOf(TraceTime at) { return EventQueue::start + at; }

        void repeat(milliseconds interval, SteadyTime end, const std::function<void()>& task)
        {
            for (SteadyTime at = EventQueue::start; at < end; at += interval)
                m_events.at(at, task);
        }

        // ---- The path of a request ----

        void arrive(std::size_t index)
        {
            Call& call = m_calls[index];
            call.request = &m_trace.requests[index];
            call.id = { 1, index + 1 };
            call.arrivedAt = m_events.now();
            call.instance = liveInstance(index);
            ++(m_limits.contended[index] ? m_result.contended : m_result.requests);
            if (m_limits.refused[index] && !isProduct())
                return;
            m_events.after(patienceOf(call), [this, index] { loseHope(index); });
            obey(index, m_strategy->begin(call));
        }

        std::size_t liveInstance(std::size_t index) const
        {
            std::size_t instance = stableHash("arrival", index) % m_trace.instances;
            while (m_world.instanceLost[instance])
                instance = (instance + 1) % m_trace.instances;
            return instance;
        }

        void obey(std::size_t index, const Decision& decision)
        {
            Call& call = m_calls[index];
            if (call.ended)
                return;
            switch (decision.action) {
            case Decision::Action::refuse:
                return refuse(index, m_result.refused);
            case Decision::Action::show:
                show(index);
                return complete(index);
            case Decision::Action::dispatch:
                m_events.after(decision.delay, [this, index, decision] { dispatch(index, decision); });
            }
        }

        void dispatch(std::size_t index, const Decision& decision)
        {
            Call& call = m_calls[index];
            if (call.ended)
                return;
            ++call.attempt;
            call.version = decision.version;
            call.engine = decision.engine;
            call.judged = decision.judged;
            call.dispatchedAt = m_events.now();
            call.firstTokenSeen = false;
            m_strategy->dispatched(call);
            const std::uint64_t job = m_nextJob++;
            m_jobs[job] = index;
            m_jobOf[index] = job;
            m_events.after(m_trace.times.hop, [this, index, job] { submit(index, job); });
            if (const auto patience = m_strategy->patienceFor(call))
                m_events.after(*patience, [this, index, job] { reconsider(index, job); });
        }

        // An attempt has no first token yet: the strategy may give it up for another engine.
        void reconsider(std::size_t index, std::uint64_t job)
        {
            Call& call = m_calls[index];
            if (!isCurrent(index, job) || call.firstTokenSeen)
                return;
            const Decision decision = m_strategy->elsewhere(call);
            if (decision.action != Decision::Action::dispatch)
                return;
            stopWork(index, policy::EndpointOutcome::cancelled);
            ++call.redispatches;
            obey(index, decision);
        }

        void submit(std::size_t index, std::uint64_t job)
        {
            if (!isCurrent(index, job))
                return;
            const Call& call = m_calls[index];
            FakeEngine& engine = *m_world.engines[call.engine];
            if (engine.isLost()) {
                m_events.after(m_trace.times.failureDetection, [this, index, job] { fail(index, job); });
                return;
            }
            engine.submit({ job, call.request->session, call.request->promptTokens, call.request->prefixTokens, call.request->completionTokens });
        }

        void onFirstToken(std::uint64_t job)
        {
            const std::size_t index = m_jobs.at(job);
            m_events.after(m_trace.times.hop, [this, index, job] {
                if (!isCurrent(index, job))
                    return;
                Call& call = m_calls[index];
                call.firstTokenSeen = true;
                m_strategy->firstToken(call);
                if (!call.judged)
                    show(index);
            });
        }

        void onFinished(std::uint64_t job)
        {
            const std::size_t index = m_jobs.at(job);
            const Call& now = m_calls[index];
            account(index, now.request->promptTokens + now.request->completionTokens);
            m_events.after(m_trace.times.hop, [this, index, job] {
                if (!isCurrent(index, job))
                    return;
                Call& call = m_calls[index];
                m_jobOf.erase(index);
                m_strategy->attemptEnded(call, policy::EndpointOutcome::succeeded);
                if (!call.judged)
                    return complete(index);
                m_events.after(m_trace.times.judgeTime, [this, index] { judge(index); });
            });
        }

        void judge(std::size_t index)
        {
            Call& call = m_calls[index];
            if (call.ended)
                return;
            std::optional<double> score;
            if (m_world.ratingsUp && uniform(m_random) < m_trace.times.judgedShare)
                score = ratingOf(call);
            obey(index, m_strategy->afterAnswer(call, score));
        }

        // An attempt failed at a lost engine.
        void fail(std::size_t index, std::uint64_t job)
        {
            if (!isCurrent(index, job))
                return;
            Call& call = m_calls[index];
            m_jobOf.erase(index);
            m_strategy->attemptEnded(call, policy::EndpointOutcome::failed);
            call.tried.push_back(call.engine);
            if (call.shown)
                return end(index, m_result.cut);
            obey(index, m_strategy->afterFailure(call));
        }

        void show(std::size_t index)
        {
            Call& call = m_calls[index];
            if (call.shown)
                return;
            call.shown = true;
            m_strategy->beganToShow(call);
            m_result.contendedServed += m_limits.contended[index];
            if (m_limits.contended[index])
                return;
            m_result.firstToken.push_back(std::chrono::duration_cast<microseconds>(m_events.now() - call.arrivedAt));
            const float quality = qualityOf(call);
            m_result.badShown += quality < badMark;
            if (m_world.isBad(call.version, call.dispatchedAt)) {
                ++m_result.exposed;
                m_result.badVersionShown += quality < badMark;
            }
            const auto [previous, isNew] = m_sessionVersion.try_emplace(call.request->session, call.version);
            m_result.sessionsMoved += !isNew && previous->second != call.version;
            previous->second = call.version;
        }

        void complete(std::size_t index)
        {
            Call& call = m_calls[index];
            if (!m_limits.contended[index])
                m_result.qualitySum += qualityOf(call);
            scheduleRating(index, call.version);
            end(index, m_result.answered);
        }

        void refuse(std::size_t index, std::uint64_t& count)
        {
            Call& call = m_calls[index];
            stopWork(index, policy::EndpointOutcome::cancelled);
            m_result.workRefused += call.worked;
            if (!m_limits.contended[index])
                m_result.firstToken.push_back(patienceOf(call));
            end(index, count);
        }

        void loseHope(std::size_t index)
        {
            Call& call = m_calls[index];
            if (!call.ended && !call.shown)
                refuse(index, m_result.givenUp);
        }

        void end(std::size_t index, std::uint64_t& count)
        {
            Call& call = m_calls[index];
            if (call.ended)
                return;
            stopWork(index, policy::EndpointOutcome::cancelled);
            call.ended = true;
            m_strategy->callEnded(call);
            if (m_limits.contended[index])
                return;
            ++count;
            m_result.cost += call.cost;
        }

        void stopWork(std::size_t index, policy::EndpointOutcome outcome)
        {
            const auto job = m_jobOf.find(index);
            if (job == m_jobOf.end())
                return;
            Call& call = m_calls[index];
            account(index, m_world.engines[call.engine]->cancel(job->second));
            m_jobOf.erase(job);
            m_strategy->attemptEnded(call, outcome);
        }

        // ---- Accounts ----

        bool isProduct() const { return m_kind == StrategyKind::whinyard || m_kind == StrategyKind::whinyardUnjudged; }
        bool isCurrent(std::size_t index, std::uint64_t job) const
        {
            const auto current = m_jobOf.find(index);
            return current != m_jobOf.end() && current->second == job;
        }

        microseconds patienceOf(const Call& call) const { return patienceFactor * m_trace.firstTokenWithin[call.request->application]; }
        float qualityOf(const Call& call) const { return m_world.quality(*call.request, call.version, call.dispatchedAt); }

        void account(std::size_t index, std::uint64_t tokens)
        {
            Call& call = m_calls[index];
            call.worked += tokens;
            call.cost += m_trace.document.versions[call.version].costPerThousandTokens * static_cast<double>(tokens) / 1'000;
            m_result.work += tokens;
        }

        double ratingOf(const Call& call)
        {
            const double noise = (2 * uniform(m_random) - 1) * m_trace.times.ratingNoise;
            return std::clamp(qualityOf(call) + noise, 0.0, 1.0);
        }

        void scheduleRating(std::size_t index, std::size_t version)
        {
            const double score = ratingOf(m_calls[index]);
            const bool comes = uniform(m_random) < m_trace.times.ratedShare;
            const double lag = -std::log1p(-uniform(m_random)) * std::chrono::duration<double>(m_trace.times.ratingLag).count();
            if (!comes || m_calls[index].judged)
                return; // A judged answer has its rating already.
            m_events.after(milliseconds(static_cast<std::int64_t>(lag * 1'000)), [this, index, version, score] {
                if (m_world.ratingsUp && !m_world.instanceLost[m_calls[index].instance])
                    m_strategy->rated(m_calls[index], version, score);
            });
        }

        // ---- The surroundings ----

        void report()
        {
            for (std::size_t i = 0; i < m_world.engines.size(); ++i) {
                const FakeEngine& engine = *m_world.engines[i];
                if (engine.isLost())
                    continue;
                policy::LoadReport report;
                report.queued = engine.queued();
                report.running = engine.running();
                report.slots = engine.description().slots;
                report.step = engine.description().step;
                report.measuredAt = m_events.now();
                m_events.after(m_trace.times.reportLag, [this, i, report] { m_strategy->reported(i, report); });
            }
        }

        void strike(const TraceFailure& failure)
        {
            switch (failure.kind) {
            case FailureKind::zoneLost:
                return loseZone(ZoneName { failure.subject });
            case FailureKind::versionTurnsBad:
                return; // World::quality() knows.
            case FailureKind::storeDown:
            case FailureKind::storeUp:
                m_world.storeReachable = failure.kind == FailureKind::storeUp;
                return m_strategy->storeChanged();
            case FailureKind::ratingsDown:
            case FailureKind::ratingsUp:
                m_world.ratingsUp = failure.kind == FailureKind::ratingsUp;
            }
        }

        void loseZone(const ZoneName& zone)
        {
            for (std::size_t instance = 0; instance < m_world.instanceLost.size(); ++instance) {
                if (m_trace.zones[instance % m_trace.zones.size()] == zone)
                    loseInstance(instance);
            }
            for (auto& engine : m_world.engines) {
                if (engine->description().zone != zone)
                    continue;
                for (const std::uint64_t job : engine->lose()) {
                    const std::size_t index = m_jobs.at(job);
                    m_events.after(m_trace.times.failureDetection, [this, index, job] { fail(index, job); });
                }
            }
            m_events.after(m_trace.times.listLag, [this] { m_strategy->engineListChanged(); });
        }

        void loseInstance(std::size_t instance)
        {
            m_world.instanceLost[instance] = true;
            for (std::size_t index = 0; index < m_calls.size(); ++index) {
                if (m_calls[index].request && !m_calls[index].ended && m_calls[index].instance == instance)
                    end(index, m_result.cut);
            }
        }

        const Trace& m_trace;
        StrategyKind m_kind;
        Random m_random;
        EventQueue m_events;
        World m_world;
        std::unique_ptr<Strategy> m_strategy;
        LimitOutcome m_limits;
        std::vector<Call> m_calls;
        std::unordered_map<std::uint64_t, std::size_t> m_jobs; // The call of every job.
        std::unordered_map<std::size_t, std::uint64_t> m_jobOf; // The job that a call waits for.
        std::unordered_map<std::uint32_t, std::size_t> m_sessionVersion;
        std::uint64_t m_nextJob = 1;
        RunResult m_result;
    };

}

RunResult runStrategy(const Trace& trace, StrategyKind kind, std::uint64_t seed)
{
    return Simulation(trace, kind, seed).run();
}

}
