// 58 instances before 90 engines, a quarter of them at relative speed 0.55 and the others at 1.2, under deployment 1's prompts
// (docs/design/hard-load.md) on a virtual clock.
#include "whinyard/endpoint/EndpointDirectory.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t instances = 58;
    constexpr std::size_t engines = 90;
    constexpr double slowSpeed = 0.55;
    constexpr double fastSpeed = 1.2;
    constexpr std::chrono::nanoseconds tokenTime { 1'000'000 / 112 };
    constexpr std::chrono::milliseconds fixedTime { 15 };
    constexpr std::chrono::milliseconds generation { 1'000 };
    constexpr std::chrono::milliseconds worthTelling { 25 }; // As the daemon's.
    constexpr std::uint32_t longFrom = 8'000;
    const VersionName version { "lm-1" };

    // What long prompts met.
    struct Tally {
        std::size_t all = 0;
        std::size_t atFast = 0;
        std::chrono::nanoseconds wait { 0 }; // To their first events, summed.

        double fastShare() const { return static_cast<double>(atFast) / static_cast<double>(all); }
        double meanMs() const { return std::chrono::duration<double, std::milli>(wait).count() / static_cast<double>(all); }
    };

    class PaceFleet {
    public:
        explicit PaceFleet(bool sharesPaces, double lostNotices = 0)
            : m_shares(sharesPaces)
            , m_lost(lostNotices)
        {
            policy::WaitSelectorSettings selector;
            selector.zoneFactor = 1;
            selector.zonePenalty = 40ms;
            selector.fullScanLimit = 64;
            selector.sharesPaces = sharesPaces;
            for (std::size_t i = 0; i < instances; ++i)
                m_directories.push_back(std::make_unique<EndpointDirectory>(zone(i), Random(i + 1), policy::EndpointTableSettings {}, selector));
            for (std::size_t i = 0; i < engines; ++i)
                m_engines.push_back({ .speed = isSlowAtStart(i) ? slowSpeed : fastSpeed, .freeAt = m_now });
            list();
        }

        static bool isSlowAtStart(std::size_t engine) { return engine % 4 == 0; }
        static EndpointName name(std::size_t engine) { return { "engine-" + std::to_string(engine) }; }

        // Has an engine start again at another speed.
        void restart(std::size_t engine, double speed)
        {
            m_engines[engine] = { .speed = speed, .incarnation = m_engines[engine].incarnation + 1, .freeAt = m_now };
            list();
        }

        Tally run(std::chrono::milliseconds duration)
        {
            m_tally = {};
            constexpr auto step = 1ms;
            for (auto passed = 0ms; passed < duration; passed += step) {
                arrive(m_dueLong, 0.109, [this] { return std::clamp(static_cast<std::uint32_t>(-12'000 * std::log(1 - uniform(m_random))), 3'000U, 60'000U); });
                arrive(m_dueMedium, 0.105, [] { return 826U; });
                arrive(m_dueShort, 0.219, [] { return 2'368U; });
                m_now += step;
                while (!m_events.empty() && m_events.top().at <= m_now) {
                    take(m_events.top());
                    m_events.pop();
                }
                if (m_now - m_refreshedAt >= 200ms)
                    refresh();
                if (m_now - m_toldAt >= 500ms)
                    tell();
            }
            return m_tally;
        }

        // Returns the mean over the instances of what they believe of the engine.
        double pace(std::size_t engine) const
        {
            double sum = 0;
            for (const auto& directory : m_directories)
                sum += directory->pace(name(engine));
            return sum / instances;
        }

        std::size_t paceNotices = 0;

    private:
        struct Engine {
            double speed = 1;
            std::uint64_t incarnation = 1;
            SteadyTime freeAt {};
        };

        struct Event {
            SteadyTime at;
            bool isEnd = false;
            std::size_t instance = 0;
            std::size_t engine = 0;
            std::uint32_t tokens = 0;
            SteadyTime sentAt;
            ChosenEndpoint chosen;

            bool operator<(const Event& other) const { return at > other.at; } // The earliest on top.
        };

        static ZoneName zone(std::size_t number) { return { "zone-" + std::to_string(number % 3) }; }

        void list()
        {
            std::vector<backing::ListedEndpoint> listed;
            for (std::size_t i = 0; i < engines; ++i) {
                backing::ListedEndpoint endpoint;
                endpoint.name = name(i);
                endpoint.zone = zone(i);
                endpoint.versions = { version };
                endpoint.service = { "lm" };
                endpoint.slots = 16;
                endpoint.born = m_engines[i].incarnation;
                listed.push_back(endpoint);
            }
            for (const auto& directory : m_directories)
                directory->replace(listed, m_now);
        }

        template <typename Tokens>
        void arrive(double& due, double perMillisecond, Tokens tokens)
        {
            for (due += perMillisecond; due >= 1; due -= 1)
                send(below(m_random, instances), tokens());
        }

        void send(std::size_t instance, std::uint32_t tokens)
        {
            EndpointDirectory& directory = *m_directories[instance];
            EndpointWish wish;
            wish.version = version;
            wish.promptTokens = tokens;
            wish.tokenTime = tokenTime;
            Failure failure;
            const std::optional<ChosenEndpoint> chosen = directory.choose(wish, m_now, failure);
            ASSERT_TRUE(chosen) << failure.reason;
            const std::size_t number = std::stoul(chosen->name.value.substr(chosen->name.value.find('-') + 1));
            Engine& engine = m_engines[number];
            directory.recordDispatch(chosen->name, {}, m_now);
            directory.recordWork(chosen->name, chosen->plan.unqueuedWait, m_now);
            for (std::size_t other = 0; other < instances && chosen->plan.unqueuedWait >= worthTelling; ++other) {
                if (other != instance && !isLost())
                    m_directories[other]->recordWork(chosen->name, chosen->plan.unqueuedWait, m_now);
            }
            const auto prefill = std::chrono::nanoseconds(std::llround(static_cast<double>((tokenTime * tokens).count()) / engine.speed));
            engine.freeAt = std::max(engine.freeAt, m_now) + prefill;
            m_events.push({ engine.freeAt + fixedTime, false, instance, number, tokens, m_now, *chosen });
            m_events.push({ engine.freeAt + fixedTime + generation, true, instance, number, tokens, m_now, *chosen });
        }

        void take(const Event& event)
        {
            EndpointDirectory& directory = *m_directories[event.instance];
            const std::chrono::nanoseconds elapsed = event.at - event.sentAt;
            if (event.isEnd) {
                directory.recordEnd(event.chosen.name, EndpointOutcome::succeeded, elapsed, m_now);
                if (!m_shares)
                    directory.recordExpectation(event.chosen.name, elapsed - generation, event.chosen.plan.soundWait, m_now);
                return;
            }
            directory.recordFirstByte(event.chosen.name, elapsed);
            directory.recordPace(event.chosen, { "m" }, elapsed, m_now);
            if (event.tokens < longFrom)
                return;
            ++m_tally.all;
            m_tally.atFast += m_engines[event.engine].speed > 1 ? 1 : 0;
            m_tally.wait += elapsed;
        }

        void refresh()
        {
            m_refreshedAt = m_now;
            for (const auto& directory : m_directories)
                directory->refresh(m_now);
        }

        void tell()
        {
            m_toldAt = m_now;
            for (std::size_t from = 0; from < instances; ++from) {
                const std::vector<policy::PaceNews> news = m_directories[from]->takePaceNewsToTell(24, m_now);
                paceNotices += news.empty() ? 0 : 1;
                for (std::size_t to = 0; to < instances && !news.empty(); ++to) {
                    if (to == from || isLost())
                        continue;
                    for (const policy::PaceNews& one : news)
                        m_directories[to]->takePaceNews(one, m_now);
                }
            }
        }

        bool isLost() { return m_lost > 0 && uniform(m_random) < m_lost; }

        const bool m_shares;
        const double m_lost;
        Random m_random { 11 };
        SteadyTime m_now { 1h };
        SteadyTime m_refreshedAt = m_now;
        SteadyTime m_toldAt = m_now;
        std::vector<std::unique_ptr<EndpointDirectory>> m_directories;
        std::vector<Engine> m_engines;
        std::priority_queue<Event> m_events;
        double m_dueLong = 0;
        double m_dueMedium = 0;
        double m_dueShort = 0;
        Tally m_tally;
    };

    // Guards against long prompts that come to slow engines as often as to fast ones.
    TEST(EnginePaceFleetTest, LongPromptsComeToFastEnginesMoreOftenThanWithOwnBeliefs)
    {
        PaceFleet alone(false);
        alone.run(10s);
        const Tally own = alone.run(15s);
        PaceFleet together(true);
        together.run(10s);
        const Tally shared = together.run(15s);
        RecordProperty("ownFastShare", std::to_string(own.fastShare()));
        RecordProperty("sharedFastShare", std::to_string(shared.fastShare()));
        RecordProperty("ownMeanMs", std::to_string(own.meanMs()));
        RecordProperty("sharedMeanMs", std::to_string(shared.meanMs()));
        EXPECT_LT(1 - shared.fastShare(), 0.5 * (1 - own.fastShare())) << "half as many at slow engines";
        EXPECT_LT(shared.meanMs(), own.meanMs());
        EXPECT_LE(together.paceNotices, instances * 2 * 25) << "two a second from each instance at most";
        for (std::size_t engine = 0; engine < engines; ++engine) {
            if (!PaceFleet::isSlowAtStart(engine)) {
                EXPECT_LT(together.pace(engine), 1.15) << engine;
            }
        }
    }

    TEST(EnginePaceFleetTest, HoldsThoughHalfOfTheNoticesAreLost)
    {
        PaceFleet alone(false, 0.5);
        alone.run(10s);
        const Tally own = alone.run(10s);
        PaceFleet together(true, 0.5);
        together.run(10s);
        const Tally shared = together.run(10s);
        EXPECT_LT(1 - shared.fastShare(), 0.6 * (1 - own.fastShare()));
        EXPECT_LT(shared.meanMs(), own.meanMs());
    }

    // Without any notice an instance has its own samples: no worse than it had alone.
    TEST(EnginePaceFleetTest, IsNoWorseThanOwnBeliefsWithoutAnyNotice)
    {
        PaceFleet alone(false, 1);
        alone.run(10s);
        const Tally own = alone.run(10s);
        PaceFleet together(true, 1);
        together.run(10s);
        const Tally shared = together.run(10s);
        EXPECT_LT(shared.meanMs(), 1.1 * own.meanMs());
    }

    // Guards against the reputation of an earlier process: a fast engine comes back slow, a slow one fast.
    TEST(EnginePaceFleetTest, LearnsTheSpeedOfAnEngineThatStartedAgain)
    {
        constexpr std::size_t becomesSlow = 5;
        constexpr std::size_t becomesFast = 8;
        PaceFleet fleet(true);
        fleet.run(10s);
        ASSERT_LT(fleet.pace(becomesSlow), 1);
        ASSERT_GT(fleet.pace(becomesFast), 1.2);
        fleet.restart(becomesSlow, slowSpeed);
        fleet.restart(becomesFast, fastSpeed);
        EXPECT_EQ(fleet.pace(becomesSlow), 1);
        EXPECT_EQ(fleet.pace(becomesFast), 1);
        fleet.run(10s);
        EXPECT_GT(fleet.pace(becomesSlow), 1.2);
        EXPECT_LT(fleet.pace(becomesFast), 1);
    }

}
}
