// Instances before engines, on a virtual clock: a request that ends each engine that begins to run it comes again at any of them.
//
// Or no two such requests are alike, but for a part of their prompts, which the sound ones share with all others or with a few. Or
// nothing is deadly, and a part of the engines ends now and then.
//
// The load is that of the day on which this was seen: an engine holds some 15 requests at once, each for 0.2 to 2 s; the deadly one
// waits 0.05 to 0.4 s, ends its engine, and is tried three times by each call, a call each 0.3 s; an engine is back after 4 s.
#include "whinyard/policy/QueryOfDeath.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    constexpr milliseconds tick { 50 }; // Of each instance's notices.
    constexpr int mostAttempts = 3;
    constexpr int held = 15; // By an engine.
    constexpr double lostNotices = 0.05;
    const PartDigest common { 1 }; // Of all prompts.
    const PartDigest deadlyPart { 2 };
    const PartDigest otherDeadlyPart { 3 };
    constexpr int subjects = 60;
    const ServiceName service { "lm" };

    RequestDigest request(std::uint64_t number)
    {
        RequestDigest digest;
        for (std::size_t i = 0; i < sizeof number; ++i)
            digest.bytes[i] = static_cast<std::uint8_t>(number >> (8 * i));
        return digest;
    }

    class Fleet {
    public:
        Fleet(std::size_t instances, std::size_t engines, std::uint64_t seed)
            : m_random(seed)
            , m_tables(instances)
            , m_engines(engines)
        {
            useInstances();
        }

        // Lets time pass, with a call of the deadly request each `interval`, at a drawn instance.
        void run(milliseconds duration, milliseconds interval)
        {
            for (const SteadyTime end = m_now + duration; m_now < end; m_now += tick) {
                if (m_now >= m_nextCall) {
                    m_nextCall = m_now + interval;
                    Try one { deadly, below(m_random, m_tables.size()), 0, 0, {}, true };
                    if (!deadlyParts.empty()) {
                        one.digest = request(1'000'000 + m_deadlySent);
                        one.parts = deadlyParts[m_deadlySent++ % deadlyParts.size()];
                    }
                    if (send(one))
                        m_tries.push_back(one);
                }
                bringInnocents();
                endSome();
                finishTries();
                tell();
            }
        }

        // Lets time pass without a deadly request, so that instances have seen what is sound.
        void warmUp()
        {
            m_nextCall = SteadyTime::max();
            run(5s, 1h);
            m_nextCall = m_now;
        }

        // All processes end, and come back with what the store holds.
        void restartAll()
        {
            std::vector<QueryVerdict> stored;
            for (QueryOfDeathTable& table : m_tables) {
                for (const QueryVerdict& verdict : table.standing(m_now))
                    stored.push_back(verdict);
            }
            m_tries.clear();
            m_tables = std::vector<QueryOfDeathTable>(m_tables.size());
            useInstances();
            for (QueryOfDeathTable& table : m_tables)
                table.takeStored(stored, m_now);
        }

        std::vector<std::vector<PartDigest>> deadlyParts; // Of the prompts of deadly requests, in turn; none: it is one and the same.
        int subjects = 0; // Parts that sound requests share, beside the one of all.
        double waveShare = 0; // Of the engines that end each waveInterval by themselves.
        milliseconds waveInterval { 5'000 };
        int wavesInSeries = 0; // After so many the next one comes after seriesPause; none: they go on.
        milliseconds seriesPause { 6'000 };
        int ended = 0; // Engines, by the deadly request.
        int lateSends = 0; // Of it, over three seconds after it had ended the third.
        int innocents = 0;
        int innocentsRefused = 0;
        int innocentsDenied = 0; // Of them, for good; the others may come again.

    private:
        struct Engine {
            std::uint64_t life = 1;
            SteadyTime backAt {};
        };

        struct Try {
            RequestDigest digest;
            std::size_t instance = 0;
            std::size_t engine = 0;
            int attempts = 0;
            SteadyTime due {}; // When it is completed, or ends its engine.
            bool isDeadly = false;
            SteadyTime begunAt {};
            std::vector<PartDigest> parts {};
            SteadyTime sentAt {};
            bool isSoundNoted = false;

            QueryTraits traits() const { return { digest, parts }; }
        };

        static constexpr milliseconds restart { 4'000 };
        const RequestDigest deadly = request(0);

        void useInstances()
        {
            for (std::size_t i = 0; i < m_tables.size(); ++i)
                m_tables[i].useInstances(m_tables.size(), i);
        }

        EndpointLife lifeOfEngine(std::size_t engine) const { return lifeOf({ "e" + std::to_string(engine) }, m_engines[engine].life); }

        // Returns false when the request is refused or has no attempt left.
        bool send(Try& one)
        {
            if (m_tables[one.instance].isRefused(one.traits(), m_now) || m_tables[one.instance].isHeld(one.traits(), m_now)) {
                innocentsRefused += one.isDeadly ? 0 : 1;
                innocentsDenied += !one.isDeadly && m_tables[one.instance].isRefused(one.traits(), m_now) ? 1 : 0;
                return false;
            }
            std::vector<std::size_t> up;
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                if (m_engines[engine].backAt <= m_now)
                    up.push_back(engine);
            }
            if (up.empty() || one.attempts == mostAttempts)
                return false;
            ++one.attempts;
            one.engine = up[below(m_random, up.size())];
            one.sentAt = m_now;
            one.isSoundNoted = false;
            one.begunAt = m_now + milliseconds(50 + below(m_random, 350));
            one.due = one.begunAt + (one.isDeadly ? milliseconds(80) : milliseconds(200 + below(m_random, 1'800)));
            if (one.isDeadly && ended >= 3 && m_now > m_knownAt + 3s)
                ++lateSends;
            return true;
        }

        void bringInnocents()
        {
            const std::size_t wanted = held * m_engines.size();
            while (m_tries.size() < wanted) {
                Try one { request(++innocents), below(m_random, m_tables.size()), 0, 0, {}, false };
                if (subjects > 0)
                    one.parts = { common, { 100 + below(m_random, static_cast<std::size_t>(subjects)) } };
                if (!send(one))
                    break;
                m_tries.push_back(one);
            }
        }

        void finishTries()
        {
            // A copy that waits when its instance learns of the verdict is ended.
            std::erase_if(m_tries, [this](const Try& one) { return one.begunAt > m_now && m_tables[one.instance].isRefused(one.traits(), m_now); });
            std::vector<std::size_t> crashed = std::exchange(m_endNow, {});
            const std::size_t byThemselves = crashed.size();
            for (const Try& one : m_tries) {
                if (one.isDeadly && one.due <= m_now && std::find(crashed.begin(), crashed.end(), one.engine) == crashed.end())
                    crashed.push_back(one.engine);
            }
            std::vector<Try> kept;
            for (Try& one : m_tries) {
                const bool isLost = std::find(crashed.begin(), crashed.end(), one.engine) != crashed.end();
                if (isLost)
                    lose(one, kept);
                else if (one.due > m_now) {
                    if (m_now - one.begunAt > 500ms && !std::exchange(one.isSoundNoted, true))
                        m_tables[one.instance].noteSound(one.parts, one.begunAt, m_now);
                    kept.push_back(one);
                } else {
                    m_tables[one.instance].noteCompleted(one.digest, m_now);
                    m_tables[one.instance].noteSound(one.parts, one.begunAt, m_now);
                }
            }
            m_tries = std::move(kept);
            for (const std::size_t engine : crashed) {
                ++m_engines[engine].life;
                m_engines[engine].backAt = m_now + restart;
                if (byThemselves > 0)
                    continue;
                if (++ended == 3)
                    m_knownAt = m_now;
            }
        }

        // A wave of ends that no request has caused. In the turns of the clock in which it comes nothing deadly begins to run.
        void endSome()
        {
            if (waveShare == 0 || m_now < m_nextWave)
                return;
            const bool isLast = wavesInSeries > 0 && ++m_waves % wavesInSeries == 0;
            m_nextWave = m_now + (isLast ? seriesPause : waveInterval);
            for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
                if (m_engines[engine].backAt <= m_now && uniform(m_random) < waveShare)
                    m_endNow.push_back(engine);
            }
        }

        void lose(Try& one, std::vector<Try>& kept)
        {
            const bool hadBegun = one.begunAt <= m_now;
            if (!hadBegun || m_now - one.begunAt <= 500ms)
                m_tables[one.instance].noteLoss({ one.digest, lifeOfEngine(one.engine), hadBegun ? LossStage::begun : LossStage::waiting, one.parts, std::chrono::duration_cast<milliseconds>(m_now - one.sentAt) }, service, m_now);
            m_engines[one.engine].backAt = m_now + restart;
            if (send(one))
                kept.push_back(one);
        }

        void tell()
        {
            for (std::size_t from = 0; from < m_tables.size(); ++from) {
                m_tables[from].refresh(m_now);
                const QueryNews news = m_tables[from].takeNews(m_now);
                const std::vector<QueryVerdict> standing = m_now.time_since_epoch() % 1s == 0s ? m_tables[from].standing(m_now) : std::vector<QueryVerdict>();
                for (std::size_t to = 0; to < m_tables.size(); ++to) {
                    if (to != from && uniform(m_random) >= lostNotices)
                        take(news, m_tables[to]);
                }
                for (int drawn = 0; drawn < 3; ++drawn)
                    take({ {}, {}, standing }, m_tables[below(m_random, m_tables.size())]);
            }
        }

        void take(const QueryNews& news, QueryOfDeathTable& table)
        {
            for (const RequestLoss& loss : news.losses)
                table.takeLoss(loss, m_now);
            for (const RequestDigest& completed : news.completed)
                table.takeCompleted(completed, m_now);
            for (const SoundPart& sound : news.soundParts)
                table.takeSound(sound, m_now);
            for (const QueryVerdict& verdict : news.verdicts)
                table.takeVerdict(verdict, m_now);
        }

        Random m_random;
        std::vector<QueryOfDeathTable> m_tables;
        std::vector<Engine> m_engines;
        std::vector<Try> m_tries;
        SteadyTime m_now { 1h };
        SteadyTime m_nextCall {};
        SteadyTime m_knownAt {};
        SteadyTime m_nextWave { 1h + 3s };
        int m_waves = 0;
        std::vector<std::size_t> m_endNow; // Engines that end by themselves.
        std::size_t m_deadlySent = 0;
    };

    struct FleetCase {
        std::size_t instances;
        std::size_t engines;
    };

    class QueryOfDeathFleetTest : public ::testing::TestWithParam<FleetCase> { };

    // Three are what it takes to know it, and three more may be met by what was under way meanwhile.
    constexpr int mostEnded = 6;

    TEST_P(QueryOfDeathFleetTest, LosesFewEnginesToOneRequestAndRefusesHardlyAnother)
    {
        int ended = 0;
        int refused = 0;
        int innocents = 0;
        constexpr int seeds = 10;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            Fleet fleet(GetParam().instances, GetParam().engines, seed);
            fleet.run(17s, 300ms);
            EXPECT_LE(fleet.lateSends, 3) << "seed " << seed;
            EXPECT_LE(fleet.ended, mostEnded) << "seed " << seed;
            ended += fleet.ended;
            refused += fleet.innocentsRefused;
            innocents += fleet.innocents;
        }
        RecordProperty("ended", ended);
        EXPECT_LE(refused, innocents / 1'000) << "of " << innocents;
    }

    TEST_P(QueryOfDeathFleetTest, SendsItNoMoreAfterAllInstancesWereLost)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Fleet fleet(GetParam().instances, GetParam().engines, seed);
            fleet.run(5s, 300ms);
            const int before = fleet.ended;
            fleet.restartAll();
            fleet.run(10s, 300ms);
            EXPECT_EQ(fleet.ended, before) << "seed " << seed;
            EXPECT_LE(fleet.lateSends, 3) << "seed " << seed;
        }
    }

    // A call each five seconds: no two of its losses are near each other.
    TEST_P(QueryOfDeathFleetTest, KnowsARequestThatComesSeldom)
    {
        Fleet fleet(GetParam().instances, GetParam().engines, 7);
        fleet.run(60s, 5s);
        EXPECT_LE(fleet.ended, 4);
        EXPECT_LE(fleet.lateSends, 3);
    }

    // Guards against requests with a part in common that end one engine after the other, each as many as it has attempts.
    TEST_P(QueryOfDeathFleetTest, LosesFewEnginesToAPartOfPrompts)
    {
        constexpr int mostEndedByPart = 3 + 10; // Those that come within the second in which they end the first three.
        int ended = 0;
        int refused = 0;
        int innocents = 0;
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            Fleet fleet(GetParam().instances, GetParam().engines, seed);
            fleet.subjects = subjects;
            fleet.warmUp();
            fleet.deadlyParts = { { common, deadlyPart }, { deadlyPart }, { common, { 100 }, deadlyPart }, { deadlyPart, { 101 } } };
            fleet.run(17s, 100ms);
            EXPECT_LE(fleet.lateSends, 3) << "seed " << seed;
            EXPECT_LE(fleet.ended, mostEndedByPart) << "seed " << seed;
            ended += fleet.ended;
            refused += fleet.innocentsRefused;
            innocents += fleet.innocents;
            const int before = fleet.ended;
            fleet.restartAll();
            fleet.run(5s, 100ms);
            EXPECT_EQ(fleet.ended, before) << "seed " << seed;
        }
        RecordProperty("ended", ended);
        RecordProperty("refused", refused);
        EXPECT_LE(refused, innocents / 100) << "of " << innocents;
    }

    // Guards against a part that is excused by the losses that another one explains.
    TEST_P(QueryOfDeathFleetTest, LosesFewEnginesToTwoPartsAtOnce)
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            Fleet fleet(GetParam().instances, GetParam().engines, seed);
            fleet.subjects = subjects;
            fleet.warmUp();
            fleet.deadlyParts = { { common, deadlyPart }, { common, otherDeadlyPart } };
            fleet.run(12s, 100ms);
            EXPECT_LE(fleet.lateSends, 3) << "seed " << seed;
        }
    }

    TEST_P(QueryOfDeathFleetTest, KnowsAPartThatComesSeldom)
    {
        Fleet fleet(GetParam().instances, GetParam().engines, 7);
        fleet.subjects = subjects;
        fleet.warmUp();
        fleet.deadlyParts = { { common, deadlyPart } };
        fleet.run(60s, 5s);
        EXPECT_LE(fleet.ended, 5);
        EXPECT_LE(fleet.lateSends, 3);
    }

    // Guards against sound requests that are refused for a part, where engines end by themselves.
    TEST_P(QueryOfDeathFleetTest, RefusesNoPartWhereEnginesEndInWaves)
    {
        int refused = 0;
        int innocents = 0;
        for (const milliseconds interval : { 5'000ms, 900ms }) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                Fleet fleet(GetParam().instances, GetParam().engines, seed);
                fleet.subjects = subjects;
                fleet.waveShare = interval > 1s ? 0.33 : 0.08;
                fleet.waveInterval = interval;
                fleet.run(40s, 1h);
                refused += fleet.innocentsRefused;
                innocents += fleet.innocents;
            }
        }
        RecordProperty("refused", refused);
        EXPECT_LE(refused, innocents / 500) << "of " << innocents;
    }

    // Guards against a sound part of all prompts that is refused for minutes, as engines end in quick series while it is everywhere.
    TEST_P(QueryOfDeathFleetTest, RefusesNoPartOfAllPromptsWhereEnginesEndInQuickSeries)
    {
        const int plays = GetParam().instances < 30 ? 50 : 3; // A play of many instances takes a second.
        int playsWithinBound = 0;
        int worst = 0;
        for (const milliseconds interval : { 200ms, 150ms }) {
            for (int seed = 1; seed <= plays; ++seed) {
                Fleet fleet(GetParam().instances, GetParam().engines, static_cast<std::uint64_t>(seed));
                fleet.subjects = subjects;
                fleet.waveShare = 0.25;
                fleet.waveInterval = interval;
                fleet.wavesInSeries = 5;
                fleet.run(20s, 1h);
                worst = std::max(worst, fleet.innocentsDenied);
                playsWithinBound += fleet.innocentsDenied <= 5 + fleet.innocents / 500 ? 1 : 0;
            }
        }
        RecordProperty("playsWithinBound", playsWithinBound);
        EXPECT_EQ(playsWithinBound, 2 * plays) << "at worst " << worst << " of a play were denied";
    }

    INSTANTIATE_TEST_SUITE_P(Sizes, QueryOfDeathFleetTest, ::testing::Values(FleetCase { 9, 18 }, FleetCase { 30, 60 }, FleetCase { 100, 60 }), [](const auto& tested) { return std::to_string(tested.param.instances) + "Instances"; });

}
}
