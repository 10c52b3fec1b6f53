#include "whinyard/policy/RetryPolicy.h"

#include <algorithm>

namespace whinyard::policy {

namespace {

    constexpr std::uint32_t maximumDoublings = 16;

    std::chrono::milliseconds jitteredDelay(const RetrySettings& settings, std::uint32_t attempt, Random& random)
    {
        const std::uint32_t doublings = std::min(std::max<std::uint32_t>(attempt, 1) - 1, maximumDoublings);
        const std::chrono::milliseconds bound = std::min(settings.baseDelay * (1U << doublings), settings.maximumDelay);
        return std::chrono::milliseconds(static_cast<std::int64_t>(below(random, static_cast<std::uint64_t>(bound.count()) + 1)));
    }

}

std::string_view toText(RetryReason reason)
{
    switch (reason) {
    case RetryReason::retry:
        return "retry";
    case RetryReason::mayHaveRun:
        return "mayHaveRun";
    case RetryReason::answerBegan:
        return "answerBegan";
    case RetryReason::attemptsSpent:
        return "attemptsSpent";
    case RetryReason::deadline:
        return "deadline";
    case RetryReason::budgetSpent:
        return "budgetSpent";
    }
    return "budgetSpent";
}

RetryBudget::RetryBudget(const RetrySettings& settings)
    : RetryBudget(settings.budgetRatio, settings.minimumPerSecond)
{
}

RetryBudget::RetryBudget(double ratio, double minimumPerSecond)
    : m_ratio(ratio)
    , m_minimum(minimumPerSecond * static_cast<double>(window.count()))
{
}

void RetryBudget::advance(SteadyTime now)
{
    const std::int64_t second = std::chrono::floor<std::chrono::seconds>(now.time_since_epoch()).count();
    const std::int64_t steps = std::min<std::int64_t>(second - m_current, window.count());
    for (std::int64_t step = 0; step < steps; ++step) {
        Second& oldest = m_seconds[static_cast<std::size_t>((second - step) % window.count())];
        m_successes -= oldest.successes;
        m_retries -= oldest.retries;
        oldest = {};
    }
    m_current = std::max(m_current, second);
}

void RetryBudget::earn(SteadyTime now)
{
    advance(now);
    ++m_seconds[static_cast<std::size_t>(m_current % window.count())].successes;
    ++m_successes;
}

bool RetryBudget::take(SteadyTime now, double part)
{
    advance(now);
    const double allowed = part * (m_ratio * static_cast<double>(m_successes) + m_minimum);
    if (static_cast<double>(m_retries + 1) > allowed)
        return false;
    ++m_seconds[static_cast<std::size_t>(m_current % window.count())].retries;
    ++m_retries;
    return true;
}

void SharedAllowance::useInstances(std::size_t count, SteadyTime now)
{
    m_count = count;
    if (count < m_mostOfLate && now - m_mostAt < memory)
        return;
    m_mostOfLate = count;
    m_mostAt = now;
}

double SharedAllowance::part(SteadyTime now)
{
    if (m_count == 0)
        return 0;
    useInstances(m_count, now);
    return usedPart * m_total / static_cast<double>(m_mostOfLate);
}

double SharedAllowance::presentShare(SteadyTime now)
{
    if (m_count == 0)
        return 1;
    useInstances(m_count, now);
    return static_cast<double>(m_count) / static_cast<double>(m_mostOfLate);
}

RetryPlan planRetry(const RetrySettings& settings, const FailedAttempt& failed, RetryBudget& budget, SteadyTime now, Random& random)
{
    if (failed.answerBegan)
        return { RetryReason::answerBegan };
    if (failed.runState != RunState::notRun && !failed.idempotent)
        return { RetryReason::mayHaveRun };
    if (failed.attempt >= settings.maximumAttempts)
        return { RetryReason::attemptsSpent };
    const std::chrono::milliseconds delay = failed.comeBackAfter + jitteredDelay(settings, failed.attempt, random);
    if (failed.deadline != SteadyTime::max() && now + delay + failed.expectedTime >= failed.deadline)
        return { RetryReason::deadline };
    if (!budget.take(now))
        return { RetryReason::budgetSpent };
    return { RetryReason::retry, delay };
}

}
