// What instances tell each other of requests that end the endpoints that run them.
//
// Policy finds such requests and makes the news, notices carry it, and the store keeps the verdicts.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/base/RequestDigest.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace whinyard {

// One process of an endpoint. A restart under the same name is another one.
struct EndpointLife {
    std::uint64_t digest = 0;

    auto operator<=>(const EndpointLife&) const = default;
};

// `incarnation` is zero where the endpoint doesn't say.
inline EndpointLife lifeOf(const EndpointName& endpoint, std::uint64_t incarnation)
{
    return { stableHash(endpoint.value, incarnation) };
}

// What a request may end endpoints by: itself as a whole, or a part of its prompt that others hold as well.
struct QueryTraits {
    RequestDigest request;
    std::vector<PartDigest> parts; // In the prompt's order, without the last one, which is the request's own.
};

// Parts of a prompt beyond these aren't told from one another.
inline constexpr std::size_t mostParts = 12;

// How far a request was when its endpoint ended.
enum class LossStage : std::uint8_t {
    waiting, // Nothing of an answer had come: it may not have run yet.
    begun, // Its answer had begun a moment before.
};

// A request that was lost with a process.
struct RequestLoss {
    RequestDigest request;
    EndpointLife life;
    LossStage stage = LossStage::waiting;
    std::vector<PartDigest> parts {}; // See QueryTraits.
    std::chrono::milliseconds sentAgo { 0 }; // Since it was sent to the endpoint.

    bool operator==(const RequestLoss&) const = default;
};

// An endpoint has answered a request with the part, and did not end by it.
struct SoundPart {
    PartDigest part;
    std::chrono::milliseconds begunAgo { 0 }; // Since the answer began.

    bool operator==(const SoundPart&) const = default;
};

// That a request is refused, or all with a part, and why.
struct QueryVerdict {
    RequestDigest request; // Or a part: see traitOf().
    ServiceName service; // Empty where the teller has not sent it.
    std::vector<EndpointLife> lives; // That it was lost with.
    std::chrono::milliseconds left { 0 }; // How much longer it holds.
    std::chrono::milliseconds sinceAgo { 0 }; // Since the first of the losses. Of a part, what was answered since speaks against it.

    bool operator==(const QueryVerdict&) const = default;
};

// The most entries of one QueryNews, and lives of a verdict, so that it fits into a datagram.
inline constexpr std::size_t mostLosses = 20;
inline constexpr std::size_t mostLostParts = 30; // Of all its losses together, but for those of the first.
inline constexpr std::size_t mostCompleted = 12;
inline constexpr std::size_t mostSoundParts = 12;
inline constexpr std::size_t mostVerdicts = 4;
inline constexpr std::size_t mostLives = 8;

struct QueryNews {
    std::vector<RequestLoss> losses;
    std::vector<RequestDigest> completed; // That others suspect.
    std::vector<QueryVerdict> verdicts;
    std::vector<SoundPart> soundParts {}; // That others suspect.

    bool empty() const { return losses.empty() && completed.empty() && verdicts.empty() && soundParts.empty(); }
    bool operator==(const QueryNews&) const = default;
};

}
