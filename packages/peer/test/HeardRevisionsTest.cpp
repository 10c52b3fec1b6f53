#include "whinyard/peer/HeardRevisions.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    class HeardRevisionsTest : public ::testing::Test {
    protected:
        std::optional<RevisionRead> due(std::uint64_t own, bool isFollower = false) { return m_heard.due(own, isFollower, m_clock.now()); }

        FakeClock m_clock;
        HeardRevisions m_heard { Random(7) };
    };

    TEST_F(HeardRevisionsTest, ReadsFromAnInstanceThatKnowsMore)
    {
        EXPECT_FALSE(due(0)) << "nothing was heard";
        m_heard.hear({ "a" }, 8, m_clock.now());
        m_heard.hear({ "b" }, 5, m_clock.now());
        EXPECT_TRUE(m_heard.isBehind(5));
        for (int draw = 0; draw < 20; ++draw)
            EXPECT_EQ(due(5), RevisionRead { InstanceName { "a" } }) << "the other one knows no more than this instance";
        EXPECT_FALSE(due(8));
        EXPECT_FALSE(m_heard.isBehind(8));
    }

    // A configuration of a thousand routes took a 10 Mbit/s link longer than the 200 ms after which its read was begun anew,
    // for as long as other instances stated a newer version: 8 s, until they were gone.
    TEST_F(HeardRevisionsTest, LetsAReadThatIsUnderWayEnd)
    {
        m_heard.hear({ "a" }, 8, m_clock.now());
        ASSERT_TRUE(due(0));
        m_heard.noteBegun();
        for (int look = 0; look < 100; ++look) {
            m_clock.advance(200ms);
            m_heard.hear({ "a" }, 8, m_clock.now());
            EXPECT_FALSE(due(0));
        }
        m_heard.noteEnded(true, m_clock.now());
        EXPECT_FALSE(due(8));
        m_heard.hear({ "a" }, 9, m_clock.now());
        EXPECT_TRUE(due(8)) << "a success costs the next read no time";
    }

    TEST_F(HeardRevisionsTest, WaitsLongerAfterEachFailureAndAsksTheStoreNowAndThen)
    {
        m_heard.hear({ "a" }, 8, m_clock.now());
        std::chrono::milliseconds waited { 0 };
        int ofStore = 0;
        for (int failures = 0; failures < 6; ++failures) {
            const std::optional<RevisionRead> read = due(0);
            ASSERT_TRUE(read);
            ofStore += read->from ? 0 : 1;
            m_heard.noteBegun();
            m_heard.noteEnded(false, m_clock.now());
            while (!due(0)) {
                m_clock.advance(10ms);
                waited += 10ms;
            }
        }
        EXPECT_EQ(ofStore, 2);
        EXPECT_EQ(waited, 100ms + 200ms + 400ms + 800ms + 1'600ms + 1'600ms);
    }

    // A configuration must be in force within two to four seconds. A follower that stood still right after it had told of one
    // was asked again by a quarter of all instances, each time for a second, and then the store by all of these.
    TEST_F(HeardRevisionsTest, AsksAnotherInstanceAfterOneThatFailed)
    {
        for (int draw = 0; draw < 20; ++draw) {
            HeardRevisions heard { Random(draw) };
            heard.hear({ "a" }, 8, m_clock.now());
            heard.hear({ "b" }, 8, m_clock.now());
            const std::optional<RevisionRead> first = heard.due(0, false, m_clock.now());
            ASSERT_TRUE(first && first->from);
            heard.noteBegun();
            heard.noteEnded(false, m_clock.now());
            m_clock.advance(100ms);
            const std::optional<RevisionRead> second = heard.due(0, false, m_clock.now());
            ASSERT_TRUE(second && second->from);
            EXPECT_NE(second->from->value, first->from->value);
        }
    }

    TEST_F(HeardRevisionsTest, LeavesAFollowersOwnWatchAMoment)
    {
        m_heard.hear({ "a" }, 8, m_clock.now());
        EXPECT_FALSE(due(5, true)) << "the store's own word may be on its way";
        m_clock.advance(300ms);
        EXPECT_TRUE(due(5, true));
        EXPECT_FALSE(due(8, true));
    }

}
}
