#include "whinyard/backing/LeasedRecord.h"

#include "whinyard/backing/FakeWatchableStore.h"

#include <gtest/gtest.h>

namespace whinyard::backing {
namespace {

    class LeasedRecordTest : public ::testing::Test {
    protected:
        FakeWatchableStore m_store;
        LeasedRecord m_record { m_store, "instance/a", "10.0.0.1:7", std::chrono::seconds(6) };
        Failure m_failure;
    };

    TEST_F(LeasedRecordTest, WritesOnceAndRenews)
    {
        EXPECT_FALSE(m_record.isHeld());
        EXPECT_TRUE(m_record.turn(m_failure));
        EXPECT_TRUE(m_record.isHeld());
        const Revision revision = m_store.find("instance/a")->revision;
        EXPECT_TRUE(m_record.turn(m_failure));
        EXPECT_EQ(m_store.find("instance/a")->revision, revision);
    }

    TEST_F(LeasedRecordTest, WritesAnewWhenItsLeaseHasLapsed)
    {
        m_record.turn(m_failure);
        m_store.lapseLeases();
        EXPECT_EQ(m_store.find("instance/a"), nullptr);
        EXPECT_TRUE(m_record.turn(m_failure));
        EXPECT_NE(m_store.find("instance/a"), nullptr);
    }

    TEST_F(LeasedRecordTest, TriesAgainWhileTheStoreIsAwayOrLosesReplies)
    {
        m_store.isAway = true;
        EXPECT_FALSE(m_record.turn(m_failure));
        m_store.isAway = false;
        m_store.losesReplies = true;
        EXPECT_FALSE(m_record.turn(m_failure));
        m_store.losesReplies = false;
        EXPECT_TRUE(m_record.turn(m_failure));
        EXPECT_EQ(m_store.find("instance/a")->value, "10.0.0.1:7");
    }

    TEST_F(LeasedRecordTest, TakesItsRecordBack)
    {
        m_record.turn(m_failure);
        m_record.end();
        EXPECT_EQ(m_store.find("instance/a"), nullptr);
    }

    TEST(LeasedRecordTakeoverTest, RenewsTheLeaseOfAnEarlierLife)
    {
        FakeWatchableStore store;
        Failure failure;
        LeasedRecord earlier(store, "i/1", "address", std::chrono::seconds(20));
        ASSERT_TRUE(earlier.turn(failure));
        const std::size_t before = store.calls;
        LeasedRecord later(store, "i/1", "address", std::chrono::seconds(20));
        later.adopt(*store.find("i/1"));
        EXPECT_TRUE(later.isHeld());
        EXPECT_TRUE(later.turn(failure));
        EXPECT_EQ(store.calls, before + 1) << "one renewal in place of a grant and a write";
    }

    TEST(LeasedRecordTakeoverTest, WritesAnewWhereTheLeaseHasEndedOrAnotherValueStands)
    {
        FakeWatchableStore store;
        Failure failure;
        LeasedRecord earlier(store, "i/1", "address", std::chrono::seconds(20));
        ASSERT_TRUE(earlier.turn(failure));
        LeasedRecord moved(store, "i/1", "another address", std::chrono::seconds(20));
        moved.adopt(*store.find("i/1"));
        EXPECT_FALSE(moved.isHeld());
        LeasedRecord later(store, "i/1", "address", std::chrono::seconds(20));
        later.adopt(*store.find("i/1"));
        store.lapseLeases();
        EXPECT_TRUE(later.turn(failure));
        ASSERT_TRUE(store.find("i/1"));
        EXPECT_EQ(store.find("i/1")->value, "address");
    }

    // Guards against renewing the lease of another process, whose number is the same since the store came back from an older copy.
    TEST(LeasedRecordReturnTest, WritesAgainWhatTheStoreLost)
    {
        FakeWatchableStore store;
        Failure failure;
        LeasedRecord first(store, "a", "1", std::chrono::seconds(20));
        LeasedRecord second(store, "b", "2", std::chrono::seconds(20));
        ASSERT_TRUE(first.turn(failure));
        store.keepCopy();
        ASSERT_TRUE(second.turn(failure));
        store.returnToCopy();
        ASSERT_TRUE(store.grantLease(std::chrono::seconds(20), failure)) << "with the number that the second one had";
        EXPECT_TRUE(first.isInDoubt());
        const std::size_t calls = store.calls;
        EXPECT_TRUE(first.turn(failure));
        EXPECT_EQ(store.calls, calls + 2) << "a cheap read and a renewal";
        EXPECT_TRUE(second.turn(failure));
        ASSERT_TRUE(store.find("b"));
        EXPECT_EQ(store.find("b")->lease, (LeaseId { 3, 1 }));
        EXPECT_FALSE(first.isInDoubt() || second.isInDoubt());
    }

}
}
