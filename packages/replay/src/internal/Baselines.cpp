// The strategies that the product is compared with.
#include "internal/Baselines.h"

#include "internal/EntryTable.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace whinyard::replay {

namespace {

    constexpr std::uint32_t maximumAttempts = 3;

    std::unique_ptr<policy::EndpointSelector> selectorFor(StrategyKind kind)
    {
        if (kind == StrategyKind::random)
            return policy::makeRandomSelector();
        if (kind == StrategyKind::roundRobin)
            return policy::makeRoundRobinSelector();
        return policy::makeTwoChoicesSelector();
    }

    // A fixed rule for the version, and one of the simple rules for the endpoint; failed attempts are repeated at once.
    class Baseline final : public Strategy {
    public:
        Baseline(StrategyKind kind, World& world, std::uint64_t seed)
            : m_kind(kind)
            , m_world(world)
            , m_random(seed)
        {
            for (std::size_t instance = 0; instance < world.trace.instances; ++instance)
                m_tables.push_back(std::make_unique<EntryTable>(world, instance, selectorFor(kind)));
            m_turns.resize(m_tables.size());
        }

        Decision begin(Call& call) override
        {
            call.version = versionFor(call);
            return dispatch(call);
        }

        Decision afterFailure(Call& call) override { return call.attempt < maximumAttempts ? dispatch(call) : refusal(); }
        void dispatched(const Call& call) override { tableOf(call).dispatched(call); }
        void firstToken(const Call& call) override { tableOf(call).firstToken(call); }
        void attemptEnded(const Call& call, policy::EndpointOutcome outcome) override { tableOf(call).attemptEnded(call, outcome); }

        void reported(std::size_t engine, const policy::LoadReport& report) override
        {
            for (auto& table : m_tables)
                table->reported(engine, report);
        }

        void engineListChanged() override
        {
            for (auto& table : m_tables)
                table->useList();
        }

        void tick() override
        {
            for (auto& table : m_tables)
                table->refresh();
        }

    private:
        EntryTable& tableOf(const Call& call) { return *m_tables[call.instance]; }

        std::size_t versionFor(const Call& call)
        {
            switch (m_kind) {
            case StrategyKind::alwaysCheap:
                return m_world.cheapVersion();
            case StrategyKind::fixedCanary:
                return canaryVersion(call);
            case StrategyKind::random:
            case StrategyKind::twoChoices:
                return below(m_random, m_world.trace.document.versions.size());
            case StrategyKind::roundRobin:
                return m_turns[call.instance]++ % m_world.trace.document.versions.size();
            default:
                return m_world.strongVersion();
            }
        }

        // The share of sessions that the roll-out states, by a hash of the session.
        std::size_t canaryVersion(const Call& call) const
        {
            const auto& rollouts = m_world.trace.document.rollouts;
            if (rollouts.empty())
                return m_world.strongVersion();
            const double draw = static_cast<double>(stableHash("canary", call.request->session) >> 11) * 0x1.0p-53;
            return draw < rollouts.front().share ? m_world.trace.versionIndex(rollouts.front().to) : m_world.strongVersion();
        }

        Decision dispatch(Call& call)
        {
            std::chrono::microseconds wait { 0 };
            const auto engine = tableOf(call).choose(call, call.version, SteadyTime::max(), m_random, wait);
            return engine ? dispatchTo(call.version, *engine) : refusal();
        }

        StrategyKind m_kind;
        World& m_world;
        Random m_random;
        std::vector<std::unique_ptr<EntryTable>> m_tables;
        std::vector<std::size_t> m_turns;
    };

    // Sees each version's quality over the whole session, each engine's queue and each failure to come, and takes the best
    // at the session's first request; the session keeps that version unless it has turned bad. It doesn't know what other
    // sessions will ask, so it is near to the best possible, not above it in every case.
    class KnowingStrategy final : public Strategy {
    public:
        KnowingStrategy(StrategyKind kind, World& world)
            : m_kind(kind)
            , m_world(world)
        {
            for (const TraceRequest& request : world.trace.requests)
                m_requestsOf[request.session].push_back(&request);
        }

        Decision begin(Call& call) override
        {
            const auto kept = m_versionOf.find(call.request->session);
            const bool keeps = kept != m_versionOf.end() && !m_world.isBad(kept->second, m_world.events.now());
            Choice best;
            for (std::size_t version = 0; version < m_world.trace.document.versions.size(); ++version) {
                if (!keeps || version == kept->second)
                    consider(best, call, version);
            }
            if (best.engine == none)
                return refusal();
            m_versionOf[call.request->session] = best.version;
            return dispatchTo(best.version, best.engine);
        }

        Decision afterFailure(Call& call) override { return begin(call); }

    private:
        static constexpr std::size_t none = ~std::size_t { 0 };

        struct Choice {
            std::size_t version = 0;
            std::size_t engine = none;
            bool inTime = false; // The first token comes within the callers' bound.
            bool reaches = false; // The quality target.
            float quality = 0;
            double cost = std::numeric_limits<double>::infinity();
            std::chrono::microseconds wait = std::chrono::microseconds::max();
        };

        void consider(Choice& best, const Call& call, std::size_t version) const
        {
            const double target = config::findCascade(m_world.trace.document, m_world.trace.cascade)->qualityTarget;
            for (std::size_t engine = 0; engine < m_world.engines.size(); ++engine) {
                if (m_world.engines[engine]->isLost() || !m_world.serves(engine, version))
                    continue;
                const auto wait = m_world.engines[engine]->trueFirstToken(jobOf(call));
                const auto step = m_world.engines[engine]->description().step;
                if (m_world.lostAt(engine) <= m_world.events.now() + wait + step * call.request->completionTokens)
                    continue;
                const float quality = qualityFrom(call, version);
                const Choice choice { version, engine, wait <= m_world.trace.firstTokenWithin[call.request->application], quality >= target, quality, m_world.trace.document.versions[version].costPerThousandTokens, wait };
                if (isBetter(choice, best))
                    best = choice;
            }
        }

        bool isBetter(const Choice& a, const Choice& b) const
        {
            if (b.engine == none)
                return true;
            if (m_kind == StrategyKind::knowingLatency && a.inTime != b.inTime)
                return a.inTime;
            if (m_kind == StrategyKind::knowingLatency && !a.inTime)
                return a.wait < b.wait;
            if (a.reaches != b.reaches)
                return a.reaches;
            if (!a.reaches && a.quality != b.quality)
                return a.quality > b.quality;
            if (m_kind == StrategyKind::knowingCost && a.cost != b.cost)
                return a.cost < b.cost;
            return a.wait < b.wait;
        }

        // The mean quality of the session's requests from this one on.
        float qualityFrom(const Call& call, std::size_t version) const
        {
            float sum = 0;
            std::size_t count = 0;
            for (const TraceRequest* request : m_requestsOf.at(call.request->session)) {
                if (request->at < call.request->at)
                    continue;
                sum += m_world.quality(*request, version, EventQueue::start + request->at);
                ++count;
            }
            return sum / static_cast<float>(count);
        }

        static EngineJob jobOf(const Call& call)
        {
            return { 0, call.request->session, call.request->promptTokens, call.request->prefixTokens, call.request->completionTokens };
        }

        StrategyKind m_kind;
        World& m_world;
        std::unordered_map<std::uint32_t, std::vector<const TraceRequest*>> m_requestsOf;
        std::unordered_map<std::uint32_t, std::size_t> m_versionOf;
    };

}

std::unique_ptr<Strategy> makeBaseline(StrategyKind kind, World& world, std::uint64_t seed)
{
    if (kind == StrategyKind::knowingCost || kind == StrategyKind::knowingLatency)
        return std::make_unique<KnowingStrategy>(kind, world);
    return std::make_unique<Baseline>(kind, world, seed);
}

}
