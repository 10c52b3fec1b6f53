// The datagrams of the membership protocol as aggregates.
//
// Membership makes and reads them, ConfigurationSpread fills the report in them, the codec turns
// them into bytes. All parts are bounded, so that a heartbeat fits into one datagram.
#pragma once

#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Identity.h"
#include "whinyard/net/Address.h"
#include "whinyard/peer/Messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::peer {

// The largest datagram: it passes every usual link without being split.
inline constexpr std::size_t largestDatagram = 1'200;

inline constexpr std::size_t largestName = 64; // Bytes of an instance's, zone's or topic's name.
inline constexpr std::size_t largestHost = 45; // Bytes of a numeric address.
inline constexpr std::size_t largestUpdateCount = 8; // Member updates beside the sender's own.
inline constexpr std::size_t largestEntryCount = 8; // Gossip entries.
inline constexpr std::size_t largestVoteCount = 64; // Votes of others in one heartbeat.

// That an instance heard nothing from the store and vouched for what it knows. The age counts up to the
// sending of the message that carries the vote.
struct Vote {
    std::uint32_t instance = 0; // The digest of its name, as voteDigest() returns it.
    std::uint8_t age = 0; // In units of ageUnit, rounded up.

    static constexpr std::chrono::milliseconds ageUnit { 25 };

    bool operator==(const Vote&) const = default;
};

// What a sender knows of the configuration and the store. All ages count up to the sending of the message.
struct ConfigurationReport {
    std::uint64_t held = 0; // The revision that the sender has.
    std::uint64_t known = 0; // The highest revision that it heard of.
    std::optional<std::chrono::milliseconds> proofAge; // Since the store was read with nothing above `held`.
    std::optional<std::chrono::milliseconds> reachedAge; // Since the sender's own last successful call to the store.
    bool storeFailed = false; // Whether the sender's own last call to the store failed.
    bool votes = false; // Whether the sender hears nothing from the store and may vouch for `known`.
    std::vector<Vote> others; // Some of the votes that it heard; empty while it has a proof.

    bool operator==(const ConfigurationReport&) const = default;
};

enum class HeartbeatKind : std::uint8_t {
    ping, // Asks for an ack with the same nonce.
    ack, // Answers a ping.
    probeRequest, // Asks the receiver to ping `subject` and to pass its ack on.
    probeAnswer, // Tells that `subject` answered the ping asked for under this nonce.
};

struct Heartbeat {
    HeartbeatKind kind = HeartbeatKind::ping;
    std::uint64_t nonce = 0;
    InstanceName subject; // Only for probeRequest and probeAnswer.
    net::Address subjectAddress; // Only for probeRequest.
    std::chrono::microseconds sentAt { 0 }; // On the sender's steady clock.
    HybridTime hybridTime;
    MemberUpdate self; // The sender's statement about itself.
    ConfigurationReport configuration;
    std::vector<MemberUpdate> updates;
    std::vector<GossipEntry> entries;

    bool operator==(const Heartbeat&) const = default;
};

}
