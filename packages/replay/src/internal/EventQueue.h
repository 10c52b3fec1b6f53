// Virtual time: runs tasks in the order of their instants, and of their making where these are equal.
//
// The simulator and its fakes schedule everything here.
#pragma once

#include "whinyard/base/Clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace whinyard::replay {

class EventQueue {
public:
    using Task = std::function<void()>;

    SteadyTime now() const { return m_now; }

    void at(SteadyTime time, Task task) { m_tasks.push({ time < m_now ? m_now : time, m_sequence++, std::move(task) }); }
    void after(std::chrono::nanoseconds delay, Task task) { at(m_now + delay, std::move(task)); }

    // Runs everything up to `end`, later made tasks included.
    void runUntil(SteadyTime end)
    {
        while (!m_tasks.empty() && m_tasks.top().time <= end) {
            Entry entry = std::move(const_cast<Entry&>(m_tasks.top())); // The entry is popped before anything compares it.
            m_tasks.pop();
            m_now = entry.time;
            entry.task();
        }
        m_now = end;
    }

    // The instant at which a trace begins; late enough that no time is taken for "never".
    static constexpr SteadyTime start { std::chrono::hours(1) };

private:
    struct Entry {
        SteadyTime time;
        std::uint64_t sequence;
        Task task;
    };

    struct Later {
        bool operator()(const Entry& a, const Entry& b) const { return std::tie(a.time, a.sequence) > std::tie(b.time, b.sequence); }
    };

    SteadyTime m_now = start;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Entry, std::vector<Entry>, Later> m_tasks;
};

}
