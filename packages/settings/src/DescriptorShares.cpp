#include "whinyard/settings/DescriptorShares.h"

#include <sys/resource.h>

#include <algorithm>
#include <string>

namespace whinyard::settings {

namespace {

    // Standard streams, event loops, listening and datagram sockets.
    constexpr std::size_t ownDescriptors = 48;

    // More than any machine of ours has callers for.
    constexpr std::size_t mostDescriptors = 1'000'000;

    // What a caller takes while its request is under way: two connections with their buffers, and the stack of its fiber.
    constexpr std::size_t callerBytes = 48 * 1024;

    struct Part {
        std::size_t least;
        std::size_t thousandths; // Of what the least of all uses leave.
        std::size_t most;
    };

    // A request under way takes a caller's and an endpoint's. The store is asked by several duties at once, each of which has to be.
    constexpr Part callers { 1, 380, mostDescriptors };
    constexpr Part endpoints { 1, 380, mostDescriptors };
    constexpr Part probes { 1, 40, 256 };
    constexpr Part relayed { 1, 60, 256 };
    constexpr Part store { 8, 15, 128 };
    constexpr Part instancesRead { 2, 10, 64 };
    constexpr Part instancesAnswered { 2, 40, 512 };
    constexpr Part readiness { 2, 8, 32 };
    constexpr Part metrics { 2, 7, 32 };

    std::size_t partOf(const Part& part, std::size_t descriptors)
    {
        constexpr std::size_t whole = 1'000;
        return std::min(part.least + part.thousandths * descriptors / whole, part.most);
    }

    // Returns the least of each use, with its part of so many descriptors more.
    DescriptorShares sharesOf(std::size_t descriptors)
    {
        DescriptorShares shares;
        shares.callers = partOf(callers, descriptors);
        shares.endpoints = partOf(endpoints, descriptors);
        shares.probes = partOf(probes, descriptors);
        shares.relayed = partOf(relayed, descriptors);
        shares.store = partOf(store, descriptors);
        shares.instancesRead = partOf(instancesRead, descriptors);
        shares.instancesAnswered = partOf(instancesAnswered, descriptors);
        shares.readiness = partOf(readiness, descriptors);
        shares.metrics = partOf(metrics, descriptors);
        return shares;
    }

    std::size_t systemLimit()
    {
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return mostDescriptors;
        return std::min<std::size_t>(limit.rlim_cur, mostDescriptors);
    }

}

std::optional<DescriptorShares> shareDescriptors(std::size_t descriptors, std::uint32_t memoryMegabytes, Failure& failure)
{
    constexpr std::size_t halfMegabyte = 512 * 1024;
    const std::size_t limit = std::min(systemLimit(), descriptors == 0 ? mostDescriptors : descriptors);
    const std::size_t least = ownDescriptors + sharesOf(0).descriptors();
    if (limit < least) {
        failure = { .kind = ErrorKind::invalidSettings, .reason = "limit of descriptors: found " + std::to_string(limit) + " beside those reserved for files; allowed: at least " + std::to_string(least) };
        return std::nullopt;
    }
    DescriptorShares shares = sharesOf(limit - least);
    if (memoryMegabytes > 0)
        shares.callers = std::min(shares.callers, std::max<std::size_t>(1, memoryMegabytes * halfMegabyte / callerBytes));
    return shares;
}

}
