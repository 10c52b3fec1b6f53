// Choices that weigh an engine's prefill time by the pace that all instances have learnt.
#include "whinyard/policy/EndpointChoice.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };
    constexpr double slowPace = 1.8;
    constexpr double fastPace = 0.8;

    class EndpointPaceTest : public testing::Test {
    protected:
        EndpointPaceTest()
        {
            table.replaceMembers(std::vector<EndpointMember> { { { "fast" }, { "z" }, { { "lm" } }, {}, false }, { { "slow" }, { "z" }, { { "lm" } }, {}, false } });
            fast = *table.find(EndpointName { "fast" });
            slow = *table.find(EndpointName { "slow" });
            table.usePace(fast, fastPace);
            table.usePace(slow, slowPace);
            request.target = *table.find(VersionName { "lm" });
            request.tokenTime = 10us;
            request.promptTokens = 12'000;
        }

        static WaitSelectorSettings settings()
        {
            WaitSelectorSettings settings;
            settings.fullScanLimit = 64;
            settings.sharesPaces = true;
            return settings;
        }

        EndpointPlan choose() { return selector->choose(table, request, start, random); }

        EndpointPlan chooseWithout(EndpointIndex other)
        {
            request.excluded = { &other, 1 };
            const EndpointPlan plan = choose();
            request.excluded = {};
            return plan;
        }

        EndpointTable table;
        EndpointIndex fast {};
        EndpointIndex slow {};
        std::unique_ptr<EndpointSelector> selector = makeWaitSelector(settings());
        EndpointRequest request;
        Random random { 7 };
    };

}

TEST_F(EndpointPaceTest, WeighsThePrefillOfFastAndSlowEngines)
{
    EXPECT_EQ(chooseWithout(slow).expectedWait, 96ms);
    EXPECT_EQ(chooseWithout(fast).expectedWait, 216ms);
    EXPECT_EQ(chooseWithout(fast).soundWait, 120ms) << "what is known of an engine doesn't excuse its version";
    EXPECT_EQ(chooseWithout(fast).unqueuedWait, 120ms);
}

// One instance's own measure would count the engine's pace twice.
TEST_F(EndpointPaceTest, CountsWhatThePaceExplainsOnce)
{
    for (int i = 0; i < 20; ++i)
        table.recordExpectation(slow, 180ms, 100ms, start);
    EXPECT_EQ(chooseWithout(fast).expectedWait, 216ms);
}

// Guards against an overloaded engine that looks free: only its late answers show requests that preempt each other there.
TEST_F(EndpointPaceTest, CountsSlownessBeyondThePace)
{
    for (int i = 0; i < 20; ++i)
        table.recordExpectation(slow, 800ms, 100ms, start);
    EXPECT_GT(chooseWithout(fast).expectedWait, 2 * 216ms);
}

// Guards against long prompts at slow engines, and against slow engines that get nothing at all.
TEST_F(EndpointPaceTest, LongPromptsWaitForAFastEngineAndShortOnesUseTheSlowOne)
{
    table.recordWork(fast, 50ms, start);
    EXPECT_EQ(choose().endpoint, fast);
    request.promptTokens = 800;
    EXPECT_EQ(choose().endpoint, slow);
}

// Guards against a slow engine that is believed to be free while it still prefills.
TEST_F(EndpointPaceTest, RecordsWorkAtTheEnginesPace)
{
    table.recordWork(slow, 100ms, start);
    table.recordWork(fast, 100ms, start);
    EXPECT_EQ(table.backlog(slow, start), 180ms);
    EXPECT_EQ(table.backlog(fast, start), 80ms);
    EXPECT_EQ(chooseWithout(fast).expectedWait, 180ms + 216ms) << "a backlog isn't weighed again";
    EXPECT_EQ(chooseWithout(fast).soundWait, 100ms + 120ms);
}

TEST_F(EndpointPaceTest, AnEngineThatStartedAgainHasTheOrdinaryPace)
{
    table.replaceMembers(std::vector<EndpointMember> { { { "slow" }, { "z" }, { { "lm" } }, {}, false, 0, 4 } });
    table.usePace(slow, slowPace);
    table.replaceMembers(std::vector<EndpointMember> { { { "slow" }, { "z" }, { { "lm" } }, {}, false, 0, 5 } });
    EXPECT_EQ(choose().expectedWait, 120ms);
}

// Guards against samples that measure a queue, a cache or the fixed part of the time as an engine's speed.
TEST_F(EndpointPaceTest, OnlyLongUncachedPromptsAtIdleEnginesShowThePace)
{
    EXPECT_TRUE(choose().showsPace);
    EXPECT_EQ(choose().unreadTokens, 12'000U);
    request.promptTokens = 900;
    request.tokenTime = 1ms;
    EXPECT_FALSE(choose().showsPace) << "few tokens";
    request.promptTokens = 2'000;
    request.tokenTime = 10us;
    EXPECT_FALSE(choose().showsPace) << "20 ms are mostly the way and a step";
    request.promptTokens = 12'000;
    table.recordWork(fast, 10ms, start);
    EXPECT_TRUE(chooseWithout(slow).showsPace);
    table.recordWork(fast, 20ms, start);
    EXPECT_FALSE(chooseWithout(slow).showsPace) << "waits for another prompt";
    const std::uint64_t prefix[] = { 11, 22 };
    request.prefix = prefix;
    table.recordPrefixes(slow, prefix, start);
    EXPECT_FALSE(choose().showsPace) << "believed to be cached";
    const float shares[] = { 0.25F, 1 };
    request.prefix = { prefix, 1 };
    request.prefixShares = { shares, 1 };
    EXPECT_TRUE(chooseWithout(fast).showsPace) << "a quarter of it";
    EXPECT_EQ(chooseWithout(fast).unreadTokens, 9'000U);
    request.prefix = {};
    request.prefixShares = {};
    EXPECT_TRUE(chooseWithout(fast).showsPace);
    for (int i = 0; i < 20; ++i)
        table.recordDispatch(slow, {}, start);
    EXPECT_FALSE(chooseWithout(fast).showsPace) << "waits for a slot";
}

TEST_F(EndpointPaceTest, NothingShowsAPaceWhereItIsNotShared)
{
    selector = makeWaitSelector();
    EXPECT_FALSE(choose().showsPace);
}

}
