// An HTTP/1.1 server on a duty's thread: a fiber a connection, bounded bodies, bounded waiting.
//
// The caller-facing service, the administration API, the stand-ins and the tests use it.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace whinyard::net {

// Bounds that keep one peer from holding the server's memory or time.
struct HttpServerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds receiveTimeout { 10'000 }; // For one whole request, from its first byte.
    std::chrono::milliseconds idleTimeout { 75'000 }; // Between requests of a kept connection.
    std::chrono::milliseconds sendTimeout { 30'000 }; // For one write that the peer doesn't take.
    std::size_t connections = 20'000; // Beyond it the one that has been idle for longest gives way to a new one, which is closed at once where none is idle.
};

// Sends the answer to one request. Every function returns false once the peer is gone; what is
// sent afterwards goes nowhere.
class HttpResponder {
public:
    virtual ~HttpResponder() = default;

    // Sends a whole response.
    virtual bool send(const HttpResponse& response) = 0;

    // Starts a response of unknown length; the response's body is ignored.
    virtual bool begin(const HttpResponse& head) = 0;

    // Sends a piece of a started response at once.
    virtual bool write(std::string_view piece) = 0;

    // Ends a started response; without it the peer sees a cut answer.
    virtual bool end() = 0;

    // Closes the connection without the end of a started response, so that the peer sees the cut.
    virtual void abort() = 0;

    // Returns whether the peer has closed its connection, also while the handler waits.
    virtual bool peerGone() const = 0;

    // Calls `observer` once, on the duty's thread and from outside the handler's fiber, when the peer closes its
    // connection before the answer has ended. Costs nothing while nothing happens, unlike repeated calls of
    // peerGone(). An implementation that can't tell never calls it.
    virtual void whenPeerGone(std::function<void()> observer) { static_cast<void>(observer); }
};

// Handles one request on a fiber of the server's duty. A handler that sends nothing is answered
// with 500.
using HttpHandler = std::function<void(const HttpRequest&, HttpResponder&)>;

// Tells how long no other connection is to be taken after the one that was; zero if the next may come at once.
using AdmissionPause = std::function<std::chrono::nanoseconds()>;

// Accepts connections until it is closed. All functions are called on the duty's thread.
class HttpServer {
public:
    // Opens the listening socket; port 0 takes a free one. On failure returns null with the reason,
    // for example a port in use.
    static std::unique_ptr<HttpServer> open(Duty& duty, const Address& address, const HttpServerLimits& limits, HttpHandler handler, Failure& failure);

    virtual ~HttpServer() = default;

    // Returns the bound address.
    virtual Address address() const = 0;

    // Returns how many requests are being handled now.
    virtual std::size_t active() const = 0;

    // Returns how many accepted connections stand now.
    virtual std::size_t connections() const = 0;

    // Takes other limits. They hold from the next request of each connection on; `connections` stays as it was.
    virtual void useLimits(const HttpServerLimits& limits) = 0;

    // Has `pause` called for each connection that is taken. The server doesn't listen for as long as it returns: callers that come
    // meanwhile are refused before they send anything.
    virtual void useAdmission(AdmissionPause pause) = 0;

    // Asks every connection to close after its next answer. New connections are still accepted.
    virtual void announceClose() = 0;

    // Stops accepting, and asks every kept connection to close after its current answer. Idle ones stay open for a moment, for
    // requests that are on their way.
    virtual void drain() = 0;

    // Returns whether it drains and no connection is left. Until then a request may still come, also while none is handled.
    virtual bool isDrained() const = 0;

    // Closes everything at once.
    virtual void close() = 0;
};

}
