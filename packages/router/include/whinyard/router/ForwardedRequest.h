// A caller's request that is forwarded without being understood: its body is opaque, and what the router decides by
// stands in the fields of these types.
//
// A ForwardCodec makes it from a caller's HTTP request; Forwarder carries it through the path.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/endpoint/EndpointStatement.h"
#include "whinyard/net/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::router {

// A part of a prompt. Parts of one digest are the same text; engines keep them in memory.
struct PromptPart {
    std::uint64_t digest = 0;
    std::uint32_t tokens = 0;

    bool operator==(const PromptPart&) const = default;
};

struct ForwardedRequest {
    std::string id; // The caller's identity for this attempt of his.
    std::string host;
    std::string path; // Of the target, without its query.
    std::string key; // Empty if the caller showed none.
    std::optional<std::chrono::milliseconds> timeLeft; // That the caller waits.
    std::string session; // Empty for a request without one.
    ModelName model; // Empty for a request without one.
    bool leavesModelOpen = false; // The router is to choose among the route's models.
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0; // The most that may be generated.
    std::uint32_t expectedTokens = 0; // The caller's estimate; 0 without one.
    std::vector<PromptPart> promptParts; // In order; the last one belongs to this request or session.
    std::optional<std::uint64_t> resumeAfter; // The last event that the caller has.
    net::HttpRequest message; // What is passed on unchanged: method, target, fields and body.
};

// What one attempt adds to the request.
struct AttemptHead {
    EndpointName endpoint; // No other process may run it.
    CustomerName customer; // Empty where no key is asked for.
    ModelName model; // The router's choice; empty: the request's own stands.
    std::chrono::milliseconds timeLeft { 0 };
    std::uint8_t priority = 5; // At the endpoint, 0 first.
    std::optional<std::uint64_t> resumeAfter; // The last event that was delivered.
};

// What the head of an endpoint's answer says beside its status.
struct EndpointReply {
    std::string requestId; // Of the request that it answers.
    bool isSigned = false; // It bears the mark of an answer made by an endpoint.
    bool notRun = false; // The endpoint states that it didn't run the request.
    bool isEncoded = false; // The body was changed on its way.
    std::optional<std::uint32_t> confidence; // 0 to 100: the model's opinion of its answer.
    endpoint::EndpointStatement statement; // Of the endpoint, not of this request.
};

// Translates between HTTP as callers and endpoints speak it and the router's types. It decides nothing.
class ForwardCodec {
public:
    virtual ~ForwardCodec() = default;

    // Reads a caller's request; fails with malformedRequest.
    virtual std::optional<ForwardedRequest> decodeRequest(const net::HttpRequest& message, Failure& failure) const = 0;

    virtual net::HttpRequest encodeAttempt(const ForwardedRequest& request, const AttemptHead& head) const = 0;

    virtual EndpointReply decodeReply(const net::HttpResponse& head) const = 0;

    // Writes a refusal or failure of the router's own making. `requestId` is empty when it could not be read.
    virtual net::HttpResponse encodeFailure(const std::string& requestId, const Failure& failure) const = 0;
};

}
