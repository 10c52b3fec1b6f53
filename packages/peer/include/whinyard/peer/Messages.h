// The typed messages between instances: the requests of TCP calls, their answers, and the entries
// of the gossip table.
//
// The router, the ledger, the trace query and the daemon build requests and handle them; the codec of this
// package is the only code that turns them into bytes.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Event.h"
#include "whinyard/base/Identity.h"
#include "whinyard/net/Address.h"
#include "whinyard/timeline/EventBatch.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace whinyard::peer {

// One life of an instance, as the digest of a message proves it.
struct Sender {
    InstanceName instance;
    Incarnation incarnation;

    auto operator<=>(const Sender&) const = default;
};

// A whole configuration with the proof of its freshness.
struct FetchConfigurationAnswer {
    Incarnation incarnation; // Of the answerer.
    std::uint64_t revision = 0; // Zero: the answerer holds none.
    std::string record; // As config::toRecord() wrote it.
    std::optional<std::chrono::milliseconds> proofAge; // Since the store was read at this revision.

    bool operator==(const FetchConfigurationAnswer&) const = default;
};

// Asks for the configuration that the other instance holds. The record is left out when its
// revision isn't higher than `known`. PeerService answers it.
struct FetchConfiguration {
    using Answer = FetchConfigurationAnswer;
    std::uint64_t known = 0;

    bool operator==(const FetchConfiguration&) const = default;
};

struct MirrorUsageAnswer {
    bool taken = false; // Whether every line is held now.

    bool operator==(const MirrorUsageAnswer&) const = default;
};

// Bill lines as ledger::packLines() packed them.
struct MirroredLine {
    std::uint64_t sequence = 0; // Of the first, within the sender's incarnation.
    std::string line;

    bool operator==(const MirroredLine&) const = default;
};

// Asks the other instance to hold bill lines until they are released. Holding a line twice is the same
// as holding it once.
struct MirrorUsage {
    using Answer = MirrorUsageAnswer;
    std::vector<MirroredLine> lines;

    bool operator==(const MirrorUsage&) const = default;
};

struct ReleaseMirrorAnswer {
    std::uint64_t released = 0; // How many lines were dropped.

    bool operator==(const ReleaseMirrorAnswer&) const = default;
};

// Tells the other instance that lines of the sender's incarnation are durable and need not be held.
struct ReleaseMirror {
    using Answer = ReleaseMirrorAnswer;
    std::uint64_t throughSequence = 0; // Every line up to and including this one.
    std::vector<std::uint64_t> sequences; // Single lines beyond it.

    bool operator==(const ReleaseMirror&) const = default;
};

// A header field that travels with a forwarded call.
struct ForwardedField {
    std::string name;
    std::string value;

    bool operator==(const ForwardedField&) const = default;
};

// The whole HTTP answer of a forwarded call. A refusal comes as Refused instead.
struct ForwardCallAnswer {
    int status = 0;
    std::vector<ForwardedField> fields;
    std::string body;

    bool operator==(const ForwardCallAnswer&) const = default;
};

// Hands a keyed call of a plain service to the instance that its partition is sent to.
struct ForwardCall {
    using Answer = ForwardCallAnswer;
    RequestId request;
    CustomerName customer;
    ServiceName service;
    std::string method;
    std::string path;
    std::vector<ForwardedField> fields;
    std::string body;
    std::string idempotencyKey;
    std::chrono::milliseconds timeLeft { 0 }; // Until the caller's deadline, at the time of sending.
    std::uint64_t configurationRevision = 0; // Held by the forwarder; the other must not decide on an older one.

    bool operator==(const ForwardCall&) const = default;
};

struct TraceQueryAnswer {
    std::vector<Event> events;
    std::uint64_t dropped = 0; // Events that the answerer's ring has lost altogether.
    bool truncated = false; // More events matched than the limit allows.

    bool operator==(const TraceQueryAnswer&) const = default;
};

// Asks for the events of requests. The fields that aren't empty must all match; with none set, nothing matches.
struct TraceQuery {
    using Answer = TraceQueryAnswer;
    RequestId request;
    std::string keyDigest; // Hexadecimal digest of customer, service and idempotency key.
    SessionName session;
    std::uint32_t limit = 10'000;

    bool operator==(const TraceQuery&) const = default;
};

// The largest value of one gossip entry; it must fit beside a heartbeat in one datagram.
inline constexpr std::size_t largestGossipValue = 256;

// The latest value that one instance published under one topic. A higher incarnation beats a lower
// one; within an incarnation the higher version does.
struct GossipEntry {
    InstanceName origin;
    Incarnation incarnation;
    std::string topic;
    std::uint64_t version = 0;
    std::string value;

    bool operator==(const GossipEntry&) const = default;
};

// What the members agree to say of one of them.
enum class Liveness : std::uint8_t {
    alive,
    suspect,
    dead,
};

// A statement about one member. Of two statements the one with the higher incarnation holds, then
// with the higher refutation, then with the worse liveness; `leaving` is never taken back within an incarnation.
struct MemberUpdate {
    InstanceName name;
    Incarnation incarnation;
    std::uint32_t refutation = 0; // Only the member itself raises it, to contradict a suspicion.
    Liveness liveness = Liveness::alive;
    bool leaving = false;
    ZoneName zone;
    net::Address address;
    std::uint64_t configurationRevision = 0; // The highest that the member was heard to hold.

    bool operator==(const MemberUpdate&) const = default;
};

// What an instance holds of one entry.
struct GossipDigest {
    InstanceName origin;
    Incarnation incarnation;
    std::string topic;
    std::uint64_t version = 0;

    bool operator==(const GossipDigest&) const = default;
};

struct GossipSyncAnswer {
    std::vector<GossipEntry> entries;
    bool more = false; // Entries were left out to keep the answer within its bound; ask again.

    bool operator==(const GossipSyncAnswer&) const = default;
};

// Asks for the gossip entries that are newer than those held: repairs what lost datagrams left out.
struct GossipSync {
    using Answer = GossipSyncAnswer;
    std::vector<GossipDigest> held;

    bool operator==(const GossipSync&) const = default;
};

struct MirrorEventsAnswer {
    bool taken = false;

    bool operator==(const MirrorEventsAnswer&) const = default;
};

// Asks the other instance to hold events of the sender, so that they outlive it. Holding a batch
// twice is the same as holding it once.
struct MirrorEvents {
    using Answer = MirrorEventsAnswer;
    timeline::EventBatch batch;

    bool operator==(const MirrorEvents&) const = default;
};

struct FlushUsageAnswer {
    bool durable = false; // Whether every bill line of the other instance is in the key-value service now.

    bool operator==(const FlushUsageAnswer&) const = default;
};

// Asks the other instance to write its bill lines now, so that a bill is complete at the time of the question.
struct FlushUsage {
    using Answer = FlushUsageAnswer;
    std::chrono::milliseconds bound { 1'000 }; // How long the other may take.

    bool operator==(const FlushUsage&) const = default;
};

struct MemberSyncAnswer {
    std::vector<MemberUpdate> members; // Dead ones that are remembered included.

    bool operator==(const MemberSyncAnswer&) const = default;
};

// Asks for all that the other instance knows of members: a newcomer's short cut.
struct MemberSync {
    using Answer = MemberSyncAnswer;

    bool operator==(const MemberSync&) const = default;
};

// The answer to a call that the other instance refused or failed at.
struct Refused {
    ErrorKind kind = ErrorKind::internalError;
    std::string reason;
    std::chrono::milliseconds retryAfter { 0 };
    RunState runState = RunState::notRun; // Whether the call can have reached an endpoint.

    bool operator==(const Refused&) const = default;
};

// The closed list of calls. The order of alternatives is part of the protocol: new ones go to the end.
using Request = std::variant<FetchConfiguration, MirrorUsage, ReleaseMirror, ForwardCall, TraceQuery, GossipSync, MirrorEvents, FlushUsage, MemberSync>;

// The answers in the order of their requests, after the refusal.
using Response = std::variant<Refused, FetchConfigurationAnswer, MirrorUsageAnswer, ReleaseMirrorAnswer, ForwardCallAnswer, TraceQueryAnswer, GossipSyncAnswer, MirrorEventsAnswer, FlushUsageAnswer, MemberSyncAnswer>;

}
