// The ledger's view of the other instances: who lives, and who holds copies of bill lines.
//
// The daemon makes both over its peer::Peers and hands them to the ledgers.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/ledger/MirrorChannel.h"
#include "whinyard/peer/Peers.h"

namespace whinyard::ledger {

// Tells a writer's life from the membership. An instance that is suspected but not yet dead lives.
//
// What it wrote can be read before the membership tells of it, right after its start or ours. Such a
// writer counts as alive for `hearingTime`, measured on the wall clock from the start that stands in its
// incarnation, or in this instance's own.
class PeerLiveWriters final : public LiveWriters {
public:
    // The time within which a started instance is known to all others.
    static constexpr std::chrono::seconds hearingTime { 5 };

    // `peers` and `clock` must outlive the object.
    PeerLiveWriters(const peer::Peers& peers, const Clock& clock);

    bool isAlive(const Writer& writer) const override;
    bool isReplaced(const Writer& writer) const override;

private:
    bool startedLately(Incarnation incarnation) const;

    const peer::Peers& m_peers;
    const Clock& m_clock;
};

// Sends lines with the calls MirrorUsage and ReleaseMirror.
class PeerMirrorChannel final : public MirrorChannel {
public:
    // `peers` must outlive the object.
    explicit PeerMirrorChannel(peer::Peers& peers);

    // Returns the living instances of other zones, each origin with an order of its own, so that the
    // copies spread.
    std::vector<MirrorPeer> peers() const override;

    bool hold(const MirrorPeer& peer, const std::vector<NumberedLine>& lines, std::chrono::milliseconds timeout, Failure& failure) override;
    bool release(const MirrorPeer& peer, std::uint64_t through, std::chrono::milliseconds timeout, Failure& failure) override;

private:
    peer::Peers& m_peers;
};

}
