// A clock that stands still until a test moves it.
#pragma once

#include "whinyard/base/Clock.h"

#include <atomic>

namespace whinyard {

class FakeClock final : public Clock {
public:
    SteadyTime now() const override { return SteadyTime(std::chrono::nanoseconds(m_elapsed.load())); }
    WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(wallStart + std::chrono::nanoseconds(m_elapsed.load()))); }

    // Moves both times forward.
    void advance(std::chrono::nanoseconds duration) { m_elapsed += duration.count(); }

    // The wall clock's reading at the start: 2026-01-01T00:00:00Z.
    static constexpr std::chrono::seconds wallStart { 1767225600 };

private:
    std::atomic<std::int64_t> m_elapsed { 3'600'000'000'000 };
};

}
