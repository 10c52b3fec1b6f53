// The engines' protocol as an interface, with its implementation over HTTP: whole answers, streams,
// resume, cancel and load reports. The protocol stands in docs/DESIGN.md, section 5.
//
// The router calls it on the serve duty; tests put a hand-written fake in its place.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/endpoint/Attempt.h"
#include "whinyard/net/HttpClient.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::endpoint {

// One attempt of a chat completion.
struct EngineCall {
    AttemptId attempt;
    net::Address engine;
    std::string body; // The engine's request; its `model` is the version and its `stream` fits the function.
    std::chrono::milliseconds timeout { 30'000 }; // For a whole answer, or for the first piece.
    std::chrono::milliseconds pieceTimeout { 10'000 }; // For each further piece of a stream.
    net::HttpCancellation* cancellation = nullptr; // Ends a whole answer, or the wait for a stream's begin.
};

// The whole answer of an engine.
struct EngineAnswer {
    std::string body; // The chat completion as JSON.
    std::string text; // The content of its first choice.
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

// The next piece of a stream. The end mark has no data.
struct StreamPiece {
    std::uint64_t offset = 0;
    std::string data; // A chunk of the chat completion as JSON.
    bool end = false;
};

// Is told the reason for which a late, crossed or duplicated piece was dropped.
using DropObserver = std::function<void(const std::string& reason)>;

// A stream of one attempt. Destruction closes the connection.
class EngineStream {
public:
    virtual ~EngineStream() = default;

    // Waits for the next piece in order. Returns nothing, with endpointFailed or deadlineExceeded,
    // when the connection broke or a piece is missing: the stream can then only be resumed.
    virtual std::optional<StreamPiece> next(Failure& failure) = 0;

    // Closes the connection; a fiber that waits in next() returns.
    virtual void cancel() = 0;
};

// What an engine says of its load, some time ago.
struct LoadReport {
    std::uint32_t queued = 0;
    std::uint32_t running = 0;
    std::uint32_t slots = 1;
    std::chrono::microseconds step { 0 };
    std::vector<std::uint64_t> prefixes; // Digests of the prompt prefixes it caches.
    std::chrono::milliseconds asOf { 0 }; // The engine's wall clock when the report was true.

    bool operator==(const LoadReport&) const = default;
};

// Calls engines. Every function suspends the calling fiber. Failures of attempts carry
// deadlineExceeded, endpointFailed, overloaded or noEndpoint (it is leaving).
class EngineClient {
public:
    virtual ~EngineClient() = default;

    // Asks for a whole answer. `account` is filled in every case.
    virtual std::optional<EngineAnswer> complete(const EngineCall& call, AttemptAccount& account, Failure& failure) = 0;

    // Opens a stream; returns null with the reason when the engine didn't begin to answer.
    virtual std::unique_ptr<EngineStream> open(const EngineCall& call, const DropObserver& dropped, AttemptAccount& account, Failure& failure) = 0;

    // Opens the stream of a running or finished attempt again, at piece `from`. The body is not used.
    virtual std::unique_ptr<EngineStream> resume(const EngineCall& call, std::uint64_t from, const DropObserver& dropped, Failure& failure) = 0;

    // Tells the engine to drop an attempt. Returns whether it confirmed that.
    virtual bool cancel(const net::Address& engine, const AttemptId& attempt, Failure& failure) = 0;

    // Asks for a load report.
    virtual std::optional<LoadReport> load(const net::Address& engine, Failure& failure) = 0;
};

// Makes the implementation over HTTP; `client` must outlive it.
std::unique_ptr<EngineClient> makeHttpEngineClient(net::HttpClient& client);

}
