#include "whinyard/policy/RepeatBudget.h"

#include <algorithm>

namespace whinyard::policy {

namespace {

    // Of the ratio. In any window a request pays for the first part, one of the window before for what was kept of it then, and for
    // the saved part: the three add up to one.
    constexpr double pacedShare = 0.64;
    constexpr double keptShare = 0.06;
    constexpr double savedShare = 0.3;

    constexpr double leastSeen = 0.05; // Of a window.

    // A request that was read so much later than it was sent pays for no repeat at once.
    constexpr std::chrono::duration<double> latestReading { 1 };

    // What is sent within this time after it was granted counts as sent then.
    constexpr std::chrono::milliseconds grantLifetime { 100 };

    double clamped(double left)
    {
        return std::max(left, 0.0);
    }

}

RepeatBudget::RepeatBudget(const RepeatBounds& bounds, SharedAllowance& slack, SteadyTime startedAt, double offset)
    : m_bounds(bounds)
    , m_slotLength(std::chrono::nanoseconds(bounds.window) / slotsInWindow)
    , m_startedAt(startedAt)
    , m_offset(offset)
    , m_slack(slack)
{
}

void RepeatBudget::advance(SteadyTime now)
{
    const std::int64_t latest = slotAt(now);
    // Requests leave the window a slot before repeats do.
    for (std::int64_t index = std::max(m_current + 1, latest - slotsInWindow); index <= latest; ++index) {
        Slot& oldest = slot(index);
        m_repeats -= oldest.repeats;
        m_saved -= oldest.saved;
        m_shared -= oldest.shared;
        oldest = {};
        m_requests -= slot(index + 1).requests;
        slot(index + 1).requests = 0;
    }
    m_current = std::max(m_current, latest);
}

RepeatBudget::Limits RepeatBudget::limits(SteadyTime now)
{
    const double earned = m_bounds.ratio * static_cast<double>(m_requests);
    const std::chrono::nanoseconds age = now - m_startedAt;
    const bool isSettled = age >= m_bounds.window;
    // A young instance has seen a part of a window's requests.
    const double seen = std::clamp(std::chrono::duration<double>(age) / m_bounds.window, leastSeen, 1.0);
    Limits limits;
    limits.paced = keptShare * earned / seen;
    limits.saved = (isSettled ? savedShare * earned * m_slack.presentShare(now) : 0) + m_bounds.perSecond * std::chrono::duration<double>(m_bounds.window).count();
    limits.shared = isSettled ? m_slack.part(now) : 0;
    return limits;
}

void RepeatBudget::noteRequest(SteadyTime sentSince, SteadyTime now)
{
    advance(now);
    const std::int64_t sent = slotAt(sentSince);
    if (sent > m_current - slotsInWindow) {
        ++slot(sent).requests;
        ++m_requests;
    }
    const double late = std::clamp(std::chrono::duration<double>(now - sentSince) / latestReading, 0.0, 1.0);
    m_paced = std::min(m_paced + pacedShare * m_bounds.ratio * (1 - late), limits(now).paced);
}

std::optional<RepeatGrant> RepeatBudget::take(SteadyTime now, double part)
{
    advance(now);
    const Limits most = limits(now);
    m_paced = std::min(m_paced, most.paced);
    const Limits left { m_paced + m_offset, clamped(most.saved - m_saved), clamped(most.shared - m_shared) };
    if (left.sum() < 1 + (1 - part) * most.sum())
        return std::nullopt;
    RepeatGrant grant { .at = now };
    grant.paced = std::min(left.paced, 1.0);
    grant.saved = std::min(left.saved, 1 - grant.paced);
    grant.shared = 1 - grant.paced - grant.saved;
    m_paced -= grant.paced;
    Slot& present = slot(m_current);
    ++present.repeats;
    present.saved += grant.saved;
    present.shared += grant.shared;
    ++m_repeats;
    m_saved += grant.saved;
    m_shared += grant.shared;
    return grant;
}

std::optional<RepeatGrant> RepeatBudget::renew(const RepeatGrant& grant, SteadyTime now)
{
    if (now - grant.at <= grantLifetime)
        return grant;
    advance(now);
    const std::int64_t taken = slotAt(grant.at);
    if (taken >= m_current - slotsInWindow) {
        Slot& then = slot(taken);
        --then.repeats;
        then.saved -= grant.saved;
        then.shared -= grant.shared;
        --m_repeats;
        m_saved -= grant.saved;
        m_shared -= grant.shared;
    }
    return take(now);
}

RepeatUse RepeatBudget::use(SteadyTime now)
{
    advance(now);
    const Limits most = limits(now);
    return { m_requests, m_repeats, pacedShare * m_bounds.ratio * static_cast<double>(m_requests) + most.sum() };
}

}
