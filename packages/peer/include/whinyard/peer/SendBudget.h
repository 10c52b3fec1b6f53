// How much an instance does for others that read from it: a part of its link and of its time, so that requests get through beside it,
// and so that answers which have begun end soon.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace whinyard::peer {

class SendBudget {
public:
    // Of a link of so many megabits a second; 0: not bounded by it.
    explicit SendBudget(std::uint32_t linkMegabits);

    // Returns zero where another answer may be made now; otherwise after what time it may be asked for again.
    std::chrono::milliseconds wait(SteadyTime now) const;

    // Notes an answer of so many bytes, and the time that it took to make.
    void note(std::size_t bytes, std::chrono::nanoseconds work, SteadyTime now);

private:
    const double m_bytesPerSecond;
    SteadyTime m_freeAt; // When all that was noted is within its part.
};

}
