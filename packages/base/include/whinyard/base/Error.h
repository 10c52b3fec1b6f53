// The closed list of error kinds and the table from kind to answer.
//
// Every package reports errors with these types: a function that can fail returns std::optional and
// fills a Failure, its last reason, that the caller passes in. Only the table decides how a kind
// looks to a caller, so that one kind is answered alike everywhere.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard {

// The kinds of error that whinyard can meet. The list is closed: a new kind needs a row in the table.
enum class ErrorKind : std::uint8_t {
    malformedRequest, // The request can't be understood.
    bodyTooLarge, // The body or header is over its stated limit.
    requestTimeout, // The caller sent its request too slowly.
    unauthenticated, // No key, or a key that belongs to nobody.
    forbidden, // The caller or operator has no right to this.
    unknownRoute, // No such path or method.
    unknownModel, // No model, version or cascade has this name.
    unknownService, // No plain service has this name.
    versionNotAllowed, // The customer's configuration doesn't allow the version.
    versionWithdrawn, // The version takes no new work.
    keyRequired, // A non-idempotent call came without an idempotency key.
    keyReused, // An idempotency key came again with another request body.
    stillRunning, // The first call with this key has not finished.
    outcomeUnknown, // The call may or may not have run; it won't be run again.
    limitExceeded, // The customer's limit is spent.
    overloaded, // No capacity within the deadline.
    deadlineExceeded, // The deadline passed.
    noEndpoint, // No live endpoint serves this version or service.
    endpointFailed, // The endpoint failed and no attempt is left.
    queryOfDeath, // Endpoints that ran this request have ended; it is sent to no other one.
    answerCut, // The answer began and can't be completed.
    configurationStale, // This instance can't know what is permitted now.
    storeUnavailable, // The key-value service had no effect and gave no answer.
    storeUncertain, // The key-value service gave no answer; the write may have taken effect.
    swapConflict, // The record's revision was another one than expected.
    notFound, // No such record.
    corruptRecord, // A record or message can't be decoded.
    invalidConfiguration, // A document breaks a rule of validation.
    invalidSettings, // A settings file breaks its schema.
    peerUnreachable, // Another instance gave no answer.
    shuttingDown, // This instance takes no new work.
    cancelled, // The caller went away.
    internalError, // A fault of whinyard itself.
};

// The number of kinds; the table has exactly this many rows.
inline constexpr std::size_t errorKindCount = static_cast<std::size_t>(ErrorKind::internalError) + 1;

// How a kind is answered to a caller.
struct ErrorAnswer {
    ErrorKind kind;
    std::string_view name; // Stands in the answer's "kind" field.
    int httpStatus;
    bool retryable; // Whether the same request may succeed later.
};

// Returns the row of the table for `kind`.
const ErrorAnswer& answerFor(ErrorKind kind);

// Returns the kind whose row has this name, or nothing.
std::optional<ErrorKind> errorKindNamed(std::string_view name);

// What is known about the execution of a request at endpoints.
enum class RunState : std::uint8_t {
    notRun, // No byte of it can have reached an endpoint.
    unknown, // At least one byte was written and no complete answer came.
    ran, // An endpoint answered it completely.
};

// The last reason of a function that returned no value.
struct Failure {
    ErrorKind kind = ErrorKind::internalError;
    std::string reason; // One sentence for a person; never holds a key.
    std::chrono::milliseconds retryAfter { 0 }; // When to come back; zero says nothing about it.
    RunState runState = RunState::notRun;
};

// Renders the error body that every caller sees:
// {"error": {"kind", "message", "notRun", "retryAfterMs"}}.
std::string errorBody(const Failure& failure);

}
