// The other instances as an interface: who lives, who owns a partition, and calls between instances.
//
// The router, the ledger and the administration API are written against it; PeerService implements
// it in the daemon, and testing/whinyard/peer/FakePeers.h in tests.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/net/Address.h"
#include "whinyard/peer/Messages.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace whinyard::peer {

enum class MemberState : std::uint8_t {
    alive,
    suspect, // A probe was not answered; it still counts as a member until the suspicion times out.
    leaving, // It shuts down gracefully: answers calls, takes no new work.
    dead, // It didn't refute the suspicion in time, or has left.
};

// What is known of one instance.
struct Member {
    InstanceName name;
    Incarnation incarnation;
    ZoneName zone;
    net::Address address; // For UDP and TCP.
    MemberState state = MemberState::alive;
    std::uint64_t configurationRevision = 0; // The highest that it said it holds.

    bool operator==(const Member&) const = default;
};

// A picture of the membership at one moment.
struct MembershipView {
    std::uint64_t version = 0; // Rises with each change.
    Member self;
    std::vector<Member> members; // All that aren't dead, this instance included, in the order of names.
};

// Returns the member of this name that isn't dead, or null.
const Member* findMember(const MembershipView& view, const InstanceName& name);

// Returns the member that `partition` is sent to: the highest rendezvous hash among those that take new work
// (alive or suspect). Two instances with different views may name different ones. Source: Thaler, Ravishankar,
// "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998.
std::optional<Member> rendezvousOwner(const MembershipView& view, std::uint32_t partition);

// The members and the calls to them. Every function may be called from any thread; call() needs a
// fiber of a net::Duty, which it suspends.
class Peers {
public:
    virtual ~Peers() = default;

    // Returns the current picture; never null.
    virtual std::shared_ptr<const MembershipView> view() const = 0;

    // Returns the member that new work of `partition` is sent to; nothing when this instance leaves and knows no other.
    virtual std::optional<Member> ownerOf(std::uint32_t partition) const { return rendezvousOwner(*view(), partition); }

    // Makes a call and waits for its answer, at most for `timeout`. A refusal by the other instance is
    // returned as Refused. Failures: peerUnreachable (unknown member, no connection, or the ring of
    // this process is full), deadlineExceeded, corruptRecord (the answer can't be decoded). Failure::runState
    // is notRun while no byte of the request was handed to a connection, else unknown.
    virtual std::optional<Response> call(const InstanceName& instance, const Request& request, std::chrono::milliseconds timeout, Failure& failure) = 0;

    // Publishes this instance's value under a topic; it replaces the one before and spreads to all
    // members within a few heartbeats. At most largestGossipValue bytes; returns false for more.
    virtual bool publish(const std::string& topic, std::string value) = 0;

    // Returns the newest values that are known under a topic, this instance's own included.
    virtual std::vector<GossipEntry> published(const std::string& topic) const = 0;

    // Tells the others at once that this instance takes no new work. Can't be taken back.
    virtual void announceLeaving() = 0;
};

// Makes a call and returns its typed answer; a refusal becomes the failure.
template <typename TypedRequest>
std::optional<typename TypedRequest::Answer> ask(Peers& peers, const InstanceName& instance, const TypedRequest& request, std::chrono::milliseconds timeout, Failure& failure)
{
    std::optional<Response> response = peers.call(instance, Request(request), timeout, failure);
    if (!response)
        return std::nullopt;
    if (auto* answer = std::get_if<typename TypedRequest::Answer>(&*response))
        return std::move(*answer);
    if (const auto* refused = std::get_if<Refused>(&*response))
        failure = { refused->kind, refused->reason, refused->retryAfter, refused->runState };
    else
        failure = { ErrorKind::corruptRecord, instance.value + " sent an answer of another type", std::chrono::milliseconds(0), RunState::unknown };
    return std::nullopt;
}

// Handles the calls of other instances. Each function runs on a fiber of the peers duty and may suspend it;
// a handler that has to use another duty's state does so with net::callOn(). Without a value, the
// failure is sent back as Refused.
class PeerHandler {
public:
    virtual ~PeerHandler() = default;

    virtual std::optional<MirrorUsageAnswer> mirrorUsage(const Sender& sender, const MirrorUsage& request, Failure& failure) = 0;
    virtual std::optional<ReleaseMirrorAnswer> releaseMirror(const Sender& sender, const ReleaseMirror& request, Failure& failure) = 0;
    virtual std::optional<ForwardCallAnswer> forwardCall(const Sender& sender, const ForwardCall& request, Failure& failure) = 0;
    virtual std::optional<FlushUsageAnswer> flushUsage(const Sender& sender, const FlushUsage& request, Failure& failure) = 0;
    virtual std::optional<MirrorEventsAnswer> mirrorEvents(const Sender& sender, const MirrorEvents& request, Failure& failure) = 0;
    virtual std::optional<TraceQueryAnswer> traceQuery(const Sender& sender, const TraceQuery& request, Failure& failure) = 0;
};

}
