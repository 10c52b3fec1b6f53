// An HTTP/1.1 client on a duty's thread: kept connections, whole and streamed answers, and an exact
// account of whether any byte of a request can have reached its server.
//
// The adapters to engines, plain services and the platform use it, and the command line.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpMessage.h"
#include "whinyard/net/RelayedEnd.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::net {

// Lets another fiber of the same duty end a call that waits for its answer.
class HttpCancellation {
public:
    // Closes the call's connection: the call fails with `cancelled`. A call that begins afterwards fails at once. While the
    // call connects, it ends when the connection stands or its time is over.
    void cancel()
    {
        m_cancelled = true;
        if (m_close)
            m_close();
    }

    bool cancelled() const { return m_cancelled; }

    // For the client: what closes the connection that the call uses now; empty when it uses none.
    void use(std::function<void()> close) { m_close = std::move(close); }

private:
    bool m_cancelled = false;
    std::function<void()> m_close;
};

// How one call is made.
struct HttpCallOptions {
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds timeout { 30'000 }; // For the whole call; for a stream, until its head.
    std::chrono::milliseconds pieceTimeout { 30'000 }; // For each further piece of a stream.
    bool freshConnection = false; // Never reuse a connection: for calls that may not be repeated.
    bool lastRequest = false; // Asks the server to close after its answer, and closes, whatever the server says.
    bool findsDeadPeer = false; // Ends the call some three seconds after its server or the way to it is gone, also while it waits.
    bool needsStatedEnd = false; // Fails where the answer has neither a length nor chunks: its close may be the end of a process.
    std::size_t bodyLimit = 16 * 1024 * 1024;
    HttpCancellation* cancellation = nullptr; // Must outlive the call, for a stream until its head.
    // Where set, the relay at this address makes the connection, within `connectTimeout` for the whole way; see ConnectRelay.h.
    // Such a connection is never reused.
    std::optional<Address> relay {};
    std::vector<HttpField> relayFields {}; // That the relay is told.
};

// How the connection for a call came about.
enum class ConnectOutcome : std::uint8_t {
    notTried, // A kept connection was used, or the call failed before.
    connected,
    refused, // The server's machine, or one on the way, answered that there is no connection.
    silent, // No answer in time.
    relayUnreachable, // No answer of the relay.
    relayDeclined, // The relay hasn't tried to connect to the server.
    lacksResources, // This process has no descriptor, port or memory for a connection, which says nothing about the server.
};

// What is known of a call. Failure::runState is filled from it: notRun while bytesWritten is zero.
struct HttpCallProgress {
    ConnectOutcome connect = ConnectOutcome::notTried;
    std::chrono::nanoseconds connectTime { 0 }; // Until that outcome.
    std::size_t bytesWritten = 0; // Bytes handed to a connected socket; zero proves that nothing arrived.
    bool responseStarted = false;
    bool answerOverLimit = false; // The answer's head or body was, and the call failed for it.
    bool endsWithConnection = false; // The answer has neither a length nor chunks; see HttpStream::endsWithConnection().
};

// An answer that arrives in pieces. Destruction closes the connection unless the end was read, or has arrived with
// no byte of the body before it: a reader that knows the last piece by its content may stop there.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    // The status and fields; the body is empty.
    virtual const HttpResponse& head() const = 0;

    // Returns the next piece; an empty piece is the proper end of the answer. Returns nothing, with
    // the reason, when the connection ended before that, the time ran out or cancel() was called.
    virtual std::optional<std::string> read(Failure& failure) = 0;

    // Returns whether the answer has neither a length nor chunks: its proper end is that of the connection, which a server that
    // ends amid the answer may bring about as well.
    virtual bool endsWithConnection() const { return false; }

    // Returns what the relay has stated of the end of the server's connection; nothing where it hasn't, or there is no relay. An answer
    // that ends with its connection has come to its proper end only where that is `serverClosed`.
    virtual std::optional<RelayedEnd> relayedEnd() const { return std::nullopt; }

    // Bounds the wait of each further read() in place of HttpCallOptions::pieceTimeout.
    virtual void usePieceTimeout(std::chrono::milliseconds timeout) { static_cast<void>(timeout); }

    // Closes the connection; a fiber that waits in read() returns. Callable from another fiber.
    virtual void cancel() = 0;
};

// What a client's connections are doing. Each takes a descriptor of the process.
struct HttpConnections {
    std::size_t inUse = 0; // By calls and by streams that haven't been destroyed.
    std::size_t kept = 0; // For calls to come.
};

// Reads the rest of an answer. Returns nothing, with the reason, when it broke off.
std::optional<std::string> readToEnd(HttpStream& stream, Failure& failure);

// Bounds what a client holds, over all addresses.
struct HttpClientLimits {
    // In use and kept. A call beyond it fails as one that lacks a descriptor does; kept ones give way to it.
    std::size_t connections = 20'000;
    // Kept for calls to come; beyond it the one that has been idle for longest is closed. One that its server closes is closed at once.
    std::size_t keptConnections = 512;
    // Shorter than the idle timeout of usual servers, so that the client closes first, also after a suspension.
    std::chrono::milliseconds keepTime { 30'000 };
};

// Makes calls. One client belongs to one duty; a call suspends the calling fiber.
class HttpClient {
public:
    static std::unique_ptr<HttpClient> create(Duty& duty, const HttpClientLimits& limits = {});

    virtual ~HttpClient() = default;

    // Makes a call and reads the whole answer, up to the close of its connection where it states no end. A failure's kind is peerUnreachable (no connection),
    // overloaded (this process lacks the resources for one), deadlineExceeded or endpointFailed (connection lost, or an answer that can't be taken).
    virtual std::optional<HttpResponse> call(const Address& address, const HttpRequest& request, const HttpCallOptions& options, HttpCallProgress& progress, Failure& failure) = 0;

    // Makes a call and returns when the head of the answer is there; null with the reason else.
    virtual std::unique_ptr<HttpStream> open(const Address& address, const HttpRequest& request, const HttpCallOptions& options, HttpCallProgress& progress, Failure& failure) = 0;

    // Returns how many connections stand or are being made now.
    virtual HttpConnections connections() const { return {}; }
};

}
