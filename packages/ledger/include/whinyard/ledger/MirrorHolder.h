// Holds copies of other instances' bill lines until their origin says that they are durable. Lines
// whose origin is gone are added to this instance's own segments; a double is counted once.
//
// StoredUsageLedger owns one and hands it what peers send. It does no input or output.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/ledger/MirrorChannel.h"
#include "whinyard/ledger/UsageSegments.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace whinyard::ledger {

struct MirrorHolderOptions {
    std::size_t capacity = 100'000; // Lines held for all origins together.
    std::chrono::milliseconds grace { 3'000 }; // An origin that isn't known to live, and was silent so long, is gone.
};

class MirrorHolder {
public:
    // All references must outlive the object; lines of gone origins are added to `segments`.
    MirrorHolder(const MirrorHolderOptions& options, const Clock& clock, const LiveWriters& live, UsageSegments& segments);

    // Holds lines of `origin`; false when there is no room for all of them.
    bool hold(const Writer& origin, const std::vector<NumberedLine>& lines);

    // Drops the lines of `origin` up to a number and returns how many there were.
    std::uint64_t release(const Writer& origin, std::uint64_t through);

    // Takes over the lines of origins that are gone, and drops those that are durable by now. Call it
    // about every second.
    void tick();

    std::size_t held() const { return m_held; }

private:
    struct HeldLine {
        std::string line;
        std::optional<std::uint64_t> adopted; // Its number among this instance's own lines.
    };

    struct Origin {
        std::map<std::uint64_t, HeldLine> lines;
        std::uint64_t releasedThrough = 0;
        SteadyTime heardAt {};
    };

    bool isGone(const Writer& writer, const Origin& origin) const;
    void adopt(Origin& origin);
    void dropDurable(Origin& origin);

    const MirrorHolderOptions m_options;
    const Clock& m_clock;
    const LiveWriters& m_live;
    UsageSegments& m_segments;
    std::map<Writer, Origin> m_origins;
    std::size_t m_held = 0;
};

}
