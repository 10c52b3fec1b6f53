#include "whinyard/policy/SufficiencyRates.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };

    // With a weaker prior the first answer of a size would decide which model all others are sent to.
    TEST(SufficiencyRatesTest, BeginsAtOneHalfAndMovesSlowly)
    {
        SufficiencyRates rates;
        EXPECT_EQ(rates.chance("r", 12'000, start), 0.5);
        rates.note("r", 12'000, false, start);
        EXPECT_NEAR(rates.chance("r", 12'000, start), 0.44, 0.01);
        for (int i = 0; i < 100; ++i)
            rates.note("r", 12'000, false, start);
        EXPECT_LT(rates.chance("r", 12'000, start), 0.05);
    }

    // What short prompts show must not decide for long ones, nor one route for another.
    TEST(SufficiencyRatesTest, LearnsEachRouteAndSizeByItself)
    {
        SufficiencyRates rates;
        for (int i = 0; i < 30; ++i) {
            rates.note("r", 2'500, true, start);
            rates.note("r", 40'000, false, start);
        }
        EXPECT_GT(rates.chance("r", 2'900, start), 0.85);
        EXPECT_LT(rates.chance("r", 50'000, start), 0.15);
        EXPECT_EQ(rates.chance("r", 10'000, start), 0.5);
        EXPECT_EQ(rates.chance("s", 2'900, start), 0.5);
    }

    // A size that is no longer asked of the smallest model gives no samples: its chance would stand still for ever.
    TEST(SufficiencyRatesTest, ReturnsToOneHalfWithoutAnswers)
    {
        SufficiencyRates rates;
        for (int i = 0; i < 30; ++i)
            rates.note("r", 40'000, false, start);
        EXPECT_GT(rates.chance("r", 40'000, start + 5min), 0.48);
        rates.note("r", 40'000, true, start + 5min);
        EXPECT_GT(rates.chance("r", 40'000, start + 5min), 0.5) << "what was forgotten must not come back";
    }

}
}
