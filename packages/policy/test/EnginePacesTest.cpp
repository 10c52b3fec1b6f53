// The speeds of 90 engines as 60 instances learn them together. Of the samples 15 in 100 are 2.5 times as long as the engine's speed
// explains, as behind a prompt that the sender didn't know of.
#include "whinyard/policy/EnginePaces.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <numeric>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    constexpr std::size_t instances = 60;
    constexpr std::size_t engines = 90;
    constexpr std::size_t quarter = 23;
    constexpr double slowSpeed = 0.55; // Of the others' speed.
    constexpr std::uint64_t life = 7;

    EndpointName engine(std::size_t number) { return { "engine-" + std::to_string(number) }; }

    PaceSample sampleOf(double times, std::uint32_t tokens = 12'000)
    {
        constexpr double prefillMs = 100;
        constexpr double fixedMs = 15;
        return { { "m" }, tokens, std::chrono::nanoseconds(std::llround((times * prefillMs + fixedMs) * 1e6)), 100ms };
    }

    class EnginePacesTest : public testing::Test {
    protected:
        void SetUp() override
        {
            for (EnginePaces& paces : m_fleet) {
                for (std::size_t number = 0; number < engines; ++number)
                    paces.useEngine(engine(number), { "lm" }, life);
            }
        }

        // Has so many samples a second come from the whole service, the first engines being slow.
        void run(std::chrono::milliseconds duration, double perSecond, std::size_t slowEngines)
        {
            constexpr auto step = 100ms;
            for (auto passed = 0ms; passed < duration; passed += step) {
                for (m_due += perSecond * std::chrono::duration<double>(step).count(); m_due >= 1; m_due -= 1) {
                    const std::size_t number = below(m_random, engines);
                    const double wait = uniform(m_random) < 0.15 ? 2.5 : 1;
                    m_fleet[below(m_random, instances)].learn(engine(number), life, sampleOf(wait / (number < slowEngines ? slowSpeed : 1)), m_now);
                }
                m_now += step;
                if ((passed / step) % 5 == 4)
                    tell();
                if (onStep)
                    onStep();
            }
            refresh();
        }

        void tell()
        {
            for (EnginePaces& from : m_fleet) {
                for (const PaceNews& news : from.takeNews(24, m_now)) {
                    for (EnginePaces& to : m_fleet) {
                        if (&to != &from && uniform(m_random) >= m_lost)
                            to.take(news, m_now);
                    }
                }
            }
        }

        void refresh()
        {
            for (EnginePaces& paces : m_fleet)
                paces.refresh(m_now);
        }

        // Returns the factors of these engines at all instances, the smallest first.
        std::vector<double> factors(std::size_t from, std::size_t to) const
        {
            std::vector<double> factors;
            for (const EnginePaces& paces : m_fleet) {
                for (std::size_t number = from; number < to; ++number)
                    factors.push_back(paces.factor(engine(number)));
            }
            std::sort(factors.begin(), factors.end());
            return factors;
        }

        static double mean(const std::vector<double>& values) { return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size()); }

        std::vector<EnginePaces> m_fleet { instances };
        EnginePaces& m_paces = m_fleet.front();
        Random m_random { 3 };
        SteadyTime m_now { 1h };
        double m_due = 0;
        double m_lost = 0; // Share of the notices.
        std::function<void()> onStep;
    };

}

// Guards against engines of half the speed that get long prompts like any other. Each instance sees five samples a second.
TEST_F(EnginePacesTest, TellsSlowEnginesApartWithinFiveSeconds)
{
    run(5s, 5.0 * instances, quarter);
    const std::vector<double> slow = factors(0, quarter);
    const std::vector<double> sound = factors(quarter, engines);
    EXPECT_GE(mean(slow), 1.4 * mean(sound)) << "the true ratio is 1.82";
    EXPECT_GT(slow[slow.size() / 20], sound[sound.size() * 19 / 20]) << "19 of 20 on either side";
    EXPECT_LT(sound.back(), EnginePaceSettings().slowFrom);
}

// With a sample of each engine a second the order is right for most engines, and soon for all.
TEST_F(EnginePacesTest, TellsThemApartFromOneSampleOfEachASecond)
{
    run(5s, engines, quarter);
    EXPECT_GE(mean(factors(0, quarter)), 1.25 * mean(factors(quarter, engines)));
    run(25s, engines, quarter);
    EXPECT_GT(factors(0, quarter)[instances], factors(quarter, engines)[instances * (engines - quarter) * 19 / 20]);
}

// Guards against conclusions from almost no samples: at five a second for 90 engines one in four has any after five seconds.
TEST_F(EnginePacesTest, ClaimsLittleFromFewSamples)
{
    run(5s, 5, quarter);
    for (const double factor : factors(0, engines)) {
        EXPECT_LT(factor, 1.5);
        EXPECT_GT(factor, 0.7);
    }
    run(55s, 5, quarter);
    EXPECT_GT(mean(factors(0, quarter)), mean(factors(quarter, engines)));
}

// Guards against a sound engine that loses its load, and a log that fills, for samples that had to wait.
TEST_F(EnginePacesTest, WaitsOfSomeSamplesMakeNoEngineLookSlow)
{
    std::size_t slow = 0;
    std::size_t looked = 0;
    onStep = [&] {
        m_paces.refresh(m_now);
        slow += m_paces.slowEngines();
        looked += engines;
    };
    run(60s, engines, 0);
    EXPECT_LE(static_cast<double>(slow), 0.001 * static_cast<double>(looked));
    EXPECT_LE(m_paces.takeChanges().size(), 2 * 3U);
    const std::vector<double> all = factors(0, engines);
    EXPECT_GT(all.front(), 0.8);
    EXPECT_LT(all.back(), 1.3);
}

// A lost notice loses its samples and nothing else: what arrives is added up.
TEST_F(EnginePacesTest, BearsLostNotices)
{
    m_lost = 0.5;
    run(10s, 5.0 * instances, quarter);
    EXPECT_GE(mean(factors(0, quarter)), 1.4 * mean(factors(quarter, engines)));
    EXPECT_LT(factors(quarter, engines).back(), EnginePaceSettings().slowFrom);
}

// The factors are relative: expectations that are wrong for all engines alike change none of them.
TEST_F(EnginePacesTest, FactorsHaveAGeometricMeanOfOne)
{
    run(20s, 5.0 * instances, quarter);
    double sum = 0;
    for (std::size_t number = 0; number < engines; ++number)
        sum += std::log(m_paces.factor(engine(number)));
    EXPECT_NEAR(sum / engines, 0, 0.01);
    EnginePaces alone;
    for (std::size_t number = 0; number < 4; ++number) {
        alone.useEngine(engine(number), { "lm" }, life);
        for (int i = 0; i < 40; ++i)
            alone.learn(engine(number), life, sampleOf(3), m_now);
    }
    alone.refresh(m_now);
    EXPECT_NEAR(alone.factor(engine(0)), 1, 0.1);
}

// Services have engines of their own kinds.
TEST_F(EnginePacesTest, ComparesEnginesOfOneService)
{
    EnginePaces paces;
    for (std::size_t number = 0; number < 4; ++number) {
        paces.useEngine(engine(number), { number < 2 ? "lm" : "other" }, life);
        for (int i = 0; i < 20; ++i)
            paces.take({ engine(number), life, number < 2 ? 0.0 : 1.0, 1 }, m_now);
    }
    paces.refresh(m_now);
    for (std::size_t number = 0; number < 4; ++number)
        EXPECT_NEAR(paces.factor(engine(number)), 1, 0.001);
}

// Guards against engines that look slow for getting the prompts whose time is expected too short: here long ones take twice what is
// expected and come to the first engines four times as often. Without the correction by size the logarithms of the factors differ.
TEST_F(EnginePacesTest, SizesThatAreExpectedWrongMakeNoEngineLookSlow)
{
    for (int i = 0; i < 30 * 40; ++i) {
        const std::size_t number = below(m_random, engines);
        const bool isLong = uniform(m_random) < (number < engines / 2 ? 0.8 : 0.2);
        m_paces.learn(engine(number), life, sampleOf(isLong ? 2 : 1, isLong ? 40'000 : 3'000), m_now);
        m_now += 25ms;
    }
    m_paces.refresh(m_now);
    double first = 0;
    double second = 0;
    for (std::size_t number = 0; number < engines / 2; ++number) {
        first += std::log(m_paces.factor(engine(number)));
        second += std::log(m_paces.factor(engine(number + engines / 2)));
    }
    EXPECT_NEAR((first - second) / (static_cast<double>(engines) / 2), 0, 0.05);
}

// Guards against an engine that keeps the reputation of the process before it, and against late notices of that one.
TEST_F(EnginePacesTest, AnEngineThatStartedAgainIsLearntAnew)
{
    run(20s, 5.0 * instances, quarter);
    ASSERT_GE(m_paces.factor(engine(0)), EnginePaceSettings().slowFrom);
    m_paces.takeChanges();
    m_paces.useEngine(engine(0), { "lm" }, life + 1);
    EXPECT_EQ(m_paces.factor(engine(0)), 1);
    const std::vector<PaceChange> changes = m_paces.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_FALSE(changes.front().isSlow);
    m_paces.take({ engine(0), life, 30, 30 }, m_now);
    m_paces.learn(engine(0), life, sampleOf(3), m_now);
    m_paces.refresh(m_now);
    EXPECT_EQ(m_paces.factor(engine(0)), 1);
    for (int i = 0; i < 10; ++i)
        m_paces.learn(engine(0), life + 1, sampleOf(1), m_now);
    m_paces.refresh(m_now);
    EXPECT_LT(m_paces.factor(engine(0)), 1) << "as fast as the others, in a service with slow ones";
}

// A list that doesn't say which process it is, or is taken again, changes nothing.
TEST_F(EnginePacesTest, AnEngineThatLeftIsForgottenAndAListedOneKept)
{
    run(20s, 5.0 * instances, quarter);
    const double before = m_paces.factor(engine(0));
    m_paces.useEngine(engine(0), { "lm" }, life);
    EXPECT_EQ(m_paces.factor(engine(0)), before);
    m_paces.forget(engine(0));
    EXPECT_EQ(m_paces.factor(engine(0)), 1);
    m_paces.take({ engine(0), life, 30, 30 }, m_now);
    m_paces.refresh(m_now);
    EXPECT_EQ(m_paces.factor(engine(0)), 1);
}

// Guards against a belief that outlives its reason.
TEST_F(EnginePacesTest, DecaysToTheMeanWithoutSamples)
{
    run(20s, 5.0 * instances, quarter);
    ASSERT_GT(m_paces.slowEngines(), 0U);
    m_paces.takeChanges();
    m_now += 20s;
    m_paces.refresh(m_now);
    EXPECT_LT(m_paces.factor(engine(0)), 1.3);
    m_now += 40s;
    m_paces.refresh(m_now);
    EXPECT_NEAR(m_paces.factor(engine(0)), 1, 0.02);
    EXPECT_EQ(m_paces.slowEngines(), 0U);
    for (const PaceChange& change : m_paces.takeChanges())
        EXPECT_FALSE(change.isSlow);
    m_now += 60s;
    m_paces.refresh(m_now);
    EXPECT_TRUE(m_paces.factors().empty());
}

// Guards against one notice, or one sample, that decides alone.
TEST_F(EnginePacesTest, BoundsWhatOneNoticeAndOneSampleAdd)
{
    m_paces.take({ engine(0), life, 1e300, 1 }, m_now);
    m_paces.take({ engine(1), life, std::numeric_limits<double>::infinity(), 5 }, m_now);
    m_paces.take({ engine(2), life, -1e9, 4'000'000'000 }, m_now);
    m_paces.take({ engine(3), life, 1, 0 }, m_now);
    m_paces.learn(engine(4), life, sampleOf(1e9), m_now);
    m_paces.learn(engine(5), life, { { "m" }, 9'000, 0ns, 0ns }, m_now);
    m_paces.take({ { "stranger" }, life, 1, 1 }, m_now);
    m_paces.refresh(m_now);
    for (std::size_t number = 0; number < engines; ++number) {
        EXPECT_GE(m_paces.factor(engine(number)), EnginePaceSettings().leastFactor);
        EXPECT_LE(m_paces.factor(engine(number)), EnginePaceSettings().largestFactor);
    }
    EXPECT_EQ(m_paces.factor(engine(1)), 1);
    EXPECT_EQ(m_paces.factor(engine(3)), 1);
    EXPECT_EQ(m_paces.factors().size(), 3U);
}

// Guards against a datagram to 96 instances for each sample: an instance sends two notices a second, and none without new samples.
TEST_F(EnginePacesTest, TellsAtMostTwiceASecond)
{
    std::size_t notices = 0;
    for (int tick = 0; tick < 200; ++tick, m_now += 50ms) {
        m_paces.learn(engine(below(m_random, engines)), life, sampleOf(1), m_now);
        notices += m_paces.takeNews(24, m_now).empty() ? 0 : 1;
    }
    EXPECT_EQ(notices, 20U);
    m_now += 1s;
    EXPECT_FALSE(m_paces.takeNews(24, m_now).empty()) << "the rest";
    m_now += 1s;
    EXPECT_TRUE(m_paces.takeNews(24, m_now).empty());
}

// Guards against one instance that outweighs all others: a notice counts as so many samples at most.
TEST_F(EnginePacesTest, OneNoticeDoesNotOutweighTheOthers)
{
    m_paces.take({ engine(0), life, 4e9, 4'000'000'000 }, m_now);
    for (int i = 0; i < 4; ++i) {
        m_paces.take({ engine(0), life, 0, EnginePaces::mostSamples }, m_now);
        m_paces.take({ engine(1), life, 0, EnginePaces::mostSamples }, m_now);
    }
    m_paces.refresh(m_now);
    EXPECT_GT(m_paces.factor(engine(0)), 1);
    EXPECT_LT(m_paces.factor(engine(0)), 1.2);
}

// Sums are told once, and what doesn't fit into a notice follows in the next ones.
TEST_F(EnginePacesTest, TellsEachSampleOnce)
{
    for (std::size_t number = 0; number < engines; ++number) {
        m_paces.learn(engine(number), life, sampleOf(1), m_now);
        m_paces.learn(engine(number), life, sampleOf(1), m_now);
    }
    std::map<EndpointName, std::uint32_t> told;
    std::size_t notices = 0;
    for (std::vector<PaceNews> news = m_paces.takeNews(24, m_now); !news.empty(); news = m_paces.takeNews(24, m_now)) {
        EXPECT_LE(news.size(), 24U);
        ++notices;
        m_now += 500ms;
        for (const PaceNews& one : news)
            told[one.engine] += one.samples;
    }
    EXPECT_EQ(notices, 4U);
    EXPECT_EQ(told.size(), engines);
    EXPECT_TRUE(std::all_of(told.begin(), told.end(), [](const auto& entry) { return entry.second == 2; }));
    EXPECT_TRUE(m_fleet[1].takeNews(24, m_now).empty()) << "and what was heard isn't told on";
}

}
