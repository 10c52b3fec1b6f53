#include "whinyard/policy/RepeatBudget.h"

#include <algorithm>

namespace whinyard::policy {

RepeatBudget::RepeatBudget(const RepeatBounds& bounds, SharedAllowance& slack, SteadyTime startedAt)
    : m_bounds(bounds)
    , m_slotLength(std::chrono::nanoseconds(bounds.window) / slotsInWindow)
    , m_startedAt(startedAt)
    , m_slack(slack)
{
}

void RepeatBudget::advance(SteadyTime now)
{
    const std::int64_t latest = slotAt(now);
    for (std::int64_t index = std::max(m_current + 1, latest - slotsInWindow); index <= latest; ++index) {
        m_repeats -= slot(index).repeats;
        m_requests -= slot(index).requests + slot(index + 1).requests;
        slot(index) = {};
        slot(index + 1).requests = 0;
    }
    m_current = std::max(m_current, latest);
}

double RepeatBudget::allowed(SteadyTime now)
{
    const double own = m_bounds.ratio * static_cast<double>(m_requests) + m_bounds.perSecond * std::chrono::duration<double>(m_bounds.window).count();
    const bool isSettled = now - m_startedAt >= m_bounds.window;
    return own + (isSettled ? m_slack.part(now) : 0);
}

void RepeatBudget::noteRequest(SteadyTime, SteadyTime now)
{
    advance(now);
    ++slot(m_current).requests;
    ++m_requests;
}

bool RepeatBudget::take(SteadyTime now, double part)
{
    advance(now);
    if (static_cast<double>(m_repeats + 1) > part * allowed(now))
        return false;
    ++slot(m_current).repeats;
    ++m_repeats;
    return true;
}

RepeatUse RepeatBudget::use(SteadyTime now)
{
    advance(now);
    return { m_requests, m_repeats, allowed(now) };
}

}
