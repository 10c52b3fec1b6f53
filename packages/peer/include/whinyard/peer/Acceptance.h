// When a revision counts as accepted: a majority of the instances held it at one and the same time.
//
// The administration API asks the instances and tells the operator. Confirmations alone would not do:
// an instance keeps nothing over a restart, so each must be seen to hold the revision, in one life, on both
// sides of a common moment. docs/MEMBERSHIP.md has the argument.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/peer/Messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace whinyard::peer {

// How far a revision has come.
struct Acceptance {
    std::uint64_t revision = 0;
    std::size_t instances = 0; // The number whose majority counts.
    std::size_t confirmed = 0; // Instances whose current life said that it holds the revision or a higher one.
    bool accepted = false;
    std::vector<InstanceName> missing; // Instances that didn't say so.
};

// Collects the confirmations of one revision.
class AcceptanceTracker {
public:
    // `instances` are those of the last known list and the live members, this one included.
    AcceptanceTracker(std::uint64_t revision, std::vector<InstanceName> instances);

    // Takes an answer: the sender held `revision` at some moment between the two times.
    void take(const Sender& sender, std::uint64_t revision, SteadyTime askedAt, SteadyTime answeredAt);

    Acceptance status() const;

private:
    // A life of an instance that held the revision throughout.
    struct Holding {
        Incarnation incarnation;
        SteadyTime from; // The first answer had arrived.
        SteadyTime until; // The last question had not been sent before.
    };

    bool isAccepted() const;

    const std::uint64_t m_revision;
    std::vector<InstanceName> m_instances;
    std::map<InstanceName, Holding> m_holdings;
};

}
