// What happens when, on a clock that a test moves: events in the order of their times, and of their making at the same time.
#pragma once

#include "whinyard/base/FakeClock.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

namespace whinyard::router {

class VirtualEvents {
public:
    // The clock must outlive the object.
    explicit VirtualEvents(FakeClock& clock)
        : m_clock(clock)
    {
    }

    // Has `run` called at a time; one that has passed means now.
    void at(SteadyTime time, std::function<void()> run) { m_events.push({ time, ++m_sequence, std::move(run) }); }

    // Runs all that is due until then, and moves the clock there.
    void runUntil(SteadyTime end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            advanceTo(event.at);
            event.run();
        }
        advanceTo(end);
    }

private:
    struct Event {
        SteadyTime at;
        std::uint64_t sequence = 0;
        std::function<void()> run;

        // The queue gives the greatest first.
        bool operator<(const Event& other) const { return std::pair(other.at, other.sequence) < std::pair(at, sequence); }
    };

    void advanceTo(SteadyTime time) { m_clock.advance(std::max<std::chrono::nanoseconds>(time - m_clock.now(), std::chrono::nanoseconds(0))); }

    FakeClock& m_clock;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
};

}
