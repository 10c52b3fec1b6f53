#include "whinyard/leadership/LeaderLease.h"

#include "whinyard/backing/FakeWatchableStore.h"
#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::leadership {
namespace {

    using namespace std::chrono_literals;

    constexpr auto callTime = 800ms;

    class LeaderLeaseTest : public ::testing::Test {
    protected:
        FakeClock m_clock;
        backing::FakeWatchableStore m_store;
        Failure m_failure;
        LeaderLease m_first { m_store, m_clock, { "first" } };
        LeaderLease m_second { m_store, m_clock, { "second" } };
    };

    TEST_F(LeaderLeaseTest, LetsOneInstanceLead)
    {
        EXPECT_TRUE(m_first.turn(m_failure));
        EXPECT_FALSE(m_second.turn(m_failure));
        EXPECT_EQ(m_second.leader().value, "first");
        EXPECT_TRUE(m_first.fenceFor(callTime));
        EXPECT_FALSE(m_second.fenceFor(callTime));
    }

    TEST_F(LeaderLeaseTest, ActsOnlyWhileTheLeaseOutlastsTheAction)
    {
        m_first.turn(m_failure);
        m_clock.advance(2'100ms);
        EXPECT_TRUE(m_first.fenceFor(callTime));
        m_clock.advance(100ms);
        EXPECT_FALSE(m_first.fenceFor(callTime)) << "2.2 s of 3 s have passed, and the clocks may differ";
        EXPECT_TRUE(m_first.turn(m_failure));
        EXPECT_TRUE(m_first.fenceFor(callTime));
    }

    TEST_F(LeaderLeaseTest, StopsByItsOwnClockWhileTheStoreIsAway)
    {
        m_first.turn(m_failure);
        m_store.isAway = true;
        m_clock.advance(1s);
        EXPECT_TRUE(m_first.turn(m_failure)) << "the record still stands";
        m_clock.advance(2s);
        EXPECT_FALSE(m_first.turn(m_failure));
        EXPECT_FALSE(m_first.fenceFor(0ms));
    }

    TEST_F(LeaderLeaseTest, FencesRiseFromLeaderToLeader)
    {
        m_first.turn(m_failure);
        const std::uint64_t before = *m_first.fenceFor(0ms);
        m_store.lapseLeases();
        EXPECT_TRUE(m_second.turn(m_failure));
        EXPECT_GT(*m_second.fenceFor(0ms), before);
        EXPECT_FALSE(m_first.turn(m_failure)) << "its lease has ended";
        EXPECT_FALSE(m_first.isHeld());
    }

    // The other one may have found the record gone as well.
    TEST_F(LeaderLeaseTest, LosesARaceForTheRecord)
    {
        m_store.beforeTransaction = [this] { m_second.turn(m_failure); };
        EXPECT_FALSE(m_first.turn(m_failure));
        EXPECT_TRUE(m_second.isHeld());
        EXPECT_FALSE(m_first.fenceFor(0ms));
    }

    TEST_F(LeaderLeaseTest, TakesUpAWriteWhoseAnswerWasLost)
    {
        m_store.losesReplies = true;
        EXPECT_FALSE(m_first.turn(m_failure));
        EXPECT_FALSE(m_first.fenceFor(0ms));
        m_store.losesReplies = false;
        EXPECT_TRUE(m_first.turn(m_failure));
        EXPECT_EQ(m_first.fenceFor(0ms), m_store.find("whinyard/leader")->revision);
    }

    TEST_F(LeaderLeaseTest, LeavesTheRecordStandingWhenItResigns)
    {
        m_first.turn(m_failure);
        m_first.resign();
        EXPECT_FALSE(m_first.fenceFor(0ms));
        EXPECT_FALSE(m_second.turn(m_failure)) << "a successor waits until the lease has ended";
        EXPECT_FALSE(m_first.turn(m_failure)) << "and so does the same instance";
        m_store.lapseLeases();
        EXPECT_TRUE(m_second.turn(m_failure));
    }

    // Guards against two leaders: the record is gone, and its leader still acts by a lease that it had from the store before.
    TEST_F(LeaderLeaseTest, ActsOnlyOnceEveryLeaderOfTheEraBeforeHasEnded)
    {
        m_store.keepCopy();
        m_first.turn(m_failure);
        const std::uint64_t before = *m_first.fenceFor(0ms);
        m_store.returnToCopy();
        EXPECT_TRUE(m_second.turn(m_failure));
        EXPECT_FALSE(m_second.fenceFor(0ms));
        m_clock.advance(2'900ms);
        m_second.turn(m_failure);
        EXPECT_FALSE(m_second.fenceFor(0ms));
        m_clock.advance(200ms);
        ASSERT_TRUE(m_second.fenceFor(0ms));
        EXPECT_GT(*m_second.fenceFor(0ms), before) << "the number of its record is no larger";
        EXPECT_FALSE(m_first.turn(m_failure));
        EXPECT_FALSE(m_first.fenceFor(0ms));
    }

    // Guards against renewing, or taking for its own, a lease whose number was given out again.
    TEST_F(LeaderLeaseTest, GivesUpALeaseWhoseNumberIsAnothersNow)
    {
        m_store.keepCopy();
        m_first.turn(m_failure);
        m_store.returnToCopy();
        m_second.turn(m_failure);
        ASSERT_EQ(m_store.find("whinyard/leader")->lease.number, 1U) << "as the first one's was";
        EXPECT_FALSE(m_first.turn(m_failure));
        EXPECT_FALSE(m_first.turn(m_failure)) << "the record is the second one's";
        EXPECT_EQ(m_first.leader().value, "second");
    }

    TEST_F(LeaderLeaseTest, GoesOnWhereTheCopyHasItsRecord)
    {
        m_first.turn(m_failure);
        m_store.keepCopy();
        m_store.returnToCopy();
        EXPECT_FALSE(m_first.turn(m_failure)) << "its lease is looked up first";
        EXPECT_TRUE(m_first.turn(m_failure));
        m_clock.advance(3s);
        m_first.turn(m_failure);
        EXPECT_TRUE(m_first.fenceFor(0ms));
        EXPECT_EQ(m_first.revision(), m_store.find("whinyard/leader")->revision);
    }

}
}
