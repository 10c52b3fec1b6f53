#include "whinyard/policy/RepeatBudget.h"

#include <gtest/gtest.h>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };
    const SteadyTime settled = start + 20s; // The instance has run for more than a window.

    constexpr RepeatBounds bounds { .ratio = 0.8 };

    class RepeatBudgetTest : public testing::Test {
    protected:
        void noteRequests(int count, SteadyTime sentSince, SteadyTime now)
        {
            for (int i = 0; i < count; ++i)
                m_budget.noteRequest(sentSince, now);
        }

        int takeAll(SteadyTime now, double part = 1)
        {
            int taken = 0;
            while (m_budget.take(now, part))
                ++taken;
            return taken;
        }

        SharedAllowance m_slack { 100 };
        RepeatBudget m_budget { bounds, m_slack, start, 0 };
    };

    TEST_F(RepeatBudgetTest, SavesAPartOfTheRatioOverAWindow)
    {
        for (SteadyTime now = settled; now < settled + 9'900ms; now += 100ms)
            noteRequests(10, now, now);
        EXPECT_EQ(takeAll(settled + 9'890ms), static_cast<int>((0.3 + 0.06) * 0.8 * 990));
    }

    // Guards against a start that spends what the life before may have spent.
    TEST_F(RepeatBudgetTest, SavesNothingWhileYoung)
    {
        m_slack.useInstances(1, start);
        for (SteadyTime now = start; now < start + 5s; now += 100ms)
            noteRequests(10, now, now);
        EXPECT_EQ(takeAll(start + 5s), static_cast<int>(0.06 * 0.8 * 1'000)) << "what an instance keeps that has seen a window's requests at this rate";
        noteRequests(10, start + 9'990ms, start + 9'990ms);
        takeAll(start + 9'990ms);
        EXPECT_GE(takeAll(start + 10s), 80) << "the slack at least";
    }

    TEST_F(RepeatBudgetTest, PaysAtOnceWithMostOfTheRatio)
    {
        int taken = 0;
        for (SteadyTime now = start; now < start + 9s; now += 100ms) {
            noteRequests(10, now, now);
            taken += takeAll(now);
        }
        EXPECT_GE(taken, static_cast<int>(0.6 * 0.8 * 900));
        EXPECT_LE(taken, static_cast<int>(0.64 * 0.8 * 900) + 1);
    }

    // Guards against what was spent in half a second and spent anew 9.1 s later.
    TEST_F(RepeatBudgetTest, CountsRepeatsForAWholeWindow)
    {
        m_slack.useInstances(1, settled);
        EXPECT_EQ(takeAll(settled + 950ms), 80);
        EXPECT_EQ(takeAll(settled + 10'940ms), 0);
        EXPECT_EQ(takeAll(settled + 11'100ms), 80);
    }

    // Guards against requests that waited while the instance stood still and pay for repeats of a window that began later.
    TEST_F(RepeatBudgetTest, DatesRequestsByWhenTheyWereSent)
    {
        noteRequests(100, settled, settled + 2'500ms);
        EXPECT_EQ(takeAll(settled + 2'500ms), static_cast<int>(0.3 * 0.8 * 100)) << "nothing at once, only what is saved over a window";
        noteRequests(100, settled, settled + 9s);
        EXPECT_EQ(m_budget.use(settled + 9s).requests, 200U);
        EXPECT_EQ(m_budget.use(settled + 10s).requests, 0U);
        noteRequests(100, settled, settled + 10s);
        EXPECT_EQ(m_budget.use(settled + 10s).requests, 0U) << "sent before the window";
    }

    // Guards against repeats that are granted in one window and sent in the next: those of both may have spent all.
    TEST_F(RepeatBudgetTest, CountsARepeatWhenItIsSent)
    {
        m_slack.useInstances(1, settled);
        const std::optional<RepeatGrant> grant = m_budget.take(settled);
        ASSERT_TRUE(grant);
        EXPECT_EQ(m_budget.renew(*grant, settled + 50ms)->at, settled) << "sent at once";
        EXPECT_EQ(takeAll(settled + 5s), 79);
        const std::optional<RepeatGrant> renewed = m_budget.renew(*grant, settled + 5s);
        ASSERT_TRUE(renewed) << "what it had taken was given back";
        EXPECT_EQ(renewed->at, settled + 5s);
        EXPECT_EQ(takeAll(settled + 10'200ms), 0) << "the window of its first grant is over, not that of its second";
        EXPECT_EQ(takeAll(settled + 15'100ms), 80);
        EXPECT_FALSE(m_budget.renew(*renewed, settled + 15'200ms)) << "spent by now";
    }

    TEST_F(RepeatBudgetTest, LeavesTheLastRepeatsToWhatSavesAnAnswer)
    {
        m_slack.useInstances(1, settled);
        EXPECT_EQ(takeAll(settled, 0.5), 40);
        EXPECT_EQ(takeAll(settled, 0.8), 24);
        EXPECT_EQ(takeAll(settled), 16);
    }

    // Guards against an instance that makes hardly any repeat in its first seconds, as it may keep only a part of the few requests that
    // it has seen.
    TEST_F(RepeatBudgetTest, RepeatsAtOnceRightAfterAStart)
    {
        int taken = 0;
        for (SteadyTime now = start + 500ms; now < start + 3'500ms; now += 66ms) {
            m_budget.noteRequest(now, now);
            taken += takeAll(now, 0.8);
        }
        EXPECT_GE(taken, 18) << "of 46 requests";
    }

    // Guards against those that get the callers of instances that vanished: their requests pay for the same windows.
    TEST_F(RepeatBudgetTest, SavesByTheInstancesThatStillLive)
    {
        m_slack.useInstances(4, settled);
        m_slack.useInstances(1, settled + 1s);
        noteRequests(1'000, settled + 1s, settled + 3s);
        const int slack = 20;
        EXPECT_EQ(takeAll(settled + 3s), slack + static_cast<int>(0.3 * 0.8 * 1'000 / 4));
    }

}

}
