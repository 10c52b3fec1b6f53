#include "whinyard/backing/PrefixFollower.h"

#include "whinyard/backing/FakeWatchableStore.h"
#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::backing {
namespace {

    // Keeps what it is told as a map.
    class Copy final : public PrefixObserver {
    public:
        std::map<std::string, std::string> values;
        int replacements = 0;
        int failures = 0;
        std::optional<SteadyTime> provenAt;

        void replaced(const std::vector<Record>& records, Revision) override
        {
            ++replacements;
            values.clear();
            for (const Record& record : records)
                values[record.key] = record.value;
        }

        void changed(const std::vector<RecordChange>& changes) override
        {
            for (const RecordChange& change : changes) {
                if (change.deleted)
                    values.erase(change.record.key);
                else
                    values[change.record.key] = change.record.value;
            }
        }

        void proven(SteadyTime startedAt) override { provenAt = startedAt; }
        void failed(const Failure&) override { ++failures; }
    };

    class PrefixFollowerTest : public ::testing::Test {
    protected:
        FakeClock m_clock;
        FakeWatchableStore m_store;
        Copy m_copy;
        PrefixFollower m_follower { m_store, m_clock, "a/", std::chrono::seconds(1), m_copy };
    };

    TEST_F(PrefixFollowerTest, ReadsAllPagesThenFollowsChanges)
    {
        m_store.pageSize = 2;
        for (const char* key : { "a/1", "a/2", "a/3", "a/4", "a/5", "b/1" })
            m_store.write(key, key);
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values.size(), 5U);
        m_store.write("a/2", "new");
        m_store.erase("a/3");
        m_store.write("b/1", "new");
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values.size(), 4U);
        EXPECT_EQ(m_copy.values["a/2"], "new");
        EXPECT_EQ(m_copy.replacements, 1);
    }

    // Guards against a watch that goes on where the store has given out its revisions again: it would be told of nothing in between.
    TEST_F(PrefixFollowerTest, ReadsAnewWhereTheStoreCameBackFromAnOlderCopy)
    {
        m_store.write("a/1", "old");
        m_store.keepCopy();
        m_store.write("a/2", "lost");
        m_follower.turn();
        m_store.returnToCopy();
        m_store.write("a/1", "new");
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values, (std::map<std::string, std::string> { { "a/1", "new" } }));
        EXPECT_EQ(m_copy.replacements, 2);
        m_store.write("a/2", "again");
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values["a/2"], "again");
        EXPECT_EQ(m_copy.replacements, 2);
    }

    TEST_F(PrefixFollowerTest, ReadsAnewWhenTheHistoryIsGone)
    {
        m_store.write("a/1", "old");
        m_store.write("a/2", "old");
        m_follower.turn();
        m_store.write("a/1", "new");
        m_store.erase("a/2");
        m_store.compact();
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values, (std::map<std::string, std::string> { { "a/1", "new" } }));
        EXPECT_EQ(m_copy.replacements, 2);
    }

    TEST_F(PrefixFollowerTest, FindsOutAWatchThatWasSilentOverAChange)
    {
        m_store.write("a/1", "old");
        m_follower.turn();
        m_store.isSilent = true;
        m_store.write("a/1", "new");
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values["a/1"], "old");
        m_store.isSilent = false;
        m_store.compact();
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values["a/1"], "new");
    }

    // Guards against a follower that waits between full answers: ten thousand records took twenty of its pauses.
    TEST_F(PrefixFollowerTest, SaysThatAnAnswerHeldNotAll)
    {
        m_follower.turn();
        EXPECT_FALSE(m_follower.isBehind());
        m_store.pageSize = 3;
        for (int i = 0; i < 7; ++i)
            m_store.write("a/" + std::to_string(i), "new");
        for (const bool isBehind : { true, true, false }) {
            EXPECT_TRUE(m_follower.turn());
            EXPECT_EQ(m_follower.isBehind(), isBehind);
        }
        EXPECT_EQ(m_copy.values.size(), 7U);
        EXPECT_EQ(m_copy.replacements, 1);
    }

    TEST_F(PrefixFollowerTest, TellsOfFailuresAndProvesNothingByThem)
    {
        m_store.isAway = true;
        EXPECT_FALSE(m_follower.turn());
        EXPECT_EQ(m_copy.failures, 1);
        EXPECT_FALSE(m_copy.provenAt);
        m_store.isAway = false;
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.provenAt, m_clock.now());
        m_store.isAway = true;
        m_store.write("a/1", "missed meanwhile");
        EXPECT_FALSE(m_follower.turn());
        m_store.isAway = false;
        EXPECT_TRUE(m_follower.turn());
        EXPECT_EQ(m_copy.values["a/1"], "missed meanwhile");
    }

}
}
