// The way to the instances that hold copies of bill lines.
//
// UsageMirror chooses among the peers and StoredUsageLedger sends; PeerMirrorChannel implements it over the
// calls between instances.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/ledger/LiveWriters.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace whinyard::ledger {

// An instance that may hold lines.
struct MirrorPeer {
    Writer writer; // The life that would hold them.
    ZoneName zone;

    auto operator<=>(const MirrorPeer&) const = default;
};

// A line with its number within the origin's incarnation.
struct NumberedLine {
    std::uint64_t number = 0;
    std::string line;

    bool operator==(const NumberedLine&) const = default;
};

class MirrorChannel {
public:
    virtual ~MirrorChannel() = default;

    // Returns the living instances in other availability zones, best first.
    virtual std::vector<MirrorPeer> peers() const = 0;

    // Asks `peer` to hold lines of this incarnation; true once it holds them all. Suspends the fiber.
    virtual bool hold(const MirrorPeer& peer, const std::vector<NumberedLine>& lines, std::chrono::milliseconds timeout, Failure& failure) = 0;

    // Tells `peer` that all lines up to a number are durable. Suspends the fiber.
    virtual bool release(const MirrorPeer& peer, std::uint64_t through, std::chrono::milliseconds timeout, Failure& failure) = 0;
};

}
