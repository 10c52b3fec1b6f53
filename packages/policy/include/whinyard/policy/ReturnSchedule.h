// When callers that are refused for want of capacity are told to come back: one after the other, in the order in which they
// were refused, at the pace at which requests are taken.
//
// The router owns one for each service. Pure: no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Random.h"

#include <chrono>

namespace whinyard::policy {

class ReturnSchedule {
public:
    // The longest time that a caller is told for his turn: a forecast further ahead is of little use.
    static constexpr std::chrono::milliseconds longest { 5'000 };

    // Returns when the caller that is being refused is to come back. `wait` is the time until the first request is taken
    // again, and `perSecond` how many are taken then of this instance's callers. The first caller's turn is drawn: other
    // instances refuse theirs at the same time.
    std::chrono::milliseconds next(std::chrono::nanoseconds wait, double perSecond, SteadyTime now, Random& random);

private:
    SteadyTime m_latest; // That anybody was told.
};

}
