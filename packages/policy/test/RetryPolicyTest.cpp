#include "whinyard/policy/RetryPolicy.h"

#include <gtest/gtest.h>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };

}

TEST(RetryPolicyTest, RetriesOnlyWhatIsSafeAndInTime)
{
    const RetrySettings settings;
    Random random(1);
    const auto reasonFor = [&](const FailedAttempt& failed) {
        RetryBudget budget(settings);
        return std::string(toText(planRetry(settings, failed, budget, start, random).reason));
    };
    FailedAttempt failed;
    EXPECT_EQ(reasonFor(failed), "mayHaveRun");
    failed.runState = RunState::notRun;
    EXPECT_EQ(reasonFor(failed), "retry");
    failed.runState = RunState::unknown;
    failed.idempotent = true;
    EXPECT_EQ(reasonFor(failed), "retry");
    failed.answerBegan = true;
    EXPECT_EQ(reasonFor(failed), "answerBegan");
    failed.answerBegan = false;
    failed.attempt = 3;
    EXPECT_EQ(reasonFor(failed), "attemptsSpent");
    failed.attempt = 1;
    failed.deadline = start + 500ms;
    failed.comeBackAfter = 300ms;
    failed.expectedTime = 200ms;
    EXPECT_EQ(reasonFor(failed), "deadline");
}

TEST(RetryPolicyTest, DelayIsJitteredBetweenZeroAndADoublingBound)
{
    RetrySettings settings;
    settings.minimumPerSecond = 1e6;
    settings.maximumAttempts = 20;
    RetryBudget budget(settings);
    Random random(1);
    FailedAttempt failed;
    failed.runState = RunState::notRun;
    failed.comeBackAfter = 50ms;
    failed.attempt = 4;
    std::chrono::milliseconds shortest { 1h };
    std::chrono::milliseconds longest { 0 };
    for (int i = 0; i < 1'000; ++i) {
        const std::chrono::milliseconds delay = planRetry(settings, failed, budget, start, random).delay;
        shortest = std::min(shortest, delay);
        longest = std::max(longest, delay);
    }
    EXPECT_EQ(shortest, 50ms);
    EXPECT_EQ(longest, 130ms);
}

TEST(RetryBudgetTest, KeepsAPartForRepeatsThatSaveAnswers)
{
    RetryBudget budget(1.0, 0);
    for (int i = 0; i < 100; ++i)
        budget.earn(start);
    int steps = 0;
    while (budget.take(start, 0.8))
        ++steps;
    EXPECT_EQ(steps, 80);
    int repairs = 0;
    while (budget.take(start))
        ++repairs;
    EXPECT_EQ(repairs, 20);
    EXPECT_FALSE(budget.take(start, 0.8));
}

TEST(SharedAllowanceTest, AddsUpToNoMoreThanTheTotalWhoeverVanishes)
{
    SharedAllowance allowance(58);
    EXPECT_EQ(allowance.part(start), 0) << "nothing is known";
    allowance.useInstances(9, start + 2s);
    EXPECT_LE(9 * allowance.part(start + 4s), 58);
    EXPECT_GT(9 * allowance.part(start + 4s), 40);
    allowance.useInstances(3, start + 5s);
    EXPECT_LE(9 * allowance.part(start + 12s), 58) << "what those that vanished took is still in the window";
    EXPECT_GT(3 * allowance.part(start + 30s), 40);
    EXPECT_LE(3 * allowance.part(start + 30s), 58);
}

// Requests come while a random part of the attempts fails, at last all of them.
TEST(RetryPolicyTest, AttemptsStayWithinTheBudgetHoweverManyFail)
{
    const RetrySettings settings;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random random(seed);
        RetryBudget budget(settings);
        const double perSecond = 10 + 5'000 * uniform(random);
        const double failingShare = seed % 5 == 0 ? 1.0 : uniform(random);
        constexpr int seconds = 30;
        const auto requests = static_cast<std::uint64_t>(perSecond * seconds);
        std::uint64_t attempts = 0;
        for (std::uint64_t request = 0; request < requests; ++request) {
            const double sinceStart = static_cast<double>(request) / perSecond;
            const SteadyTime now = start + std::chrono::duration_cast<SteadyTime::duration>(std::chrono::duration<double>(sinceStart));
            FailedAttempt failed;
            failed.idempotent = true;
            for (failed.attempt = 1;; ++failed.attempt) {
                ++attempts;
                if (uniform(random) >= failingShare) {
                    budget.earn(now);
                    break;
                }
                if (!planRetry(settings, failed, budget, now, random))
                    break;
            }
        }
        const double minimum = settings.minimumPerSecond * (seconds + 10);
        EXPECT_LE(static_cast<double>(attempts), (1 + settings.budgetRatio) * static_cast<double>(requests) + minimum) << "seed " << seed;
        const bool allFail = failingShare == 1.0;
        EXPECT_TRUE(!allFail || static_cast<double>(attempts) <= static_cast<double>(requests) + minimum) << "seed " << seed;
    }
}

}
