#include "whinyard/ledger/PeerMirrorChannel.h"

#include "whinyard/ledger/PackedLines.h"

#include <algorithm>

namespace whinyard::ledger {

PeerLiveWriters::PeerLiveWriters(const peer::Peers& peers, const Clock& clock)
    : m_peers(peers)
    , m_clock(clock)
{
}

bool PeerLiveWriters::isAlive(const Writer& writer) const
{
    const auto view = m_peers.view();
    const peer::Member* member = peer::findMember(*view, writer.instance);
    if (member && member->incarnation >= writer.incarnation)
        return member->incarnation == writer.incarnation;
    return startedLately(writer.incarnation) || startedLately(view->self.incarnation);
}

bool PeerLiveWriters::isReplaced(const Writer& writer) const
{
    const auto view = m_peers.view();
    const peer::Member* member = peer::findMember(*view, writer.instance);
    return member && member->incarnation > writer.incarnation;
}

bool PeerLiveWriters::startedLately(Incarnation incarnation) const
{
    const auto start = std::chrono::microseconds(incarnation.number);
    return m_clock.wallNow().time_since_epoch() < start + hearingTime;
}

PeerMirrorChannel::PeerMirrorChannel(peer::Peers& peers)
    : m_peers(peers)
{
}

std::vector<MirrorPeer> PeerMirrorChannel::peers() const
{
    const auto view = m_peers.view();
    const std::uint64_t seed = stableHash(view->self.name.value);
    std::vector<std::pair<std::uint64_t, MirrorPeer>> ranked;
    for (const peer::Member& member : view->members) {
        if (member.state == peer::MemberState::alive && member.zone != view->self.zone)
            ranked.emplace_back(stableHash(member.name.value, seed), MirrorPeer { { member.name, member.incarnation }, member.zone });
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<MirrorPeer> peers;
    for (auto& [rank, peer] : ranked)
        peers.push_back(std::move(peer));
    return peers;
}

bool PeerMirrorChannel::hold(const MirrorPeer& peer, const std::vector<NumberedLine>& lines, std::chrono::milliseconds timeout, Failure& failure)
{
    const peer::MirrorUsage request { { { lines.front().number, packLines(lines) } } };
    const auto answer = peer::ask(m_peers, peer.writer.instance, request, timeout, failure);
    return answer && answer->taken;
}

bool PeerMirrorChannel::release(const MirrorPeer& peer, std::uint64_t through, std::chrono::milliseconds timeout, Failure& failure)
{
    return peer::ask(m_peers, peer.writer.instance, peer::ReleaseMirror { .throughSequence = through, .sequences = {} }, timeout, failure).has_value();
}

}
