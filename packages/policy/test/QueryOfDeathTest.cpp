// Which requests are taken for those that end endpoints, what an instance tells of them, and how a verdict ends.
#include "whinyard/policy/QueryOfDeath.h"

#include "whinyard/policy/QueryRecords.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    RequestDigest request(std::uint8_t number)
    {
        RequestDigest digest;
        digest.bytes[0] = number;
        return digest;
    }

    EndpointLife life(const std::string& name) { return lifeOf({ name }, 0); }

    const RequestDigest deadly = request(1);
    const RequestDigest innocent = request(2);
    const ServiceName service { "lm" };

    class QueryOfDeathTableTest : public ::testing::Test {
    protected:
        // Passes on what `from` tells to `to`.
        void tell(QueryOfDeathTable& from, QueryOfDeathTable& to)
        {
            const QueryNews news = from.takeNews(m_now);
            for (const RequestLoss& loss : news.losses)
                to.takeLoss(loss, m_now);
            for (const RequestDigest& completed : news.completed)
                to.takeCompleted(completed, m_now);
            for (const QueryVerdict& verdict : news.verdicts)
                to.takeVerdict(verdict, m_now);
        }

        void lose(const RequestDigest& lost, const std::string& endpoint, LossStage stage = LossStage::begun)
        {
            m_table.noteLoss({ lost, life(endpoint), stage }, service, m_now);
        }

        void loseThree(const RequestDigest& lost, LossStage stage = LossStage::begun)
        {
            for (const char* endpoint : { "e1", "e2", "e3" })
                lose(lost, endpoint, stage);
        }

        bool isRefused(const RequestDigest& one) { return m_table.isRefused(one, m_now); }

        void pass(std::chrono::nanoseconds time)
        {
            m_now += time;
            m_table.refresh(m_now);
        }

        SteadyTime m_now { 1h };
        QueryOfDeathTable m_table;
        QueryOfDeathTable m_other;
    };

    TEST_F(QueryOfDeathTableTest, RefusesARequestThatWasLostWithThreeProcesses)
    {
        lose(deadly, "e1");
        lose(deadly, "e2");
        EXPECT_FALSE(isRefused(deadly));
        lose(deadly, "e3");
        EXPECT_TRUE(isRefused(deadly));
        EXPECT_FALSE(isRefused(innocent));
    }

    TEST_F(QueryOfDeathTableTest, CountsAProcessOnce)
    {
        for (int copy = 0; copy < 5; ++copy)
            lose(deadly, "e1");
        EXPECT_FALSE(isRefused(deadly)) << "five copies were under way there";
        m_table.noteLoss({ deadly, lifeOf({ "e1" }, 7), LossStage::begun }, service, m_now);
        m_table.noteLoss({ deadly, lifeOf({ "e1" }, 8), LossStage::begun }, service, m_now);
        EXPECT_TRUE(isRefused(deadly)) << "two processes more under the same name";
    }

    // The list of endpoints shows an engine's new start up to two seconds late.
    TEST_F(QueryOfDeathTableTest, CountsAProcessThatStartedAgainBeforeTheListSaysSo)
    {
        for (int start = 0; start < 3; ++start) {
            lose(deadly, "e1");
            lose(deadly, "e1");
            EXPECT_EQ(isRefused(deadly), start == 2);
            pass(2s);
        }
    }

    // Engines of one rack fail together, and a request that many callers send is under way on several of them.
    TEST_F(QueryOfDeathTableTest, SparesARequestThatWasCompletedLately)
    {
        m_table.noteCompleted(innocent, m_now);
        pass(20s);
        loseThree(innocent);
        EXPECT_FALSE(isRefused(innocent));
        pass(11s);
        loseThree(innocent);
        EXPECT_TRUE(isRefused(innocent));
    }

    TEST_F(QueryOfDeathTableTest, ForgetsSuspicionsOfARequestThatIsCompleted)
    {
        lose(innocent, "e1");
        lose(innocent, "e2");
        m_table.noteCompleted(innocent, m_now);
        EXPECT_FALSE(m_table.isSuspect(innocent));
        pass(31s);
        lose(innocent, "e3");
        EXPECT_FALSE(isRefused(innocent));
    }

    // An engine takes all that it holds along. One request explains its end.
    TEST_F(QueryOfDeathTableTest, HoldsWhatOneRequestExplainsAgainstNoOther)
    {
        lose(innocent, "e1", LossStage::waiting);
        lose(innocent, "e2", LossStage::waiting);
        loseThree(deadly);
        EXPECT_FALSE(m_table.isSuspect(innocent));
        lose(innocent, "e3", LossStage::waiting);
        EXPECT_FALSE(m_table.isSuspect(innocent)) << "told a moment later";
        lose(deadly, "e4");
        lose(innocent, "e4", LossStage::waiting);
        EXPECT_FALSE(m_table.isSuspect(innocent)) << "a copy that was under way at the verdict";
    }

    TEST_F(QueryOfDeathTableTest, HoldsWhatMayHaveWaitedUntilNothingElseExplainsItsLosses)
    {
        loseThree(innocent, LossStage::waiting);
        EXPECT_TRUE(m_table.isHeld(innocent));
        EXPECT_FALSE(isRefused(innocent));
        pass(100ms);
        loseThree(deadly);
        EXPECT_FALSE(m_table.isHeld(innocent));
        pass(1s);
        EXPECT_FALSE(isRefused(innocent));
    }

    // Whole answers, and engines that fail as they read a prompt, show no begin.
    TEST_F(QueryOfDeathTableTest, RefusesWhatNeverBeganWhenNothingElseExplainsItsLosses)
    {
        loseThree(deadly, LossStage::waiting);
        pass(301ms);
        EXPECT_TRUE(isRefused(deadly));
        EXPECT_FALSE(m_table.isHeld(deadly));
    }

    TEST_F(QueryOfDeathTableTest, AddsUpLossesOfAllInstances)
    {
        lose(deadly, "e1");
        tell(m_table, m_other);
        m_other.noteLoss({ deadly, life("e2"), LossStage::begun }, service, m_now);
        m_other.noteLoss({ deadly, life("e3"), LossStage::begun }, service, m_now);
        EXPECT_TRUE(m_other.isRefused(deadly, m_now));
        tell(m_other, m_table);
        EXPECT_TRUE(isRefused(deadly));
    }

    TEST_F(QueryOfDeathTableTest, TellsTheVerdictToThoseWhoMissedTheLosses)
    {
        loseThree(deadly);
        QueryNews news = m_table.takeNews(m_now);
        ASSERT_EQ(news.verdicts.size(), 1U);
        m_other.takeVerdict(news.verdicts.front(), m_now);
        EXPECT_TRUE(m_other.isRefused(deadly, m_now));
        EXPECT_TRUE(m_other.takeNews(m_now).empty()) << "who was told tells it as one that stands, not as news";
        EXPECT_EQ(m_other.standing(m_now), m_table.standing(m_now));
    }

    TEST_F(QueryOfDeathTableTest, ObjectsToAVerdictOnARequestThatItHasCompleted)
    {
        m_other.noteCompleted(innocent, m_now);
        loseThree(innocent);
        tell(m_table, m_other);
        EXPECT_FALSE(m_other.isRefused(innocent, m_now));
        tell(m_other, m_table);
        EXPECT_FALSE(isRefused(innocent));
        m_table.takeVerdict({ innocent, service, { life("e1"), life("e2"), life("e3") }, 9min }, m_now + 1min);
        EXPECT_FALSE(isRefused(innocent)) << "an echo of the verdict that was lifted";
    }

    // A version that was repaired gets its chance, at the price of one endpoint each nine minutes.
    TEST_F(QueryOfDeathTableTest, TriesARequestOnceMoreWhenItsVerdictIsOver)
    {
        loseThree(deadly);
        pass(9min);
        EXPECT_FALSE(isRefused(deadly));
        lose(deadly, "e9");
        EXPECT_TRUE(isRefused(deadly));
    }

    TEST_F(QueryOfDeathTableTest, LiftsAVerdictWhoseRecordIsRemoved)
    {
        loseThree(deadly);
        const std::vector<QueryVerdict> stored = m_table.unstored(0s, m_now);
        ASSERT_EQ(stored.size(), 1U);
        m_table.takeStored(stored, m_now);
        EXPECT_TRUE(m_table.unstored(0s, m_now).empty());
        m_table.takeStored({}, m_now + 9s);
        EXPECT_TRUE(isRefused(deadly)) << "the read may have been older than the record";
        m_table.takeStored({}, m_now + 11s);
        EXPECT_FALSE(isRefused(deadly));
        EXPECT_EQ(m_table.takeChanges().back().reason, QueryChangeReason::recordRemoved);
        loseThree(deadly);
        lose(deadly, "e4");
        lose(deadly, "e5");
        lose(deadly, "e6");
        EXPECT_TRUE(isRefused(deadly)) << "it ends endpoints again";
    }

    TEST_F(QueryOfDeathTableTest, HasTheRecordOfAWrongVerdictRemoved)
    {
        loseThree(innocent);
        m_table.takeStored(m_table.unstored(0s, m_now), m_now);
        m_table.takeCompleted(innocent, m_now);
        EXPECT_EQ(m_table.takeRefuted(), std::vector<RequestDigest> { innocent });
        EXPECT_TRUE(m_table.takeRefuted().empty());
    }

    TEST_F(QueryOfDeathTableTest, KnowsWhatStandsInTheStore)
    {
        m_other.takeStored({ { deadly, service, { life("e1") }, 5min } }, m_now);
        EXPECT_TRUE(m_other.isRefused(deadly, m_now));
        EXPECT_FALSE(m_other.isRefused(deadly, m_now + 5min));
        EXPECT_TRUE(m_other.unstored(0s, m_now).empty());
        m_other.takeStored({ { innocent, service, { life("e1") }, -1ms } }, m_now);
        EXPECT_EQ(m_other.takeChanges().size(), 1U) << "a record outlives its verdict";
    }

    TEST_F(QueryOfDeathTableTest, DropsTheOldestSuspicionWhenItIsFull)
    {
        QueryOfDeathTable small({ .mostSuspects = 3 });
        for (std::uint8_t number = 1; number <= 9; ++number)
            small.noteLoss({ request(number), life("e1"), LossStage::begun }, service, m_now + number * 1s);
        EXPECT_EQ(small.suspects(), 3U);
        EXPECT_TRUE(small.isSuspect(request(9)));
        EXPECT_FALSE(small.isSuspect(request(1)));
    }

    TEST(QueryRecordsTest, ReadsWhatItWrites)
    {
        const std::chrono::system_clock::time_point now { 1'000s };
        const QueryVerdict verdict { deadly, service, { life("e1"), life("e2") }, 90s };
        const std::string record = writeQueryVerdict(verdict, now);
        EXPECT_EQ(readQueryVerdict(deadly, record, now), verdict);
        EXPECT_EQ(readQueryVerdict(deadly, record, now + 30s)->left, 60s);
        for (const char* text : { "", "[]", "{}", R"({"service": 1, "lives": [], "untilMs": 1})", R"({"service": "a", "lives": ["x"], "untilMs": 1})" })
            EXPECT_FALSE(readQueryVerdict(deadly, text, now)) << text;
    }

}
}
