// Decides whether a request that waits at an endpoint is cancelled there and decided anew.
//
// Load reports are late, so some requests are queued at a busy endpoint while another one is free. A request without a
// first byte after the time that it would have needed on a free slot can go elsewhere: a queued attempt that is
// cancelled costs the endpoint nothing. (The tied requests of Dean, Barroso, "The Tail at Scale", CACM 2013, with the first copy
// cancelled before the second is sent.) The router asks after each dispatch how long to wait, and then whether to go on.
// Pure: no clock of its own, no allocation per decision.
#pragma once

#include "whinyard/policy/EndpointChoice.h"
#include "whinyard/policy/RetryPolicy.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace whinyard::policy {

// The numbers that re-dispatches are run with.
struct RedispatchSettings {
    std::chrono::milliseconds minimumWait { 100 }; // Before an attempt is given up.
    double waitFactor = 2; // Times the wait that a free slot would have meant, if that is longer.
    std::uint32_t maximumRedispatches = 3; // Of one request.
    double budgetRatio = 1; // Re-dispatches for each success of the last ten seconds; see RetryBudget.
    double minimumPerSecond = 1;
};

// An attempt that was dispatched.
struct WaitingAttempt {
    bool idempotent = false; // Whether the request may be run again.
    bool firstByteSeen = false;
    std::uint32_t redispatches = 0; // Of this request so far.
    std::chrono::milliseconds waited { 0 }; // Since the dispatch.
    std::chrono::microseconds unqueuedWait { 0 }; // Of its EndpointPlan.
};

enum class RedispatchReason : std::uint8_t {
    redispatch,
    notYet,
    firstByteSeen,
    mayHaveRun, // Not idempotent: it stays where it is.
    timesSpent,
    budgetSpent,
    noOtherEndpoint, // The plan for another one has none.
};

// Returns the text form of `reason`: the enumerator's name.
std::string_view toText(RedispatchReason reason);

// Returns how long an attempt is left alone after its dispatch.
std::chrono::milliseconds patienceFor(const RedispatchSettings& settings, std::chrono::microseconds unqueuedWait);

// Decides on an attempt. `other` is the plan with this endpoint excluded. Takes a re-dispatch out of the budget, which is
// made with RetryBudget(settings.budgetRatio, settings.minimumPerSecond) and counts the same successes as that of the retries.
RedispatchReason planRedispatch(const RedispatchSettings& settings, const WaitingAttempt& waiting, const EndpointPlan& other, RetryBudget& budget, SteadyTime now);

}
