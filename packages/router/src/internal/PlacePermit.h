// A permit for one request at an endpoint of a scarce service, given back exactly once. ForwardRun gets it, the attempt ends it.
#pragma once

#include "whinyard/router/PlaceBroker.h"

#include <utility>

namespace whinyard::router {

class PlacePermit {
public:
    // No permit: giving it back does nothing.
    PlacePermit() = default;

    // The broker must outlive the object.
    PlacePermit(PlaceBroker& broker, std::uint64_t number)
        : m_broker(&broker)
        , m_number(number)
    {
    }

    // Gives it back as unused, unless that was done before.
    ~PlacePermit() { giveBack(std::nullopt, {}); }
    PlacePermit(const PlacePermit&) = delete;
    PlacePermit& operator=(const PlacePermit&) = delete;

    PlacePermit(PlacePermit&& other) noexcept
        : m_broker(std::exchange(other.m_broker, nullptr))
        , m_number(other.m_number)
    {
    }

    PlacePermit& operator=(PlacePermit&& other)
    {
        giveBack(std::nullopt, {});
        m_broker = std::exchange(other.m_broker, nullptr);
        m_number = other.m_number;
        return *this;
    }

    void giveBack(std::optional<policy::EndpointOutcome> outcome, std::chrono::nanoseconds serviceTime)
    {
        if (PlaceBroker* broker = std::exchange(m_broker, nullptr))
            broker->giveBack(m_number, outcome, serviceTime);
    }

private:
    PlaceBroker* m_broker = nullptr;
    std::uint64_t m_number = 0;
};

}
