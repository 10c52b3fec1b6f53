// Hybrid logical time: orders events of several processes so that a cause stands before its effect
// although the machines' clocks differ.
//
// Source: Kulkarni, Demirbas, Madappa, Avva, Leone, "Logical Physical Clocks", OPODIS 2014.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>

namespace whinyard {

// A point in hybrid time. Comparison gives the order of events.
struct HybridTime {
    std::chrono::microseconds physical { 0 }; // Since the epoch of the wall clock.
    std::uint32_t logical = 0; // Orders events within one microsecond.

    auto operator<=>(const HybridTime&) const = default;
};

// Hands out hybrid times. Safe to call from any thread.
class HybridClock {
public:
    explicit HybridClock(const Clock& clock);

    // Returns a time for a local event, later than every time returned or observed before.
    HybridTime tick();

    // Takes a time that arrived in a message: later ticks come after it. A time further ahead than
    // `maximumSkew` of the local clock is ignored, so that one wrong clock can't carry all with it.
    void observe(const HybridTime& remote);

    static constexpr std::chrono::minutes maximumSkew { 1 };

private:
    std::chrono::microseconds wallMicroseconds() const;

    const Clock& m_clock;
    std::mutex m_mutex;
    HybridTime m_last;
};

}
