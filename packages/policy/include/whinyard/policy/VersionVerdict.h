// What instances tell each other about a version under judgement: grow-only counts and verdicts that merge in any
// order, any number of times.
//
// RolloutJudge keeps and merges verdicts; the daemon publishes a packed section under one gossip topic.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/policy/SequentialTest.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::policy {

// What one life of an instance has counted. Every number only grows.
struct ExposureCount {
    InstanceName instance;
    Incarnation incarnation;
    std::uint64_t exposed = 0; // Answers of the version handed to callers.
    RatedCounts rated;

    bool operator==(const ExposureCount&) const = default;
};

// Why a version takes no sessions any more.
enum class StopReason : std::uint8_t {
    none,
    undecided, // The exposure limit was reached before the ratings showed it to be good.
    turnedBad, // It was in use and its share of bad answers rose.
    bad, // The test of the new version found it bad.
};

// Returns the enumerator's name.
std::string_view toText(StopReason reason);

// All that is known of one trial of a version. The merge is a join: counts take the higher number per life of an
// instance, flags the higher value; so it is commutative, associative and idempotent (a state-based grow-only counter:
// Shapiro, Preguiça, Baquero, Zawirski, "Conflict-free Replicated Data Types", SSS 2011).
struct VersionVerdict {
    VersionName version;
    std::uint32_t trial = 0; // config::Rollout::trial; a higher one begins anew.
    StopReason stop = StopReason::none;
    bool passed = false; // The test of the new version found it good. A stop outweighs it.
    std::vector<ExposureCount> counts; // Sorted by instance and incarnation, each once.

    // Joins `other`, a verdict on the same trial, into this one.
    void merge(const VersionVerdict& other);

    // Returns this life's counts, adding a row of zeros if there is none.
    ExposureCount& countOf(const InstanceName& instance, Incarnation incarnation);

    std::uint64_t exposed() const;
    RatedCounts rated() const;

    bool operator==(const VersionVerdict&) const = default;
};

// Packs verdicts as MessagePack: [format, [[version, trial, stop, passed, [[instance, incarnation, exposed, good,
// bad], ...]], ...]]. At most `maximumBytes`: the counts of other lives than `own` are left out first, the smallest
// before the larger; stops are always kept.
std::string packVerdicts(std::vector<VersionVerdict> verdicts, const InstanceName& ownInstance, Incarnation ownIncarnation, std::size_t maximumBytes);

// Reads what packVerdicts() wrote; returns nothing for any other bytes.
std::optional<std::vector<VersionVerdict>> unpackVerdicts(std::string_view bytes);

}
