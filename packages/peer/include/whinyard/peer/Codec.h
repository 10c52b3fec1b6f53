// Turns the messages between instances into authenticated bytes and back: cereal's portable binary
// inside an envelope with protocol version, sender, key number, sequence, time and a keyed digest.
//
// PeerService is its only user in production. A message that can't be trusted is counted in
// Metrics as whinyard_peer_dropped_total{reason="..."} and dropped; nothing throws, and no
// length in a message is believed before it was compared with the bytes that are there.
//
// Versions: a build understands its own protocol version and the one before, and sends the older of the two
// until a release later, so that a fleet can be upgraded one instance at a time. Messages of other
// versions are dropped. A change of any message's layout, and a new alternative of Request, is a new version.
//
// Replays: a receiver keeps a window of sequences for each sender's current incarnation (the method of RFC 4303,
// section 3.4.3). The first message of an incarnation that it doesn't know must be younger than
// `maximumAge` on the wall clock, which bounds what a recording is worth to a receiver that has just started.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/peer/Heartbeat.h"
#include "whinyard/peer/Messages.h"
#include "whinyard/settings/DaemonSettings.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::peer {

// The version that this build sends and the oldest that it understands.
inline constexpr std::uint16_t protocolVersion = 1;
inline constexpr std::uint16_t oldestProtocolVersion = 1;

// The largest frame of a call or its answer.
inline constexpr std::size_t largestFrame = 4 * 1024 * 1024;

// How far the wall clock of an unknown sender may be from this one, either way.
inline constexpr std::chrono::seconds maximumAge { 60 };

// Why a message was dropped. The text form, for the metric, is the enumerator's name.
enum class DropReason : std::uint8_t {
    oversize, // Over its bound.
    truncated, // Too short for an envelope, or its content ends early or late.
    foreignVersion, // A protocol version that this build doesn't understand.
    unknownKey, // Signed with a key number that this instance doesn't have.
    forged, // The digest is wrong.
    misdirected, // Made for another instance or another use.
    replayed, // Received before, too old to tell, or of an earlier incarnation.
    tooOld, // The first message of an unknown sender, not of this minute.
    malformed, // Authentic, but a value is out of its range.
};

std::string_view toText(DropReason reason);

// One secret with its number.
struct PeerKey {
    std::uint32_t number = 0;
    std::string secret;
};

// Loads the secrets in their order: the first signs, all verify. At least one is required, and
// numbers must differ.
std::optional<std::vector<PeerKey>> loadPeerKeys(const std::vector<settings::KeySource>& sources, Failure& failure);

// An opened datagram.
struct OpenedHeartbeat {
    Sender sender;
    Heartbeat heartbeat;
};

// An opened call. The answer is sealed with `call`, which binds it to this request.
struct OpenedRequest {
    Sender sender;
    std::uint64_t call = 0;
    Request request;
};

// A sealed call, ready to be sent.
struct SealedRequest {
    std::uint64_t call = 0;
    std::string bytes;
};

struct OpenedResponse {
    Sender sender;
    Response response;
};

// Seals and opens messages for one instance. Belongs to one thread.
class Codec {
public:
    // `clock` and `metrics` must outlive it; `keys` must not be empty.
    Codec(Sender self, std::vector<PeerKey> keys, const Clock& clock, Metrics& metrics);
    ~Codec();
    Codec(const Codec&) = delete;
    Codec& operator=(const Codec&) = delete;

    // Seals a heartbeat for one receiver; nothing when it doesn't fit into a datagram.
    std::optional<std::string> seal(const InstanceName& recipient, const Heartbeat& heartbeat);

    // Opens a datagram; nothing when it was dropped.
    std::optional<OpenedHeartbeat> openHeartbeat(std::string_view bytes);

    // Seals a call; nothing when it doesn't fit into a frame.
    std::optional<SealedRequest> seal(const InstanceName& recipient, const Request& request);

    // Seals the answer to an opened call; nothing when it doesn't fit into a frame.
    std::optional<std::string> sealAnswer(const InstanceName& recipient, std::uint64_t call, const Response& response);

    std::optional<OpenedRequest> openRequest(std::string_view bytes);

    // Opens the answer to the call that seal() numbered `call`, from `expected`.
    std::optional<OpenedResponse> openAnswer(std::string_view bytes, const InstanceName& expected, std::uint64_t call);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
