// Who waits and who comes back when callers meet an instance that has just started. The figures are of a site whose store
// answers 0.3 s after a restart of all its instances, while callers with 20 s and with 1.5 s return at once from connections that were cut.
#include "whinyard/policy/StartForecast.h"

#include <gtest/gtest.h>

#include <set>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    TEST(StartForecastTest, HoldsARequestForASmallPartOfItsTime)
    {
        const StartForecast forecast { SteadyTime() };
        EXPECT_EQ(forecast.holdFor(20s), 1s);
        EXPECT_EQ(forecast.holdFor(5s), 250ms);
        EXPECT_EQ(forecast.holdFor(1500ms), 75ms);
        EXPECT_EQ(forecast.holdFor(std::nullopt), 200ms);
    }

    TEST(StartForecastTest, NeverHoldsLongerThanItsBound)
    {
        EXPECT_EQ(StartForecast { SteadyTime() }.holdFor(10min), 1s);
    }

    TEST(StartForecastTest, AStartIsExpectedToTakeAsLongAgain)
    {
        const SteadyTime start {};
        StartSettings settings;
        settings.spread = 0;
        const StartForecast forecast { start, settings };
        Random random(1);
        EXPECT_EQ(forecast.comeBackAfter(start + 10ms, random), 200ms);
        EXPECT_EQ(forecast.comeBackAfter(start + 900ms, random), 900ms);
        EXPECT_EQ(forecast.comeBackAfter(start + 1min, random), 4s);
    }

    TEST(StartForecastTest, CallersThatAreRefusedTogetherReturnApart)
    {
        const StartForecast forecast { SteadyTime() };
        Random random(1);
        std::set<std::chrono::milliseconds> returns;
        for (int caller = 0; caller < 50; ++caller) {
            const std::chrono::milliseconds back = forecast.comeBackAfter(SteadyTime() + 1s, random);
            EXPECT_GE(back, 700ms);
            EXPECT_LE(back, 1300ms);
            returns.insert(back);
        }
        EXPECT_GT(returns.size(), 40U);
    }

}
}
