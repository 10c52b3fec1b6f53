// Says what becomes of requests that come before an instance knows what it may serve: how long they wait for it, and when
// those that are refused are to come back.
//
// The forwarding path asks while the configuration or the list of endpoints is unknown. Pure.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Random.h"

#include <chrono>
#include <optional>

namespace whinyard::policy {

struct StartSettings {
    // A start takes some tens of milliseconds while the store answers, so a short wait serves the request in time, where a
    // refusal costs the caller one of few repeats. The wait is a part of the time that the caller has: most objectives
    // are a tenth of it or more, so that a refused caller can still be served in time elsewhere.
    double heldPart = 0.05;
    std::chrono::milliseconds mostHeld { 1'000 };
    std::chrono::milliseconds heldWithoutDeadline { 200 };

    // A start that has not ended yet is expected to take as long again as it has taken, within these bounds.
    std::chrono::milliseconds soonestReturn { 200 };
    std::chrono::milliseconds latestReturn { 4'000 }; // The longest outages of a store that were seen lasted about twice this.
    double spread = 0.3; // Of the time to come back, to either side: callers that were refused together return apart.
};

class StartForecast {
public:
    explicit StartForecast(SteadyTime startedAt, const StartSettings& settings = {});

    // Returns how long a request may wait whose caller waits for `timeLeft`.
    std::chrono::milliseconds holdFor(std::optional<std::chrono::milliseconds> timeLeft) const;

    // Returns when a refused caller is to come back.
    std::chrono::milliseconds comeBackAfter(SteadyTime now, Random& random) const;

private:
    const SteadyTime m_startedAt;
    const StartSettings m_settings;
};

}
