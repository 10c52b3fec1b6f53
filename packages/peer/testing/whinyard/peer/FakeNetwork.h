// A network on the virtual clock: loses, delays, duplicates and reorders messages, cuts sets of nodes off from each
// other, and pauses and kills nodes. Every run of a seed is the same.
#pragma once

#include "whinyard/base/FakeClock.h"
#include "whinyard/base/Random.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <utility>
#include <vector>

namespace whinyard::peer {

struct NetworkFaults {
    double loss = 0; // Of datagrams, 0 to 1.
    double duplicate = 0;
    std::chrono::microseconds leastDelay { 500 };
    std::chrono::microseconds greatestDelay { 2'000 }; // Delays differ, so messages overtake each other.
};

class FakeNetwork {
public:
    using Action = std::function<void()>;

    FakeNetwork(FakeClock& clock, std::uint64_t seed)
        : m_clock(clock)
        , m_random(seed)
    {
    }

    NetworkFaults faults;

    // Delivers a datagram to node `to`, or loses it.
    void send(std::size_t from, std::size_t to, const Action& deliver)
    {
        const bool isLost = uniform(m_random) < faults.loss;
        const bool isDoubled = uniform(m_random) < faults.duplicate;
        if (isLost || !connects(from, to))
            return;
        at(m_clock.now() + delay(), to, deliver);
        if (isDoubled)
            at(m_clock.now() + delay(), to, deliver);
    }

    // Runs an action of a node at a time; a paused node runs it when it resumes, a killed one never.
    void at(SteadyTime time, std::size_t node, Action action)
    {
        if (!m_killed.contains(node))
            m_events.push({ time, ++m_sequence, node, m_lives[node], std::move(action) });
    }

    // Draws the time that a message takes.
    std::chrono::microseconds delay()
    {
        const auto span = static_cast<std::uint64_t>((faults.greatestDelay - faults.leastDelay).count());
        return faults.leastDelay + std::chrono::microseconds(below(m_random, span + 1));
    }

    // Only nodes on the same side reach each other. Nodes that aren't named are on side 0.
    void setSide(std::size_t node, int side) { m_sides[node] = side; }
    void joinSides() { m_sides.clear(); }
    bool connects(std::size_t from, std::size_t to) const { return sideOf(from) == sideOf(to); }
    bool isPaused(std::size_t node) const { return m_paused.contains(node); }

    void pause(std::size_t node) { m_paused.insert(node); }

    void resume(std::size_t node)
    {
        m_paused.erase(node);
        std::vector<Event> held = std::move(m_held[node]);
        m_held.erase(node);
        for (Event& event : held) {
            event.time = m_clock.now();
            m_events.push(std::move(event));
        }
    }

    // Drops all that a node still had to do; it does nothing until revive().
    void kill(std::size_t node)
    {
        ++m_lives[node];
        m_killed.insert(node);
        m_held.erase(node);
        m_paused.erase(node);
    }

    void revive(std::size_t node) { m_killed.erase(node); }

    void runFor(std::chrono::nanoseconds duration)
    {
        const SteadyTime end = m_clock.now() + duration;
        while (!m_events.empty() && m_events.top().time <= end) {
            Event event = m_events.top();
            m_events.pop();
            m_clock.advance(std::max(event.time - m_clock.now(), std::chrono::nanoseconds(0)));
            if (event.life != m_lives[event.node])
                continue;
            if (m_paused.contains(event.node))
                m_held[event.node].push_back(std::move(event));
            else
                event.action();
        }
        m_clock.advance(end - m_clock.now());
    }

private:
    struct Event {
        SteadyTime time;
        std::uint64_t sequence;
        std::size_t node;
        int life;
        Action action;

        bool operator<(const Event& other) const { return std::pair(time, sequence) > std::pair(other.time, other.sequence); }
    };

    int sideOf(std::size_t node) const
    {
        const auto side = m_sides.find(node);
        return side == m_sides.end() ? 0 : side->second;
    }

    FakeClock& m_clock;
    Random m_random;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event> m_events;
    std::map<std::size_t, int> m_lives;
    std::map<std::size_t, int> m_sides;
    std::set<std::size_t> m_paused;
    std::set<std::size_t> m_killed;
    std::map<std::size_t, std::vector<Event>> m_held;
};

}
