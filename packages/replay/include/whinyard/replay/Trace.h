// A recorded or generated trace: the deployment, the requests with what each version would have answered, and the
// failures with their instants. docs/REPLAY.md describes the format, JSON lines.
//
// The generator writes traces, the simulator runs them.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/config/Document.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::replay {

using TraceTime = std::chrono::milliseconds; // Since the start of the trace.

// A model engine: continuous batching by steps, and a bounded cache of prompt prefixes.
struct TraceEngine {
    EndpointName name;
    ZoneName zone;
    std::vector<VersionName> versions;
    std::uint32_t slots = 8; // Requests that run at once.
    std::chrono::microseconds step { 15'000 }; // One token for each running request.
    std::uint32_t prefillPerStep = 512; // Prompt tokens that a step takes in besides.
    std::uint32_t cacheTokens = 20'000; // Prompt tokens that the prefix cache holds.
};

// How long things take and how often they fail, apart from the failures with an instant.
struct TraceTimes {
    std::chrono::milliseconds hop { 1 }; // One way between an instance and an engine.
    std::chrono::milliseconds reportInterval { 500 };
    std::chrono::milliseconds reportLag { 200 };
    std::chrono::milliseconds gossipInterval { 500 };
    std::chrono::milliseconds gossipLag { 50 };
    std::chrono::milliseconds listLag { 3'000 }; // Until the list of live endpoints shows a loss.
    std::chrono::milliseconds failureDetection { 200 }; // Until an attempt at a lost engine fails.
    std::chrono::milliseconds ratingLag { 8'000 }; // Mean, exponential.
    double ratedShare = 0.6; // Of answers that are ever rated.
    std::chrono::milliseconds judgeTime { 150 }; // Of a rating that a cascade waits for.
    double judgedShare = 0.97; // Of such ratings that come in time.
    double ratingNoise = 0.03; // Uniform error of a rating, plus or minus.
};

// One request. Indices count from 0 in the order of the header's lists.
struct TraceRequest {
    TraceTime at { 0 };
    std::uint32_t customer = 0;
    std::uint32_t session = 0;
    std::uint32_t application = 0;
    std::uint32_t promptTokens = 0;
    std::uint32_t prefixTokens = 0; // Of the prompt: what a cache of the session's earlier requests spares.
    std::uint32_t completionTokens = 1;
    std::vector<float> quality; // By version, 0 to 1: what a rating without error would say.
    float luck = 0; // 0 to 1: the answer of a version that turned bad is bad where this is below its bad share.
};

enum class FailureKind : std::uint8_t {
    zoneLost, // All engines and instances of `subject`, an availability zone.
    versionTurnsBad, // `subject`, a version, with `amount` as the share of bad answers.
    storeDown,
    storeUp,
    ratingsDown, // Late ratings and judgements alike.
    ratingsUp,
};

struct TraceFailure {
    TraceTime at { 0 };
    FailureKind kind = FailureKind::storeDown;
    std::string subject;
    double amount = 0;
};

struct Trace {
    std::string name;
    std::uint64_t seed = 0;
    std::vector<ZoneName> zones;
    std::uint32_t instances = 0; // Spread over the zones in turn.
    std::vector<std::string> applications;
    std::vector<std::chrono::milliseconds> firstTokenWithin; // By application: what its callers wait for a first token.
    CascadeName cascade; // What every request asks for; its last step is the strong version, its first the cheap one.
    config::Document document; // Versions, customers, the cascade and roll-outs.
    std::vector<TraceEngine> engines;
    TraceTimes times;
    std::vector<TraceFailure> failures; // By time.
    std::vector<TraceRequest> requests; // By time.

    std::size_t versionIndex(const VersionName& version) const; // The number of versions if there is none of this name.
};

// The quality of a version's answer that counts as bad when the version has turned bad.
inline constexpr float badQuality = 0.1F;

// An answer whose quality is below it is a bad one.
inline constexpr float badMark = 0.5F;

// Reads a trace. The reason of a failure, malformedRequest, names the line.
std::optional<Trace> parseTrace(std::string_view text, Failure& failure);

// Writes what parseTrace() reads.
std::string toText(const Trace& trace);

}
