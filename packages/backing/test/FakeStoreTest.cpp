#include "whinyard/backing/FakeStore.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::backing {

namespace {

    using namespace std::chrono_literals;

    class FakeStoreTest : public testing::Test {
    protected:
        FakeClock m_clock;
        FakeStore m_store { m_clock };
        Failure m_failure;
    };

}

TEST_F(FakeStoreTest, SwapsOnlyAtTheExpectedRevision)
{
    const auto first = m_store.swap({ .key = "a", .value = "1" }, m_failure);
    ASSERT_TRUE(first);
    EXPECT_FALSE(m_store.swap({ .key = "a", .value = "2" }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::swapConflict);
    const auto second = m_store.swap({ .key = "a", .value = "2", .expected = *first }, m_failure);
    ASSERT_TRUE(second);
    EXPECT_FALSE(m_store.erase("a", *first, m_failure));
    EXPECT_TRUE(m_store.erase("a", *second, m_failure));
    EXPECT_FALSE(m_store.read("a", m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::notFound);
    EXPECT_GT(m_store.swap({ .key = "a", .value = "3" }, m_failure).value_or(0), *second);
}

TEST_F(FakeStoreTest, ListsInOrderOfKeysUpToTheLimit)
{
    for (const char* key : { "p/3", "p/1", "q/1", "p/2" })
        m_store.memory().put(key, "v");
    const auto records = m_store.list("p/", "p/1", 1, m_failure);
    ASSERT_TRUE(records);
    ASSERT_EQ(records->size(), 1U);
    EXPECT_EQ(records->front().key, "p/2");
}

TEST_F(FakeStoreTest, AppliesAWriteWhoseReplyIsLost)
{
    m_store.loseNextReply();
    EXPECT_FALSE(m_store.swap({ .key = "a", .value = "1" }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::storeUncertain);
    EXPECT_EQ(m_store.memory().read("a")->value, "1");
}

TEST_F(FakeStoreTest, AppliesADelayedWriteOnlyIfItsRevisionStillStands)
{
    m_store.delayNextWrite();
    EXPECT_FALSE(m_store.swap({ .key = "a", .value = "late" }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::storeUncertain);
    m_store.delayNextWrite();
    EXPECT_FALSE(m_store.swap({ .key = "b", .value = "late" }, m_failure));
    EXPECT_TRUE(m_store.swap({ .key = "b", .value = "soon" }, m_failure));
    EXPECT_EQ(m_store.releaseDelayed(), 1U);
    EXPECT_EQ(m_store.memory().read("a")->value, "late");
    EXPECT_EQ(m_store.memory().read("b")->value, "soon");
}

TEST_F(FakeStoreTest, LetsAnotherWriterComeBetween)
{
    m_store.beforeNextWrite([&] { m_store.memory().put("a", "other"); });
    EXPECT_FALSE(m_store.swap({ .key = "a", .value = "mine" }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::swapConflict);
}

TEST_F(FakeStoreTest, DropsRecordsOfALapsedLease)
{
    const auto lease = m_store.grantLease(100ms, m_failure);
    ASSERT_TRUE(lease);
    ASSERT_TRUE(m_store.swap({ .key = "a", .value = "1", .lease = *lease }, m_failure));
    m_clock.advance(60ms);
    EXPECT_TRUE(m_store.keepLease(*lease, m_failure));
    m_clock.advance(60ms);
    EXPECT_TRUE(m_store.read("a", m_failure));
    m_clock.advance(60ms);
    EXPECT_FALSE(m_store.read("a", m_failure));
    EXPECT_FALSE(m_store.keepLease(*lease, m_failure));
    EXPECT_FALSE(m_store.swap({ .key = "a", .value = "1", .lease = *lease }, m_failure));
}

TEST_F(FakeStoreTest, HasNoEffectWhileDownAndCountsEveryCall)
{
    m_store.setDown(true);
    EXPECT_FALSE(m_store.swap({ .key = "a", .value = "1" }, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::storeUnavailable);
    EXPECT_FALSE(m_store.watch("a", 0, 1s, m_failure));
    m_store.setDown(false);
    EXPECT_FALSE(m_store.watch("a", 0, 1s, m_failure));
    EXPECT_EQ(m_failure.kind, ErrorKind::deadlineExceeded);
    EXPECT_EQ(m_store.calls().swaps, 1U);
    EXPECT_EQ(m_store.calls().watches, 2U);
    EXPECT_EQ(m_store.calls().total(), 3U);
}

}
