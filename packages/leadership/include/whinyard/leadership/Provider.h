// What a leader asks of the provider whose endpoints the instances use: it reports usage and orders capacity.
//
// The adapter to a real provider implements it; tests put a fake in its place.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/leadership/UsageWindows.h"

#include <chrono>
#include <cstdint>

namespace whinyard::leadership {

// Who acts: the provider tells leaders apart by it.
struct Authority {
    InstanceName leader;
    std::uint64_t fence = 0;
};

// A number of endpoints of one kind.
struct CapacityOrder {
    ServiceName service;
    ZoneName zone;
    bool isSpot = false; // Cheaper endpoints, all of which the provider may take back at once.
    std::uint32_t desired = 0;

    bool operator==(const CapacityOrder&) const = default;
};

enum class ProviderAnswer : std::uint8_t {
    accepted,
    noCapacity, // None are to be had there now.
    refused, // The call can't be accepted as it is.
};

class Provider {
public:
    // How long a call may take; none reaches the provider later.
    static constexpr std::chrono::milliseconds callTimeout { 800 };

    virtual ~Provider() = default;

    // Both fail with storeUnavailable where the call had no effect, and with storeUncertain where it may have had one.
    virtual std::optional<ProviderAnswer> reportUsage(const UsageWindow& window, const Authority& authority, Failure& failure) = 0;
    virtual std::optional<ProviderAnswer> order(const CapacityOrder& order, const Authority& authority, Failure& failure) = 0;
};

}
