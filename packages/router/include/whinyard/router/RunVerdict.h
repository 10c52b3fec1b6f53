// The one place that decides whether a request has run, from what was written in each of its attempts.
//
// Every answer's "notRun" and every decision to repeat a call that may not be repeated come from it.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/endpoint/Attempt.h"

#include <span>

namespace whinyard::router {

// Returns notRun when no attempt can have run, ran when one was answered completely, else unknown.
// `recorded` is what the intent ledger's record says of earlier requests for the same call.
RunState runVerdict(std::span<const endpoint::AttemptAccount> attempts, RunState recorded = RunState::notRun);

}
