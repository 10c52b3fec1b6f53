// Machines whose links and cores carry so much a second and no more, between them messages that take their time, and a store that
// many of them follow: on a virtual clock, for tests of what a whole fleet learns, and of what that costs each machine.
#pragma once

#include "whinyard/base/FakeClock.h"
#include "whinyard/base/Revision.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace whinyard::endpoint {

// Things that happen at a time, in its order.
class EventQueue {
public:
    explicit EventQueue(FakeClock& clock)
        : m_clock(clock)
    {
    }

    SteadyTime now() const { return m_clock.now(); }

    void at(SteadyTime time, std::function<void()> event) { m_events.emplace(std::max(time, now()), std::move(event)); }
    void after(std::chrono::nanoseconds pause, std::function<void()> event) { at(now() + pause, std::move(event)); }

    void run(std::chrono::nanoseconds duration)
    {
        const SteadyTime end = now() + duration;
        while (!m_events.empty() && m_events.begin()->first <= end) {
            auto event = m_events.extract(m_events.begin());
            m_clock.advance(event.key() - now());
            event.mapped()();
        }
        m_clock.advance(end - now());
    }

private:
    FakeClock& m_clock;
    std::multimap<SteadyTime, std::function<void()>> m_events;
};

// One direction of a link, or a core: what is asked of it is done in turn.
class LimitedRate {
public:
    explicit LimitedRate(double perSecond)
        : m_perSecond(perSecond)
    {
    }

    // Returns when `amount` is done that is asked for now.
    SteadyTime use(double amount, SteadyTime now)
    {
        m_used += amount;
        m_freeAt = std::max(m_freeAt, now) + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(amount / m_perSecond));
        return m_freeAt;
    }

    double used() const { return m_used; }

    // Returns how long what is asked for already takes.
    std::chrono::milliseconds queue(SteadyTime now) const { return std::chrono::duration_cast<std::chrono::milliseconds>(std::max(m_freeAt, now) - now); }

private:
    double m_perSecond;
    double m_used = 0;
    SteadyTime m_freeAt;
};

struct RatedMachine {
    RatedMachine(double linkMegabits, double cores)
        : out(linkMegabits * 125'000)
        , in(linkMegabits * 125'000)
        , core(cores)
    {
    }

    LimitedRate out; // In bytes.
    LimitedRate in;
    LimitedRate core; // In seconds of one core.
    bool lives = true;
    bool isTurnedAway = false; // By the store.
};

// What endpoints and operators write, by revision, and what reading it takes.
class RatedStore {
public:
    explicit RatedStore(EventQueue& events)
        : m_events(events)
    {
    }

    static constexpr std::uint64_t changesInAnswer = 500;
    static constexpr double bytesOfRow = 400;
    static constexpr std::chrono::milliseconds answerTime { 4 };

    // An endpoint registers, or a listed one changes.
    void registerEndpoint()
    {
        m_listedAt.push_back(listed() + 1);
        noteWritten();
    }

    void changeEndpoint()
    {
        m_listedAt.push_back(listed());
        noteWritten();
    }

    // Drops the history: a watch from before reads everything.
    void dropHistory() { m_droppedUpTo = revision(); }

    std::uint64_t revision() const { return m_listedAt.size() - 1; }
    std::uint64_t listedAt(std::uint64_t revision) const { return m_listedAt[revision]; }
    std::uint64_t listed() const { return m_listedAt.back(); }
    SteadyTime writtenAt(std::uint64_t revision) const { return m_writtenAt[revision]; }

    // Reads the whole list by pages; `done` gets its revision, or nothing where the machine is turned away.
    void readAll(RatedMachine& machine, std::function<void(bool reached, std::uint64_t revision)> done)
    {
        ++wholeReads;
        const std::uint64_t at = revision();
        const std::uint64_t pages = listed() / changesInAnswer + 1;
        answer(machine, pages, static_cast<double>(listed()), [at, done = std::move(done)](bool reached) { done(reached, at); });
    }

    // Waits for changes after a revision; `done` gets the revision up to which the answer goes, and whether the history is gone.
    void watch(RatedMachine& machine, std::uint64_t after, std::chrono::milliseconds wait, std::function<void(bool reached, bool isGone, std::uint64_t upTo)> done)
    {
        if (after < m_droppedUpTo && !machine.isTurnedAway) {
            answer(machine, 1, 0, [done = std::move(done)](bool reached) { done(reached, true, 0); });
            return;
        }
        if (after == revision() && wait.count() > 0 && !machine.isTurnedAway) {
            constexpr std::chrono::milliseconds look { 50 };
            m_events.after(look, [=, this, &machine, done = std::move(done)]() mutable { watch(machine, after, wait - look, std::move(done)); });
            return;
        }
        const std::uint64_t upTo = std::min(revision(), after + changesInAnswer);
        answer(machine, 1, static_cast<double>(upTo - after), [upTo, done = std::move(done)](bool reached) { done(reached, false, upTo); });
    }

    std::size_t wholeReads = 0;
    std::size_t calls = 0;

private:
    void noteWritten() { m_writtenAt.push_back(m_events.now()); }

    void answer(RatedMachine& machine, std::uint64_t pages, double rows, std::function<void(bool)> done)
    {
        calls += pages;
        if (machine.isTurnedAway) {
            m_events.after(answerTime, [done = std::move(done)] { done(false); });
            return;
        }
        constexpr double secondsOfRow = 30e-6; // Of a core, for decoding it.
        const SteadyTime sent = m_out.use(rows * bytesOfRow, m_events.now()) + answerTime * static_cast<int>(pages);
        m_events.at(sent, [=, this, &machine, done = std::move(done)] {
            m_events.at(machine.in.use(rows * bytesOfRow, m_events.now()), [=, this, &machine, done = std::move(done)] {
                m_events.at(machine.core.use(rows * secondsOfRow, m_events.now()), [done = std::move(done)] { done(true); });
            });
        });
    }

    EventQueue& m_events;
    LimitedRate m_out { 125e6 };
    std::vector<std::uint64_t> m_listedAt { 0, 0 }; // Endpoints as of each revision.
    std::vector<SteadyTime> m_writtenAt { {}, {} };
    std::uint64_t m_droppedUpTo = 0;
};

}
