// Divides the descriptors of a process among what it connects for, so that no use takes those of another.
//
// A daemon reads it at its start, and bounds its servers and clients by it: whatever callers do, some are left for endpoints, the store,
// other instances, metrics and the question for readiness.
#pragma once

#include "whinyard/base/Error.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace whinyard::settings {

// Connections for each use; without shares each may have as many as a server takes by default.
struct DescriptorShares {
    static constexpr std::size_t unshared = 20'000;

    std::size_t callers = unshared;
    std::size_t endpoints = unshared;
    std::size_t probes = unshared; // Questions whether an endpoint listens.
    std::size_t relayed = unshared; // For other instances, each with two descriptors.
    std::size_t store = unshared;
    std::size_t instancesRead = unshared; // To other instances.
    std::size_t instancesAnswered = unshared; // From them.
    std::size_t readiness = unshared;
    std::size_t metrics = unshared;

    // Returns the descriptors that all of them take.
    std::size_t descriptors() const { return callers + endpoints + probes + 2 * relayed + store + instancesRead + instancesAnswered + readiness + metrics; }
};

// Divides `descriptors`, or as many as the system lets the process have where these are fewer or `descriptors` is 0. A process of so many
// megabytes, 0 if unknown, has no more callers than half of it bears. Fails with invalidSettings where there are too few for each use.
std::optional<DescriptorShares> shareDescriptors(std::size_t descriptors, std::uint32_t memoryMegabytes, Failure& failure);

}
