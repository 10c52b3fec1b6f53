// What instances count of the answers under a version shift.
//
// Answers are counted by kind of request and by endpoint: kinds fail, and are slow, at rates of their own, and what one endpoint does
// by itself says little of its version. VersionShifts keeps the counts and instances tell them to each other; VersionComparison judges
// them. Pure.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Revision.h"
#include "whinyard/policy/SequentialTest.h"
#include "whinyard/policy/UsualValues.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <map>
#include <string_view>

namespace whinyard::policy {

// Kinds, and endpoints, that share a place are judged as one. An instance tells of so many at most, whose counts fit into a datagram; of
// any further one as of one of these.
inline constexpr std::size_t kindPlaces = 256;
inline constexpr std::size_t endpointPlaces = 256;
inline constexpr std::size_t maximumKinds = 12;
inline constexpr std::size_t maximumEndpoints = 32;
inline constexpr std::size_t maximumPairs = 64; // Of a kind and an endpoint of the target; one more for each kind that has none.

// Counts by place of endpoints; most places have none.
class CountsByPlace {
public:
    CountsByPlace() = default;

    // Takes the counts of the first places.
    CountsByPlace(std::initializer_list<RatedCounts> counts);

    RatedCounts& operator[](std::size_t place) { return m_counts[place]; }
    RatedCounts at(std::size_t place) const;
    std::size_t size() const { return m_counts.size(); }
    bool contains(std::size_t place) const { return m_counts.contains(place); }
    void clear() { m_counts.clear(); }

    auto begin() const { return m_counts.begin(); }
    auto end() const { return m_counts.end(); }

    bool operator==(const CountsByPlace&) const = default;

private:
    std::map<std::size_t, RatedCounts> m_counts;
};

// Answers of one kind of request.
struct KindCounts {
    CountsByPlace target {}; // Of the new version, by endpoint; bad ones failed.
    RatedCounts others; // Of the other versions.
    CountsByPlace slowTarget {}; // Of those that could be compared; bad ones were slow.
    RatedCounts slowOthers {};
    LogSum times {}; // Of the other versions: what is usual, as multiples of what was expected.
    LogSum pauses {}; // The same, in microseconds.

    bool operator==(const KindCounts&) const = default;
};

using CountsByKind = std::map<std::size_t, KindCounts>; // By place.

// Answers that were lost with the process of their endpoint, all bad, by endpoint: all that run there are lost at once.
struct EndCounts {
    CountsByPlace target {};
    CountsByPlace others {};

    bool operator==(const EndCounts&) const = default;
};

// Returns the counts of a place; none where it has none.
const KindCounts& countsOf(const CountsByKind& kinds, std::size_t place);

// Return the places of a kind of request and of an endpoint, the same at all instances.
std::size_t kindPlace(std::string_view measure);
std::size_t endpointPlace(const EndpointName& endpoint);

// Counts of answers under an order, by one instance; they only grow.
struct ShiftEvidence {
    Revision order {};
    RatedCounts failures {}; // Of the target; bad ones failed.
    RatedCounts slowness {}; // Of the target; bad ones were slow, of those that could be compared.
    RatedCounts otherFailures {}; // Of the other versions: what the environment alone makes fail.
    CountsByKind kinds {}; // The same by kind of request and endpoint.
    std::uint64_t life = 0; // Of the process that counted.
    std::chrono::milliseconds elapsed { 0 }; // Of the period, when it was told.
    EndCounts ends {}; // Not among the failures.

    bool operator==(const ShiftEvidence&) const = default;
};

// Counts of late, older ones fading.
class FadingCounts {
public:
    void add(const RatedCounts& counts, std::chrono::milliseconds memory, SteadyTime now);

    // Returns whether anything was counted not longer ago.
    bool wasCountedWithin(std::chrono::milliseconds time, SteadyTime now) const { return m_good + m_bad > 0 && now - m_at <= time; }

    double badShare() const { return m_bad / (m_good + m_bad + 1); }

    // Returns the share as far as it is known, where `usual` is what is known without these counts.
    double badShareFrom(double usual) const { return (m_bad + usual) / (m_good + m_bad + 1); }

    // Returns the share with so many of its standard errors.
    double badShareAbove(double errors) const;

    // Returns how many a second were counted of late, once counting has gone on for `knownAfter`; before that, 0.
    double perSecond(std::chrono::milliseconds memory, std::chrono::milliseconds knownAfter, SteadyTime now) const;

private:
    double m_good = 0;
    double m_bad = 0;
    SteadyTime m_at;
    SteadyTime m_since; // Of the first count.
};

}
