// The clock as an interface, so that every decision can run on a time that a test sets.
#pragma once

#include <chrono>

namespace whinyard {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

// Tells the time. Implementations are safe to call from any thread.
class Clock {
public:
    virtual ~Clock() = default;

    // Returns a time that never goes back and counts also while the machine is suspended; its origin is arbitrary. Ages,
    // leases and deadlines are counted by it, never by std::chrono::steady_clock, which stands still meanwhile.
    virtual SteadyTime now() const = 0;

    // Returns the time of day, which may jump when the machine's clock is set.
    virtual WallTime wallNow() const = 0;
};

// The machine's clock.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override;
    WallTime wallNow() const override { return std::chrono::system_clock::now(); }
};

}
