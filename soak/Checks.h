// Judges the promises of the platform's callers by what callers and engines saw. Pure.
#pragma once

#include "Observations.h"

#include <chrono>
#include <string>
#include <vector>

namespace whinyard::soak {

struct CheckBounds {
    std::chrono::milliseconds timeout { 1'500 }; // Of every route; the final answer comes by then.
    std::chrono::milliseconds timeoutSlack { 1'500 }; // For a shared machine.
    // A process or link that was disturbed so long before a request may still show it.
    std::chrono::milliseconds aftermath { 3'000 };
    double repeatRatio = 0.9; // Runs beyond the first, for each request in ten seconds.
    double repeatSlack = 52;
    int streamEvents = 5;
};

// A promise that was broken, with the request that shows it.
struct Violation {
    std::string promise;
    std::string request;
    std::string detail;
};

std::vector<Violation> judge(const Observations& seen, const CheckBounds& bounds);

}
