// Asks for a slot at an endpoint of a scarce plain service before a request is sent there.
//
// ForwardRun asks before each attempt at a plain service; SharedPlaces implements it by messages between instances. Belongs to the
// serve duty.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/config/Routing.h"
#include "whinyard/policy/PlacePool.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace whinyard::router {

struct PlaceWish {
    ServiceName service;
    std::string version; // The version that the request is to run on.
    CustomerName customer;
    std::uint8_t priority = 1;
    std::chrono::milliseconds objectiveLeft { 0 };
    std::chrono::milliseconds deadlineLeft { 0 };
    std::vector<EndpointName> excluded; // Tried already.
    config::Residency residency;
};

struct PlaceAnswer {
    enum class Kind : std::uint8_t {
        granted,
        rejected, // The request has not run.
        unavailable, // Nobody answered in time, or there is no endpoint to grant: the instance decides by itself.
    };

    Kind kind = Kind::unavailable;
    std::uint64_t permit = 0; // If granted; give it back once.
    EndpointName endpoint; // If granted.
    std::chrono::milliseconds retryAfter { 0 }; // If rejected.
};

class PlaceBroker {
public:
    virtual ~PlaceBroker() = default;

    // Returns whether the slots of the service are granted by a coordinator now.
    virtual bool isShared(const ServiceName& service) const = 0;

    // Asks for a slot and waits for the answer in the calling fiber, until the wish's deadline at most. Ends with `unavailable` as soon
    // as `isGivenUp` returns true; it is asked after each wake-up, at least every 50 ms.
    virtual PlaceAnswer acquire(const PlaceWish& wish, const std::function<bool()>& isGivenUp) = 0;

    // Gives a permit back. `outcome` is nothing where no request was sent under it.
    virtual void giveBack(std::uint64_t permit, std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime) = 0;
};

}
