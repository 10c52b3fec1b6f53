// What callers ask of each service, over all instances: every instance tells its own counters, and the meter makes rates of them.
//
// The leader's capacity plan reads it. Counters only rise, so what is told may be lost, repeated and reordered.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace whinyard::policy {

// What one instance has done for a service since its start.
struct ServiceLoad {
    ServiceName service;
    std::uint64_t requests = 0; // That arrived.
    std::uint64_t unserved = 0; // For which no endpoint was to be had in time.
    std::chrono::microseconds work { 0 }; // That endpoints were given: the time of reading prompts.
    std::uint32_t running = 0; // At endpoints now.

    bool operator==(const ServiceLoad&) const = default;
};

// The sum over all instances.
struct ServiceDemand {
    double requestsPerSecond = 0;
    double unservedPerSecond = 0;
    double busyEndpoints = 0; // That read prompts at any moment, on the mean.
    double running = 0; // Requests at endpoints.
};

class DemandMeter {
public:
    // Takes the counters of one process of an instance; older ones than are known change nothing.
    void take(const InstanceName& instance, std::uint64_t life, const ServiceLoad& load, SteadyTime now);

    // Returns the demand of the last seconds; nothing before it was measured for `shortestSpan`.
    std::optional<ServiceDemand> demand(const ServiceName& service, SteadyTime now) const;

    static constexpr std::chrono::milliseconds shortestSpan { 2'000 };

private:
    static constexpr std::chrono::milliseconds span { 3'000 }; // Over which rates are measured.
    static constexpr std::chrono::milliseconds silence { 5'000 }; // After which an instance counts as gone.

    struct Source {
        InstanceName instance;
        std::uint64_t life = 0;

        auto operator<=>(const Source&) const = default;
    };

    struct Sample {
        ServiceLoad load;
        SteadyTime at;
    };

    struct Counters {
        Sample first; // At least `span` ago, once so much has passed.
        Sample middle;
        Sample last;
    };

    std::map<ServiceName, std::map<Source, Counters>> m_sources;
    std::map<ServiceName, SteadyTime> m_since; // The first counters of a service.
};

}
