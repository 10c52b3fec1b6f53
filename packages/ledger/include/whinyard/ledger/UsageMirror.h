// Makes a bill line safe before the last piece of its answer leaves: held by two instances in other
// availability zones, or durable in the key-value service. A state machine without input or output.
//
// StoredUsageLedger drives it. Every line also goes to UsageSegments; once it is durable there, its
// holders are told to drop it.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/ledger/MirrorChannel.h"
#include "whinyard/ledger/UsageSegments.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::ledger {

struct UsageMirrorOptions {
    std::size_t copies = 2; // Holders of a line besides this instance.
    std::chrono::milliseconds mirrorBound { 100 }; // Then the line is written durably instead; counted from when a message may carry it.
    std::chrono::milliseconds recordBound { 2'000 }; // Then the record fails; the line is kept and tried on.
    std::size_t batchLines = 256; // Lines in one message.
    std::chrono::milliseconds messageInterval { 120 }; // Between messages to one holder, on average; lines wait for the next and go together.
    std::size_t messageBurst = 8; // Messages to one holder that needn't keep the interval after a quieter time.
};

// A message to a holder.
struct MirrorSend {
    MirrorPeer peer;
    std::vector<NumberedLine> lines;
};

// A word to a holder that lines are durable.
struct MirrorRelease {
    MirrorPeer peer;
    std::uint64_t through = 0;
};

struct RecordResult {
    std::optional<std::string> how; // "mirrored to a, b" or "segment K".
    Failure failure; // Only without `how`.
};

class UsageMirror {
public:
    // All references must outlive the object.
    UsageMirror(const UsageMirrorOptions& options, const Clock& clock, const LiveWriters& live, UsageSegments& segments);

    // Takes a line and the peers to choose from, best first; returns its number, or nothing when no
    // more lines can be kept. The holders are the first peers, of different zones where there are.
    std::optional<std::uint64_t> record(const UsageLine& line, const std::vector<MirrorPeer>& peers);

    // Returns and forgets the result for a line once there is one, within recordBound.
    std::optional<RecordResult> take(std::uint64_t number);

    // Returns a message to send now, if any. At most one message to a peer is under way, and messages to it keep
    // their interval, so that their cost stays bounded when many answers end.
    std::optional<MirrorSend> nextSend();

    // Takes what came of a message.
    void onSent(const MirrorSend& send, bool held);

    // Returns a release to send now, if any; a lost one is repaired by the next.
    std::optional<MirrorRelease> nextRelease();

    // Looks at the bounds, the segments and the holders' lives. Call it when a segment became
    // durable, and when nextDue() says so.
    void tick();

    std::optional<SteadyTime> nextDue() const;

private:
    struct Recording {
        std::string line;
        std::vector<MirrorPeer> spare; // Peers that may be asked yet.
        std::set<MirrorPeer> asked;
        std::vector<MirrorPeer> holders;
        SteadyTime mirrorUntil;
        SteadyTime failAt;
        bool durableFirst = false;
        bool answered = false;
    };

    // What is known of a peer that was sent lines.
    struct Holder {
        std::vector<std::uint64_t> outbox;
        bool sending = false;
        std::uint64_t highest = 0; // The highest number that it was sent.
        std::uint64_t releasedThrough = 0;
        SteadyTime intervalsUntil {}; // The end of the intervals that its messages have used up.
    };

    SteadyTime mayBeSent(const Holder& holder) const;
    void askNext(std::uint64_t number, Recording& recording);
    void goDurable(Recording& recording);
    void finishDurable();
    void flushForDeadHolders();
    void countHeld(const MirrorPeer& peer, int change);
    void answer(std::uint64_t number, RecordResult result);

    const UsageMirrorOptions m_options;
    const Clock& m_clock;
    const LiveWriters& m_live;
    UsageSegments& m_segments;
    std::map<std::uint64_t, Recording> m_recordings; // Lines that aren't durable yet.
    std::map<MirrorPeer, Holder> m_holders;
    std::map<MirrorPeer, std::int64_t> m_held; // How many lines that aren't durable each holder has.
    std::set<std::uint64_t> m_open; // Recordings without a result.
    std::map<std::uint64_t, RecordResult> m_results;
};

}
