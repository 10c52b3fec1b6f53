#include "whinyard/policy/RepeatBudget.h"

#include <chrono>

namespace whinyard::policy {

RepeatBudget::RepeatBudget(const RepeatBounds& bounds, SharedAllowance& slack)
    : m_bounds(bounds)
    , m_slack(slack)
    , m_budget(bounds.ratio, 0)
{
}

void RepeatBudget::noteRequest(SteadyTime, SteadyTime now)
{
    m_budget.earn(now);
}

bool RepeatBudget::take(SteadyTime now, double part)
{
    m_budget.useMinimum(withoutRequests(now));
    return m_budget.take(now, part);
}

RepeatUse RepeatBudget::use(SteadyTime now)
{
    m_budget.advance(now);
    return { m_budget.successes(), m_budget.retries(), m_bounds.ratio * static_cast<double>(m_budget.successes()) + withoutRequests(now) };
}

double RepeatBudget::withoutRequests(SteadyTime now)
{
    return m_bounds.perSecond * static_cast<double>(RetryBudget::window.count()) + m_slack.part(now);
}

}
