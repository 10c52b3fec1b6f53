#include "whinyard/policy/PromptRates.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    TEST(PromptRatesTest, StartsInProportionToTheCost)
    {
        const PromptRates rates;
        EXPECT_NEAR(static_cast<double>(rates.readingTime({ "l" }, 0.4, 1'000).count()), 10 * static_cast<double>(rates.readingTime({ "s" }, 0.04, 1'000).count()), 10'000);
    }

    TEST(PromptRatesTest, FindsTheTimeOfReadingAmongWaitsAndCachedParts)
    {
        PromptRates rates;
        Random random(7);
        for (int i = 0; i < 2'000; ++i) {
            const double draw = uniform(random);
            // A quarter finds half of the prompt cached, half waits for as long again at most.
            const double factor = draw < 0.25 ? 0.5 : draw < 0.5 ? 1
                                                                 : 1 + uniform(random);
            rates.learn({ "m" }, 0.35, 10'000, std::chrono::nanoseconds(static_cast<std::int64_t>(10'000 * 49'000 * factor)));
        }
        EXPECT_NEAR(static_cast<double>(rates.readingTime({ "m" }, 0.35, 10'000).count()) / 10'000, 49'000, 6'000);
    }

    TEST(PromptRatesTest, IgnoresShortPrompts)
    {
        PromptRates rates;
        const auto before = rates.readingTime({ "m" }, 1, 1'000);
        rates.learn({ "m" }, 1, 100, 1s);
        EXPECT_EQ(rates.readingTime({ "m" }, 1, 1'000), before);
    }

    constexpr double perToken = 1e6 / 112; // Nanoseconds of a prompt's token, and of a pair of its tokens below.
    constexpr double perPair = 0.154;

    struct Model {
        ModelName name;
        double cost;
        double factor; // Of the above.
    };

    const std::array<Model, 3> models { { { { "s" }, 0.02, 0.3 }, { { "m" }, 0.13, 0.8 }, { { "l" }, 0.27, 3 } } };

    double trueTime(const Model& model, double tokens) { return model.factor * (perToken * tokens + perPair * tokens * tokens); }

    // What an instance sees: prompts of 1,000 to 60,000 tokens, 12,000 on average, of which most wait behind others for an
    // exponential time, and some are cached in part.
    class Load {
    public:
        Load(std::uint64_t seed, double waitingShare, double cachedShare)
            : m_random(seed)
            , m_waitingShare(waitingShare)
            , m_cachedShare(cachedShare)
        {
        }

        void run(PromptRates& rates, int samples, double mostTokens = 60'000)
        {
            for (int i = 0; i < samples; ++i) {
                const Model& model = models[uniform(m_random) < 0.5 ? 0 : uniform(m_random) < 0.2 ? 1
                                                                                                  : 2];
                const double tokens = std::min(mostTokens, 1'000 - 11'000 * std::log1p(-uniform(m_random)));
                double time = trueTime(model, tokens) * (0.97 + 0.06 * uniform(m_random));
                const double draw = uniform(m_random);
                if (draw < m_cachedShare)
                    time *= 0.5;
                else if (draw < m_cachedShare + m_waitingShare)
                    time -= meanWait * std::log1p(-uniform(m_random));
                rates.learn(model.name, model.cost, static_cast<std::uint32_t>(tokens), std::chrono::nanoseconds(static_cast<std::int64_t>(time)));
            }
        }

    private:
        static constexpr double meanWait = 150e6;

        Random m_random;
        double m_waitingShare;
        double m_cachedShare;
    };

    // A largest prompt would be taken for half as long as it is read, or a short one for much longer.
    TEST(PromptRatesTest, FindsTheTimeOfEverySizeAmongWaits)
    {
        for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
            PromptRates rates;
            Load(seed, 0.6, 0.1).run(rates, 1'000);
            EXPECT_NEAR(rates.ratio(), perPair / perToken, 0.3 * perPair / perToken) << seed;
            for (const double tokens : { 2'000, 12'000, 30'000, 60'000 }) {
                const double told = static_cast<double>(rates.readingTime({ "l" }, 0.27, static_cast<std::uint32_t>(tokens)).count());
                EXPECT_NEAR(told / trueTime(models[2], tokens), 1, 0.25) << seed << ", " << tokens;
            }
        }
    }

    // Where three of four samples waited, a fit through all of them would take the waits of short prompts for their time.
    TEST(PromptRatesTest, FindsTheCurveWhereNearlyAllWait)
    {
        for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
            PromptRates rates;
            Load(seed, 0.75, 0.05).run(rates, 1'000);
            EXPECT_NEAR(rates.ratio(), perPair / perToken, 0.3 * perPair / perToken) << seed;
        }
    }

    // Samples of a small range fit many curves about equally well. With a curve that follows each of them, the time of a long
    // prompt would change by half and more from one moment to the next.
    TEST(PromptRatesTest, KeepsItsCurveWithoutLongPrompts)
    {
        for (const std::uint64_t seed : { 1, 2, 3, 4, 5 }) {
            PromptRates rates;
            Load load(seed, 0.6, 0.1);
            load.run(rates, 500, 6'000);
            std::set<double> ratios;
            for (int i = 0; i < 1'500; ++i) {
                load.run(rates, 1, 6'000);
                ratios.insert(rates.ratio());
            }
            EXPECT_LE(*ratios.rbegin(), 1.5 * perPair / perToken) << seed;
            EXPECT_LE(ratios.size(), 6U) << seed;
        }
    }

    // Before any sample nothing changes against times in proportion to the size.
    TEST(PromptRatesTest, IsProportionalWithoutSamples)
    {
        const PromptRates rates;
        EXPECT_EQ(rates.ratio(), 0);
        for (const std::uint32_t tokens : { 1U, 826U, 12'000U, 60'000U })
            EXPECT_EQ(rates.readingTime({ "l" }, 0.4, tokens), 52'000ns * tokens);
        EXPECT_EQ(rates.meanTokenTime({ "l" }, 0.4, 0), 52'000ns);
    }

    // An instance sees few long prompts of any one model: what one model shows must hold for the others.
    TEST(PromptRatesTest, SharesTheCurveBetweenModels)
    {
        PromptRates rates;
        Load(1, 0.6, 0.1).run(rates, 1'000);
        const auto half = rates.readingTime({ "other" }, 0.1, 30'000);
        EXPECT_GT(rates.readingTime({ "other" }, 0.1, 60'000), 2 * half + half / 4);
    }

}
}
