// The time of day without the jumps of a machine's clock.
//
// Windows of usage are bounded by true time, and some machines' clocks jump by seconds and back. Steps below a tenth of a second are
// taken over as they come; a larger one only after it has held for a while.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <optional>

namespace whinyard {

// Belongs to one thread.
class SettledWallClock {
public:
    // `clock` must outlive the object.
    explicit SettledWallClock(const Clock& clock)
        : m_clock(clock)
    {
    }

    WallTime now();

private:
    static constexpr std::chrono::milliseconds largestStep { 100 };
    static constexpr std::chrono::seconds settleTime { 60 }; // Clocks that jump by mistake are set right sooner.

    const Clock& m_clock;
    std::optional<std::chrono::nanoseconds> m_offset; // Of the wall clock from the steady one.
    std::optional<SteadyTime> m_differsSince;
};

}
