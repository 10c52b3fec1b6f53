#include "whinyard/policy/Redispatch.h"

#include <algorithm>

namespace whinyard::policy {

std::string_view toText(RedispatchReason reason)
{
    switch (reason) {
    case RedispatchReason::redispatch:
        return "redispatch";
    case RedispatchReason::notYet:
        return "notYet";
    case RedispatchReason::firstByteSeen:
        return "firstByteSeen";
    case RedispatchReason::mayHaveRun:
        return "mayHaveRun";
    case RedispatchReason::timesSpent:
        return "timesSpent";
    case RedispatchReason::budgetSpent:
        return "budgetSpent";
    case RedispatchReason::noOtherEndpoint:
        return "noOtherEndpoint";
    }
    return "noOtherEndpoint";
}

std::chrono::milliseconds patienceFor(const RedispatchSettings& settings, std::chrono::microseconds unqueuedWait)
{
    const auto unqueued = std::chrono::ceil<std::chrono::milliseconds>(unqueuedWait * settings.waitFactor);
    return std::max(settings.minimumWait, unqueued);
}

RedispatchReason planRedispatch(const RedispatchSettings& settings, const WaitingAttempt& waiting, const EndpointPlan& other, RetryBudget& budget, SteadyTime now)
{
    if (waiting.firstByteSeen)
        return RedispatchReason::firstByteSeen;
    if (!waiting.idempotent)
        return RedispatchReason::mayHaveRun;
    if (waiting.waited < patienceFor(settings, waiting.unqueuedWait))
        return RedispatchReason::notYet;
    if (waiting.redispatches >= settings.maximumRedispatches)
        return RedispatchReason::timesSpent;
    if (!other)
        return RedispatchReason::noOtherEndpoint;
    if (!budget.take(now))
        return RedispatchReason::budgetSpent;
    return RedispatchReason::redispatch;
}

}
