#include "whinyard/policy/AdmissionQueue.h"

#include <gtest/gtest.h>

#include <map>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };

    QueueItem item(std::uint64_t id, std::uint32_t customer, std::uint8_t priority = 1, SteadyTime deadline = SteadyTime::max())
    {
        return { id, static_cast<CustomerIndex>(customer), priority, 256, deadline };
    }

    // Takes `count` requests, one each 10 ms, and returns how many each customer got; ids are customer * 10,000 + n.
    std::map<std::uint64_t, int> served(AdmissionQueue& queue, int count, SteadyTime& now)
    {
        std::map<std::uint64_t, int> counts;
        for (int i = 0; i < count; ++i) {
            now += 10ms;
            const std::optional<TakenItem> taken = queue.take(now);
            if (taken && taken->verdict == TakeVerdict::serve)
                ++counts[taken->id / 10'000];
        }
        return counts;
    }

}

TEST(AdmissionQueueTest, CustomersShareByWeightAndNobodyStarves)
{
    AdmissionQueue queue;
    SteadyTime now = start;
    for (std::uint64_t i = 0; i < 1'000; ++i) {
        queue.offer(item(10'000 + i, 1), now);
        if (i < 500)
            queue.offer(item(20'000 + i, 2), now);
        if (i < 100)
            queue.offer(item(30'000 + i, 3, 2), now);
    }
    std::map<std::uint64_t, int> counts = served(queue, 450, now);
    EXPECT_EQ(counts[1], 200);
    EXPECT_EQ(counts[2], 200);
    EXPECT_EQ(counts[3], 50) << "the last priority gets its part beside two busy customers";
}

TEST(AdmissionQueueTest, SoonestDeadlineGoesFirstAndPastOnesAreSaid)
{
    AdmissionQueue queue;
    queue.offer(item(1, 0, 1, start + 9s), start);
    queue.offer(item(2, 0, 1, start + 1s), start);
    queue.offer(item(3, 0, 1, start + 5s), start);
    const auto first = queue.take(start + 2s);
    const auto second = queue.take(start + 2s);
    ASSERT_TRUE(first && second);
    EXPECT_EQ(first->id, 2U);
    EXPECT_EQ(first->verdict, TakeVerdict::expired);
    EXPECT_EQ(second->id, 3U);
    EXPECT_EQ(second->verdict, TakeVerdict::serve);
    EXPECT_TRUE(queue.remove(item(1, 0)));
    EXPECT_FALSE(queue.take(start + 2s));
}

TEST(AdmissionQueueTest, RefusesAtOnceWhatTheDrainRateCannotServeInTime)
{
    AdmissionQueue queue;
    SteadyTime now = start;
    for (std::uint64_t i = 0; i < 300; ++i)
        queue.offer(item(10'000 + i, 1), now);
    served(queue, 100, now); // 100 a second; 200 wait.
    const QueueDecision refused = queue.offer(item(20'000, 1, 1, now + 500ms), now);
    EXPECT_EQ(refused.verdict, QueueVerdict::deadlineUnreachable);
    EXPECT_NEAR(static_cast<double>(refused.expectedWait.count()), 2'000, 150);
    EXPECT_NEAR(static_cast<double>(refused.retryAfter.count()), 1'500, 150);
    EXPECT_EQ(queue.offer(item(20'001, 2, 1, now + 500ms), now).verdict, QueueVerdict::accepted) << "another customer isn't behind them";
}

TEST(AdmissionQueueTest, FullQueueTakesFromTheLongestPart)
{
    QueueSettings settings;
    settings.capacity = 10;
    AdmissionQueue queue(settings);
    for (std::uint64_t i = 0; i < 10; ++i)
        queue.offer(item(10'000 + i, 1), start);
    const QueueDecision refused = queue.offer(item(10'010, 1), start);
    EXPECT_EQ(refused.verdict, QueueVerdict::full);
    EXPECT_EQ(refused.retryAfter, 250ms);
    const QueueDecision taken = queue.offer(item(20'000, 2), start);
    EXPECT_EQ(taken.verdict, QueueVerdict::accepted);
    ASSERT_TRUE(taken.evicted.has_value());
    EXPECT_EQ(*taken.evicted / 10'000, 1U);
    EXPECT_EQ(queue.size(), 10U);
}

// Guards against requests of a customer with few that are refused as if all others had as many as the one with most.
TEST(AdmissionQueueTest, ForecastsTheWaitBehindWhatOthersHave)
{
    AdmissionQueue queue;
    queue.useDrainRate(100 * 256); // 100 requests a second.
    for (std::uint64_t i = 0; i < 100; ++i)
        queue.offer(item(10'000 + i, 1), start);
    queue.offer(item(20'000, 2), start);
    for (std::uint64_t i = 0; i < 9; ++i)
        queue.offer(item(30'000 + i, 3), start);
    // Behind 9 of its own, 10 of the first customer and 1 of the second.
    EXPECT_EQ(queue.offer(item(30'009, 3), start).expectedWait, 200ms);
    EXPECT_EQ(queue.offer(item(30'010, 3, 1, start + 200ms), start).verdict, QueueVerdict::deadlineUnreachable);
}

// Guards against a stated rate that the measured one overrides.
TEST(AdmissionQueueTest, UsesTheStatedDrainRate)
{
    AdmissionQueue queue;
    SteadyTime now = start;
    for (std::uint64_t i = 0; i < 300; ++i)
        queue.offer(item(10'000 + i, 1), now);
    served(queue, 100, now); // 100 a second were measured.
    queue.useDrainRate(400 * 256);
    EXPECT_EQ(queue.offer(item(10'300, 1), now).expectedWait, 500ms);
}

}
