#include "whinyard/policy/EngineMemory.h"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t capacity = 399'372;
    constexpr std::uint32_t slots = 16;
    constexpr EndpointIndex engine { 3 };
    constexpr TargetIndex target { 1 };
    constexpr double toAll = 1;
    const SteadyTime start { 1h };

    class EngineMemoryTest : public testing::Test {
    protected:
        void SetUp() override { memory.useCapacity(engine, capacity, slots, target); }

        void refresh(SteadyTime now, std::size_t instances, std::size_t engines)
        {
            memory.refresh(now, instances, [engines](TargetIndex) { return engines; });
        }

        EngineMemory memory;
    };

    // Guards against own requests that are counted after their end, or dropped before it when they take longer than expected.
    TEST_F(EngineMemoryTest, CountsOwnRequestsFromBeginToEnd)
    {
        const EngineMemory::Hold first = memory.begin(engine, 60'000, start + 2s, toAll);
        const EngineMemory::Hold second = memory.begin(engine, 12'000, start + 2s, toAll);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 30s), 72'000);
        refresh(start + 30s, 1, 1);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 30s), 72'000);
        memory.end(first);
        memory.end(first);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), 12'000);
        memory.end(second);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), 0);
        EXPECT_EQ(memory.size(), 0U);
    }

    // Guards against the usage of an instance that has ended, which reports nothing more, staying for ever.
    TEST_F(EngineMemoryTest, CountsReportsUntilTheirExpectedEnd)
    {
        memory.report(engine, 20'000, start + 3s, start);
        memory.report(engine, 10'000, start + 5s, start);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 2s), 30'000);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 3s), 10'000);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 5s), 0);
        refresh(start + 5s, 1, 1);
        EXPECT_EQ(memory.size(), 0U);
    }

    // Guards against a faulty or late message that makes an engine look full for long, or more than full.
    TEST_F(EngineMemoryTest, BoundsWhatOneReportDoes)
    {
        memory.report(engine, 4'000'000'000, start + 24h, start);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), capacity);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + EngineMemory::longestReport), 0);
        memory.report(engine, 5'000, start - 1s, start);
        memory.report(EndpointIndex { 77 }, 5'000, start + 1s, start); // Of unknown capacity.
        EXPECT_DOUBLE_EQ(memory.used(EndpointIndex { 77 }, start), 0);
        EXPECT_TRUE(memory.hasRoom(EndpointIndex { 77 }, 4'000'000'000, start));
    }

    // Guards against memory of this process that grows with the number of messages, and against tokens lost by merging.
    TEST_F(EngineMemoryTest, MergesReportsOfAnEngineThatGetsVeryMany)
    {
        memory.useCapacity(engine, capacity, 0, target);
        for (int i = 0; i < 1'000; ++i)
            memory.report(engine, 100, start + 1s + std::chrono::milliseconds(i), start);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), 100'000);
        EXPECT_NEAR(memory.used(engine, start + 1'500ms), 50'000, 5'000);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 2s), 0);
    }

    // Guards against an engine that is filled above its limit, or kept from requests below it.
    TEST_F(EngineMemoryTest, HasRoomUpToTheLimit)
    {
        memory.report(engine, 300'000, start + 4s, start);
        const auto left = static_cast<std::uint32_t>(EngineMemory::fillLimit * capacity) - 300'000;
        EXPECT_TRUE(memory.hasRoom(engine, left, start));
        EXPECT_FALSE(memory.hasRoom(engine, left + 1, start));
        EXPECT_TRUE(memory.hasRoom(engine, left + 1, start + 4s));
    }

    // Guards against refusals for memory that nobody uses: an engine that is short of slots runs no more than these at once.
    TEST_F(EngineMemoryTest, CountsNoRequestsThatWaitForASlot)
    {
        for (int i = 0; i < 32; ++i)
            memory.report(engine, i % 2 == 0 ? 10'000 : 30'000, start + 4s, start);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), slots * 20'000);
        EXPECT_TRUE(memory.hasRoom(engine, 30'000, start));
    }

    // Guards against a wrong time in refusals: callers that come back too early or too late.
    TEST_F(EngineMemoryTest, TellsWhenRoomIsExpected)
    {
        memory.report(engine, 200'000, start + 4s, start);
        const EngineMemory::Hold own = memory.begin(engine, 150'000, start + 2s, toAll);
        EXPECT_EQ(memory.roomAt(engine, 40'000, start), start);
        EXPECT_EQ(memory.roomAt(engine, 60'000, start), start + 2s);
        EXPECT_EQ(memory.roomAt(engine, 300'000, start), start + 4s);
        EXPECT_EQ(memory.roomAt(engine, capacity + 1, start), SteadyTime::max());
        // The own request runs on after its expected end.
        EXPECT_EQ(memory.roomAt(engine, 60'000, start + 3s), start + 4s);
        EXPECT_EQ(memory.roomAt(engine, 300'000, start + 5s), start + 6s);
        memory.end(own);
        EXPECT_EQ(memory.roomAt(engine, 300'000, start + 5s), start + 5s);
    }

    // Guards against an engine that has restarted empty, and is kept from requests for what its earlier process held; and against
    // the ends of that process's requests being taken from the new one's usage.
    TEST_F(EngineMemoryTest, ForgetsWhatAnEarlierProcessHeld)
    {
        const EngineMemory::Hold earlier = memory.begin(engine, 100'000, start + 2s, 0);
        memory.report(engine, 200'000, start + 9s, start);
        memory.clear(engine);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), 0);
        const EngineMemory::Hold later = memory.begin(engine, 30'000, start + 2s, 0);
        memory.end(earlier);
        EXPECT_DOUBLE_EQ(memory.used(engine, start), 30'000);
        memory.end(later);
        refresh(start + 60s, 58, 90);
        EXPECT_NEAR(memory.used(engine, start + 60s), 0, 1);
    }

    // Guards against requests that nobody reports, as most short ones, being missing from the account: at 58 instances each holds
    // a 58th of what all hold. The tolerance is what the limit of 0.9 leaves.
    TEST_F(EngineMemoryTest, EstimatesUnreportedRequestsFromTheOwnOnes)
    {
        constexpr std::size_t instances = 58;
        constexpr std::size_t engines = 90;
        SteadyTime now = start;
        std::vector<EngineMemory::Hold> running;
        for (std::uint32_t i = 0; i < 15; ++i) {
            memory.useCapacity(EndpointIndex { 4 + i }, capacity, slots, target);
            running.push_back(memory.begin(EndpointIndex { 4 + i }, 2'500, now + 2s, 0));
        }
        for (int i = 0; i < 600; ++i, now += 100ms)
            refresh(now, instances, engines);
        const double others = 15 * 2'500 * 57.0 / engines;
        EXPECT_NEAR(memory.used(engine, now), others, 0.02 * others);
        EXPECT_NEAR(memory.used(EndpointIndex { 4 }, now), others + 2'500, 0.02 * others);
        for (const EngineMemory::Hold& hold : running)
            memory.end(hold);
        for (int i = 0; i < 900; ++i, now += 100ms)
            refresh(now, instances, engines);
        EXPECT_LT(memory.used(engine, now), 10);
    }

    // Guards against an estimate from few samples that shuts all engines at once: it takes at most a part of their memory.
    TEST_F(EngineMemoryTest, BoundsTheEstimate)
    {
        const EngineMemory::Hold hold = memory.begin(engine, 60'000, start + 2s, 0);
        for (int i = 0; i < 600; ++i)
            refresh(start + i * 100ms, 985, 2);
        memory.end(hold);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 60s), EngineMemory::largestEstimatedShare * capacity);
        EXPECT_TRUE(memory.hasRoom(engine, 60'000, start + 60s));
        EXPECT_EQ(memory.roomAt(engine, 390'000, start + 60s), start + 60s);
    }

    // Guards against counting twice what the others hear of, and against missing it where only a part of them is told.
    TEST_F(EngineMemoryTest, EstimatesOnlyWhatOthersDoNotHearOf)
    {
        const EngineMemory::Hold told = memory.begin(engine, 60'000, start + 2s, toAll);
        for (int i = 0; i < 600; ++i)
            refresh(start + i * 100ms, 58, 90);
        EXPECT_DOUBLE_EQ(memory.used(engine, start + 60s), 60'000);
        memory.end(told);
        const EngineMemory::Hold partly = memory.begin(engine, 60'000, start + 2s, 0.25);
        for (int i = 600; i < 1'200; ++i)
            refresh(start + i * 100ms, 58, 90);
        memory.end(partly);
        EXPECT_NEAR(memory.used(engine, start + 120s), 0.75 * 60'000 * 57 / 90, 500);
    }

    // Guards against other instances that believe an engine has room while a request runs on after its expected end; and against
    // an instance that tells of such a request all the time.
    TEST_F(EngineMemoryTest, TellsAgainOfRequestsThatRunOn)
    {
        const EngineMemory::Hold told = memory.begin(engine, 60'000, start + 2s, toAll);
        memory.begin(engine, 500, start + 2s, 0);
        refresh(start + 1'999ms, 58, 90);
        EXPECT_TRUE(memory.takeOverdue().empty());
        std::size_t notices = 0;
        SteadyTime covered = start + 2s;
        for (SteadyTime now = start + 2s; now < start + 62s; now += 100ms) {
            refresh(now, 58, 90);
            EXPECT_LE(now - covered, 100ms);
            for (const EngineMemory::Overdue& overdue : memory.takeOverdue()) {
                EXPECT_EQ(overdue.tokens, 60'000U);
                covered = now + overdue.duration;
                ++notices;
            }
        }
        EXPECT_LE(notices, 12U);
        memory.end(told);
        refresh(start + 90s, 58, 90);
        EXPECT_TRUE(memory.takeOverdue().empty());
    }

    // Guards against a fleet that believes the part which it hears to be all, and against one report that shuts an engine to those
    // few that hear of it.
    TEST_F(EngineMemoryTest, ReportsStandForOthersThatAreNotHeard)
    {
        EXPECT_DOUBLE_EQ(EngineMemory::telling(57, 57).factor, 1);
        EXPECT_DOUBLE_EQ(EngineMemory::telling(57, 57).share, 1);
        EXPECT_DOUBLE_EQ(EngineMemory::telling(96, 192).factor, 2);
        EXPECT_DOUBLE_EQ(EngineMemory::telling(96, 192).share, 1);
        EXPECT_DOUBLE_EQ(EngineMemory::telling(96, 960).factor, EngineMemory::mostStoodFor);
        EXPECT_NEAR(EngineMemory::telling(96, 960).share, 0.3, 1e-9);
        EXPECT_DOUBLE_EQ(EngineMemory::telling(0, 0).share, 0);
    }

    // Guards against gauges that operators would read wrongly.
    TEST_F(EngineMemoryTest, TellsTheBelievedShares)
    {
        memory.useCapacity(EndpointIndex { 9 }, capacity, slots, target);
        EXPECT_DOUBLE_EQ(memory.shares(start).largest, 0);
        memory.report(engine, capacity / 2, start + 4s, start);
        EXPECT_NEAR(memory.shares(start).largest, 0.5, 1e-5);
        EXPECT_NEAR(memory.shares(start).mean, 0.25, 1e-5);
        memory.useCapacity(engine, 0, slots, target);
        EXPECT_DOUBLE_EQ(memory.shares(start).largest, 0);
        EXPECT_EQ(memory.size(), 0U);
    }

    // Guards against a cost that grows with the fleet: of 10,000 engines only those that are used have an entry.
    TEST_F(EngineMemoryTest, KeepsEntriesOnlyOfEnginesThatAreUsed)
    {
        for (std::uint32_t i = 0; i < 10'000; ++i)
            memory.useCapacity(EndpointIndex { i }, capacity, slots, target);
        for (std::uint32_t i = 0; i < 200; ++i)
            memory.report(EndpointIndex { i }, 12'000, start + 3s, start);
        EXPECT_EQ(memory.size(), 200U);
        refresh(start + 3s, 985, 10'000);
        EXPECT_EQ(memory.size(), 0U);
    }

}
}
