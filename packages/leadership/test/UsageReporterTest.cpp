#include "whinyard/leadership/UsageReporter.h"

#include "whinyard/backing/FakeWatchableStore.h"
#include "whinyard/base/FakeClock.h"
#include "whinyard/leadership/FakeProvider.h"

#include <gtest/gtest.h>

#include <memory>

namespace whinyard::leadership {
namespace {

    using namespace std::chrono_literals;

    // One instance that may lead.
    struct Candidate {
        Candidate(backing::WatchableStore& store, const Clock& clock, Provider& provider, const std::string& name, std::chrono::milliseconds timeToLive = 1h)
            : lease(store, clock, { name }, { .timeToLive = timeToLive })
            , reporter(store, provider, lease, totals, { name }, {})
        {
        }

        UsageTotals totals;
        LeaderLease lease;
        UsageReporter reporter;
    };

    class UsageReporterTest : public ::testing::Test {
    protected:
        UsageReporterTest()
        {
            m_first = std::make_unique<Candidate>(m_store, m_clock, m_provider, "first");
            m_second = std::make_unique<Candidate>(m_store, m_clock, m_provider, "second");
            m_first->lease.turn(m_failure);
            m_window = windowAt(m_clock.wallNow(), 5s);
        }

        void count(Candidate& candidate, std::uint64_t requests) { candidate.totals.take({ "x" }, 1, { m_window, { { { "school" }, requests } } }); }
        bool turn(Candidate& candidate) { return candidate.reporter.turn(m_clock.wallNow(), m_failure); }

        // Has the other one lead, whatever the first one believes.
        void changeLeader()
        {
            m_store.lapseLeases();
            ASSERT_TRUE(m_second->lease.turn(m_failure));
        }

        FakeClock m_clock;
        backing::FakeWatchableStore m_store;
        FakeProvider m_provider;
        Failure m_failure;
        std::unique_ptr<Candidate> m_first;
        std::unique_ptr<Candidate> m_second;
        WindowNumber m_window = 0;
    };

    TEST_F(UsageReporterTest, ReportsAWindowOnceAfterAllHadTheTimeToTell)
    {
        count(*m_first, 7);
        m_clock.advance(6s);
        EXPECT_TRUE(turn(*m_first));
        EXPECT_TRUE(m_provider.reports.empty()) << "a second after the window's end notices are under way";
        m_clock.advance(1s);
        EXPECT_TRUE(turn(*m_first));
        EXPECT_TRUE(turn(*m_first));
        ASSERT_EQ(m_provider.reports.size(), 1U);
        EXPECT_EQ(m_provider.reports[0].window, (UsageWindow { m_window, { { { "school" }, 7 } } }));
        EXPECT_EQ(m_provider.reports[0].authority.leader.value, "first");
    }

    TEST_F(UsageReporterTest, ReportsAWindowWithoutRequests)
    {
        m_clock.advance(1s);
        turn(*m_first);
        m_clock.advance(6s);
        turn(*m_first);
        ASSERT_EQ(m_provider.reports.size(), 1U);
        EXPECT_TRUE(m_provider.reports[0].window.counts.empty());
    }

    // The provider must never see two counts of one window.
    TEST_F(UsageReporterTest, ASuccessorRepeatsWhatWasFixedAndNotWhatItCounted)
    {
        count(*m_first, 7);
        count(*m_second, 5);
        m_clock.advance(7s);
        m_provider.losesAnswers = true;
        EXPECT_FALSE(turn(*m_first));
        m_provider.losesAnswers = false;
        changeLeader();
        EXPECT_TRUE(turn(*m_second));
        ASSERT_EQ(m_provider.reports.size(), 2U);
        EXPECT_EQ(m_provider.reports[1].window, m_provider.reports[0].window);
        EXPECT_GT(m_provider.reports[1].authority.fence, m_provider.reports[0].authority.fence);
    }

    TEST_F(UsageReporterTest, ADeposedLeaderFixesNothing)
    {
        count(*m_first, 7);
        count(*m_second, 5);
        m_clock.advance(7s);
        m_store.beforeTransaction = [this] { changeLeader(); };
        EXPECT_FALSE(turn(*m_first));
        EXPECT_TRUE(m_provider.reports.empty());
        EXPECT_TRUE(turn(*m_second));
        ASSERT_EQ(m_provider.reports.size(), 1U);
        EXPECT_EQ(m_provider.reports[0].window.counts.at({ "school" }), 5U);
    }

    TEST_F(UsageReporterTest, SendsWhatStandsAfterAWriteWhoseAnswerWasLost)
    {
        count(*m_first, 7);
        m_clock.advance(7s);
        m_store.losesReplies = true;
        EXPECT_FALSE(turn(*m_first));
        m_store.losesReplies = false;
        count(*m_first, 9);
        EXPECT_TRUE(turn(*m_first));
        ASSERT_EQ(m_provider.reports.size(), 1U);
        EXPECT_EQ(m_provider.reports[0].window.counts.at({ "school" }), 7U) << "as it was fixed";
    }

    TEST_F(UsageReporterTest, FixesNoWindowThatARecordOfAnotherFormMayHold)
    {
        count(*m_first, 7);
        m_store.write("whinyard/usage", "{}");
        m_clock.advance(7s);
        EXPECT_TRUE(turn(*m_first));
        EXPECT_TRUE(m_provider.reports.empty());
        m_clock.advance(5s);
        EXPECT_TRUE(turn(*m_first));
        ASSERT_EQ(m_provider.reports.size(), 1U);
        EXPECT_EQ(m_provider.reports[0].window.number, m_window + 1);
    }

    TEST_F(UsageReporterTest, GivesUpAWindowThatNobodyTookInTime)
    {
        count(*m_first, 7);
        m_clock.advance(7s);
        m_provider.isAway = true;
        EXPECT_FALSE(turn(*m_first));
        m_clock.advance(9s);
        m_provider.isAway = false;
        EXPECT_TRUE(turn(*m_first));
        for (const FakeProvider::Report& report : m_provider.reports)
            EXPECT_GT(report.window.number, m_window);
    }

    TEST(FixedUsageTest, ReadsWhatItWrites)
    {
        const std::map<WindowNumber, CustomerCounts> fixed { { 5, {} }, { 6, { { { "a\"b" }, 3 }, { { "c" }, 1 } } } };
        EXPECT_EQ(readFixedUsage(writeFixedUsage(fixed)), fixed);
        for (const char* other : { "", "[]", R"({"windows": 1})", R"({"windows": [{"window": 1}]})", R"({"windows": [{"window": 1, "counts": {"a": -1}}]})" })
            EXPECT_FALSE(readFixedUsage(other)) << other;
    }

    // Guards against two counts of one window: the counts that were sent are gone from the store, and another one leads.
    TEST_F(UsageReporterTest, FixesNoWindowThatWasOverBeforeTheStoreCameBack)
    {
        m_second = std::make_unique<Candidate>(m_store, m_clock, m_provider, "second", 1s);
        m_second->lease.observeEra();
        m_store.lapseLeases();
        m_store.keepCopy();
        m_first->lease.turn(m_failure);
        ASSERT_TRUE(m_first->lease.turn(m_failure));
        count(*m_first, 7);
        count(*m_second, 8);
        m_clock.advance(7s);
        ASSERT_TRUE(turn(*m_first)) << m_failure.reason;
        ASSERT_EQ(m_provider.reports.size(), 1U);
        m_store.returnToCopy();
        m_second->lease.turn(m_failure);
        m_clock.advance(1'100ms);
        ASSERT_TRUE(m_second->lease.turn(m_failure)) << m_failure.reason;
        ASSERT_TRUE(m_second->lease.fenceFor(0ms));
        turn(*m_second);
        EXPECT_EQ(m_provider.reports.size(), 1U) << "it would be another count";
    }

}
}
