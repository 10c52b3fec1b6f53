// What instances count of the answers under a version shift, and whether the new version fails more often than the others do
// for the same kinds of request.
//
// Kinds of request fail at rates of their own: one that fails by itself hides, in a common count, a version that fails at another.
// VersionShifts keeps the counts and asks for the verdict; instances tell each other the counts. Pure.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Revision.h"
#include "whinyard/policy/SequentialTest.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

namespace whinyard::policy {

// Kinds, and endpoints, that share a place are judged as one: the counts must fit into a datagram, however many there are.
inline constexpr std::size_t kindPlaces = 4;
inline constexpr std::size_t endpointPlaces = 8;

// Answers of one kind of request.
struct KindCounts {
    std::array<RatedCounts, endpointPlaces> target {}; // Of the new version, by endpoint; bad ones failed.
    RatedCounts others; // Of the other versions.

    bool operator==(const KindCounts&) const = default;
};

using CountsByKind = std::array<KindCounts, kindPlaces>;

// Return the places of a kind of request and of an endpoint, the same at all instances.
std::size_t kindPlace(std::string_view measure);
std::size_t endpointPlace(const EndpointName& endpoint);

// Counts of answers under an order, by one instance; they only grow.
struct ShiftEvidence {
    Revision order {};
    RatedCounts failures {}; // Of the target; bad ones failed.
    RatedCounts slowness {}; // Of the target; bad ones were slow, of those that didn't fail and could be compared.
    RatedCounts otherFailures {}; // Of the other versions: what the environment alone makes fail.
    CountsByKind kinds {}; // The failures again, by kind of request.
    std::uint64_t life = 0; // Of the process that counted.
    std::chrono::milliseconds elapsed { 0 }; // Of the period, when it was told.

    bool operator==(const ShiftEvidence&) const = default;
};

// Counts of late, older ones fading.
class FadingCounts {
public:
    void add(const RatedCounts& counts, std::chrono::milliseconds memory, SteadyTime now);

    double badShare() const { return m_bad / (m_good + m_bad + 1); }

    // Returns the share as far as it is known: one half without any counts.
    double cautiousBadShare() const { return (m_bad + 1) / (m_good + m_bad + 2); }

    // Returns how many a second were counted of late, once counting has gone on for `knownAfter`; before that, 0.
    double perSecond(std::chrono::milliseconds memory, std::chrono::milliseconds knownAfter, SteadyTime now) const;

private:
    double m_good = 0;
    double m_bad = 0;
    SteadyTime m_at;
    SteadyTime m_since; // Of the first count.
};

// Compares the failures of the new version with the others', kind by kind, over the answers of all instances.
class FailuresByKind {
public:
    // Takes what one instance counted, and what it had counted before. Answers of the new version wait for a moment, until the
    // others' answers of the same time are known.
    void add(const CountsByKind& before, const CountsByKind& counts, SteadyTime now);

    // Takes an answer of the new version that has waited for longer already.
    void addSettled(std::size_t kind, std::size_t endpoint, const RatedCounts& counts);

    // Counts the answers that have waited for long enough, or all.
    void settle(SteadyTime now);
    void settleAll() { settle(SteadyTime::max()); }

    // The cumulative sum of the log likelihood ratio that the new version fails more often than is tolerable. No endpoint counts for
    // more than the others together: one that fails by itself says nothing of its version.
    double sum() const;

    // The same with the answers that still wait.
    double sumOfAll() const;

    // What each endpoint has added to the sum, by place; 0 for one without an answer.
    const std::array<double, endpointPlaces>& parts() const { return m_parts; }

private:
    struct Waiting {
        SteadyTime at;
        std::size_t kind = 0;
        std::size_t endpoint = 0;
        RatedCounts counts;
    };

    double tolerableShare(std::size_t kind) const;

    std::array<FadingCounts, kindPlaces> m_others;
    std::array<FadingCounts, kindPlaces> m_othersBefore; // The same over a longer time.
    std::deque<Waiting> m_waiting;
    double m_sum = 0;
    std::array<double, endpointPlaces> m_parts {}; // What each endpoint has added since the sum was 0.
    std::array<bool, endpointPlaces> m_isSeen {}; // Endpoints with an answer.
};

}
