// Remembers at which endpoints prompt prefixes were last seen: in a fixed amount of memory, from own
// dispatches and from the cache lists of load reports.
//
// EndpointTable owns one; selectors look a request's prefixes up in it.
#pragma once

#include "whinyard/base/Clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace whinyard::policy {

// A set-associative table from a prefix's digest to endpoint rows. The oldest placement of a set
// gives way to a new one. What it says may be out of date: an engine can have dropped the prefix.
class PrefixIndex {
public:
    static constexpr std::size_t waysPerSet = 8;

    // The endpoint rows that one look-up found, in no order.
    struct Matches {
        std::array<std::uint32_t, waysPerSet> endpoints;
        std::size_t count = 0;
    };

    // `capacity` is rounded up to a power of two of at least waysPerSet.
    explicit PrefixIndex(std::size_t capacity);

    // Notes that `endpoint` holds the prefix at `now`.
    void note(std::uint64_t digest, std::uint32_t endpoint, SteadyTime now);

    // Forgets everything about `endpoint`, for example when its row is reused.
    void forget(std::uint32_t endpoint);

    // Returns the endpoints at which the prefix was seen.
    Matches find(std::uint64_t digest) const;

private:
    struct Way {
        std::uint64_t digest = 0;
        std::uint32_t endpoint = unused;
        std::uint32_t seenAtMs = 0; // Milliseconds of the steady clock, wrapping.
    };

    static constexpr std::uint32_t unused = 0xFFFFFFFF;

    std::size_t setOf(std::uint64_t digest) const;

    std::vector<Way> m_ways;
    std::size_t m_sets;
};

}
