// What an exact limiter would make of a trace, to compare the product's own limits with.
#pragma once

#include "whinyard/replay/Trace.h"

#include <vector>

namespace whinyard::replay {

// What a token bucket with a second's burst for each customer makes of a trace.
struct LimitOutcome {
    std::vector<bool> refused; // By request.
    std::vector<bool> contended; // Its customer was beyond its limit about that time, so which requests pass is chance.
};

LimitOutcome applyExactLimits(const Trace& trace);

}
