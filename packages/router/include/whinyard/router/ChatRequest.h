// A caller's chat completion request, checked and bounded.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/QueryNews.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::router {

struct ChatRequest {
    std::string model; // A version, model or cascade, or "auto".
    bool stream = false;
    std::string prompt; // All messages as `<role>: <content>` lines, for prefixes, judgement and the size.
    nlohmann::json document; // The request as it came; fields that whinyard doesn't know are passed on.
};

// The bounds of a request.
inline constexpr std::size_t largestModelName = 128;
inline constexpr std::size_t mostMessages = 1'000;
inline constexpr std::int64_t mostTokens = 32'768;

// Reads a request. Fills `failure` with malformedRequest, naming the field and what is allowed.
std::optional<ChatRequest> parseChatRequest(std::string_view body, Failure& failure);

// Returns what the request shares with others: its messages but for the last, in order, for the model that it asks for.
std::vector<PartDigest> messageParts(const ChatRequest& request);

// Estimates the tokens of a prompt, for requests whose engine states no usage.
std::uint32_t estimatedTokens(const ChatRequest& request);

// Estimates the tokens of prompt and answer together, from what the request allows.
std::uint32_t expectedTokens(const ChatRequest& request);

// Writes the body for an engine: the same request for one version, with the customer's priority.
std::string engineBody(const ChatRequest& request, const VersionName& version, std::uint8_t priority);

// Returns the text of one chunk of a stream; empty if there is none.
std::string chunkText(std::string_view chunk);

// What an engine counted for one request.
struct TokenUsage {
    std::uint64_t prompt = 0;
    std::uint64_t completion = 0;
};

// Returns the usage that a chunk of a stream states, if it does.
std::optional<TokenUsage> chunkUsage(std::string_view chunk);

}
