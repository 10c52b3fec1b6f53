// The usage ledger over peers and the key-value service: drives UsageMirror, MirrorHolder and
// UsageSegments with fibers of the store duty.
//
// The daemon makes one. All functions are called on the store duty; the router and the handler of
// peers' calls get there with net::callOn().
#pragma once

#include "whinyard/ledger/MirrorHolder.h"
#include "whinyard/ledger/UsageLedger.h"
#include "whinyard/ledger/UsageMirror.h"
#include "whinyard/net/Duty.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace whinyard::ledger {

struct StoredUsageLedgerOptions {
    UsageSegmentsOptions segments;
    UsageMirrorOptions mirror;
    MirrorHolderOptions holder;
    std::chrono::milliseconds callTimeout { 500 }; // Of one call to a peer.
    std::chrono::milliseconds tick { 200 }; // How often holders and origins are looked at.
};

class StoredUsageLedger final : public UsageLedger {
public:
    // All references must outlive the object. Made on the store duty, whose fibers it starts.
    StoredUsageLedger(net::Duty& duty, backing::KeyValueStore& store, MirrorChannel& channel, const Writer& self, const StoredUsageLedgerOptions& options, const Clock& clock, const LiveWriters& live);
    ~StoredUsageLedger() override;

    std::optional<std::string> record(const UsageLine& line, Failure& failure) override;

    // Handles a peer's calls: to hold lines, and to drop those that are durable.
    bool hold(const Writer& origin, const std::vector<NumberedLine>& lines);
    std::uint64_t release(const Writer& origin, std::uint64_t through);

    // Writes every line of this instance now, and waits for that at most for `bound`; false when
    // some are not durable. For a graceful shutdown, after the last request.
    bool drain(std::chrono::milliseconds bound);

    std::size_t waitingLines() const;
    std::size_t heldLines() const;

    // Returns the key of a record that somebody else wrote under a name of this instance's segments.
    std::optional<std::string> foreignRecord() const;

private:
    struct State;

    static void writeSegments(const std::shared_ptr<State>& state);
    static void lookAround(const std::shared_ptr<State>& state);
    static void sendAll(const std::shared_ptr<State>& state);

    std::shared_ptr<State> m_state; // The fibers hold it as well.
};

}
