// Virtual time for seeded tests: actions run in the order of their times, and the clock follows.
#pragma once

#include "whinyard/base/FakeClock.h"

#include <functional>
#include <map>
#include <utility>

namespace whinyard::ledger {

class EventQueue {
public:
    explicit EventQueue(FakeClock& clock)
        : m_clock(clock)
    {
    }

    const FakeClock& clock() const { return m_clock; }
    SteadyTime now() const { return m_clock.now(); }

    void at(SteadyTime time, std::function<void()> action)
    {
        m_events.emplace(std::pair(std::max(time, now()), ++m_last), std::move(action));
    }

    void after(std::chrono::nanoseconds delay, std::function<void()> action) { at(now() + delay, std::move(action)); }

    // Runs everything up to `end` and leaves the clock there.
    void runUntil(SteadyTime end)
    {
        while (!m_events.empty() && m_events.begin()->first.first <= end) {
            const auto event = m_events.extract(m_events.begin());
            m_clock.advance(event.key().first - now());
            event.mapped()();
        }
        m_clock.advance(end - now());
    }

private:
    FakeClock& m_clock;
    std::map<std::pair<SteadyTime, std::uint64_t>, std::function<void()>> m_events;
    std::uint64_t m_last = 0;
};

}
