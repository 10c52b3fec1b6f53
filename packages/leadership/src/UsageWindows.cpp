#include "whinyard/leadership/UsageWindows.h"

#include <algorithm>

namespace whinyard::leadership {

WindowNumber windowAt(WallTime time, std::chrono::milliseconds length)
{
    return static_cast<WindowNumber>(time.time_since_epoch() / length);
}

WallTime endOf(WindowNumber window, std::chrono::milliseconds length)
{
    return WallTime((window + 1) * length);
}

UsageCounter::UsageCounter(std::chrono::milliseconds length, std::chrono::milliseconds keep)
    : m_length(length)
    , m_keep(keep)
{
}

void UsageCounter::note(const CustomerName& customer, WallTime now)
{
    Counted& window = m_windows[windowAt(now, m_length)];
    ++window.counts[customer];
    window.tellingsLeft = tellings;
}

std::vector<UsageWindow> UsageCounter::takeNews(WallTime now)
{
    std::erase_if(m_windows, [&](const auto& entry) { return now > endOf(entry.first, m_length) + m_keep; });
    const bool tellsAll = ++m_calls % callsUntilAll == 0;
    std::vector<UsageWindow> news;
    for (auto& [number, window] : m_windows) {
        if (window.tellingsLeft == 0 && !tellsAll)
            continue;
        window.tellingsLeft -= std::min(window.tellingsLeft, 1U);
        news.push_back({ number, window.counts });
    }
    return news;
}

void UsageCounter::tellAgain()
{
    for (auto& [number, window] : m_windows)
        window.tellingsLeft = tellings;
}

void UsageTotals::take(const InstanceName& instance, std::uint64_t life, const UsageWindow& window)
{
    CustomerCounts& known = m_windows[window.number][{ instance, life }];
    for (const auto& [customer, count] : window.counts) {
        std::uint64_t& kept = known[customer];
        kept = std::max(kept, count);
    }
}

UsageWindow UsageTotals::total(WindowNumber window) const
{
    UsageWindow total { window, {} };
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return total;
    for (const auto& [source, counts] : found->second) {
        for (const auto& [customer, count] : counts)
            total.counts[customer] += count;
    }
    return total;
}

std::size_t UsageTotals::sources(WindowNumber window) const
{
    const auto found = m_windows.find(window);
    return found == m_windows.end() ? 0 : found->second.size();
}

std::optional<WindowNumber> UsageTotals::first() const
{
    return m_windows.empty() ? std::nullopt : std::optional(m_windows.begin()->first);
}

void UsageTotals::forgetBefore(WindowNumber window)
{
    m_windows.erase(m_windows.begin(), m_windows.lower_bound(window));
}

}
