// What instances tell each other of the rates that endpoints state.
//
// Policy makes the news and notices carry it.
#pragma once

#include "whinyard/base/Identity.h"

#include <chrono>
#include <optional>

namespace whinyard {

struct RateNews {
    EndpointName endpoint;
    double requestsPerSecond = 0; // That it stated last, for all instances together.
    std::chrono::milliseconds statedAgo { 0 }; // Since an answer that states a rate was last heard by anybody.
    std::optional<std::chrono::milliseconds> clearedAgo; // Since the latest request was sent whose answer states none.

    bool operator==(const RateNews&) const = default;
};

}
