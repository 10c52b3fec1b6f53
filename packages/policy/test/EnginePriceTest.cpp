#include "whinyard/policy/EnginePrice.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    TEST(EnginePriceTest, FollowsTheBacklogWithinASecond)
    {
        EnginePrice price;
        SteadyTime now {};
        for (int look = 0; look < 20; ++look)
            price.note(1s, 1, now += 50ms);
        EXPECT_GT(price.backlog(), 800ms);
        for (int look = 0; look < 20; ++look)
            price.note(0s, 0, now += 50ms);
        EXPECT_LT(price.backlog(), 200ms);
    }

    TEST(EnginePriceTest, CountsThePromptsOwnReading)
    {
        const EnginePrice idle({ .delayShare = 1 });
        EXPECT_DOUBLE_EQ(idle.share(400ms, 2s), 0.1) << "those that come meanwhile wait for half of it";
        EXPECT_DOUBLE_EQ(idle.share(0ms, 2s), 0);
    }

    // Guards against poor answers of the small model for long prompts while most engines have nothing to do: the reading of a
    // long prompt by the large model then counted as if every other request had to wait for it.
    TEST(EnginePriceTest, CountsThePromptsOwnReadingOnlyAsFarAsEnginesAreBusy)
    {
        EnginePrice price({ .delayShare = 1, .byBusyShare = true });
        EXPECT_DOUBLE_EQ(price.share(400ms, 2s), 0) << "nobody waits where nothing was given to any engine";
        price.note(0s, 0.25, SteadyTime() + 1h);
        EXPECT_DOUBLE_EQ(price.share(400ms, 2s), 0.025) << "one in four finds its engine busy";
        price.note(0s, 1, SteadyTime() + 2h);
        EXPECT_DOUBLE_EQ(price.share(400ms, 2s), 0.1);
    }

    TEST(EnginePriceTest, FollowsTheShareOfBusyEnginesWithinASecond)
    {
        EnginePrice price({ .delayShare = 1, .byBusyShare = true });
        SteadyTime now {};
        for (int look = 0; look < 20; ++look)
            price.note(0s, 1, now += 50ms);
        EXPECT_GT(price.share(2s, 2s), 0.4);
        for (int look = 0; look < 20; ++look)
            price.note(0s, 0, now += 50ms);
        EXPECT_LT(price.share(2s, 2s), 0.1);
    }

    TEST(EnginePriceTest, IsNothingWhereEnginesTimeHasNoPrice)
    {
        EnginePrice free({ .delayShare = 0 });
        free.note(10s, 1, SteadyTime() + 1h);
        EXPECT_EQ(free.share(1s, 2s), 0);
    }

}
}
