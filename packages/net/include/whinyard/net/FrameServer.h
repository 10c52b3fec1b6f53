// Answers calls that arrive over TCP in frames, as FrameClient.h defines them.
//
// The peer package receives the calls of other instances with it.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/FrameClient.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::net {

// Bounds that keep one peer from holding the server's memory or time.
struct FrameServerLimits {
    std::size_t frameBytes = defaultFrameBytes; // Bounds the request and the answer.
    std::chrono::milliseconds receiveTimeout { 5'000 }; // For one whole request, from its first byte.
    std::chrono::milliseconds idleTimeout { 75'000 }; // Between requests of a kept connection.
    std::chrono::milliseconds sendTimeout { 5'000 }; // For one answer that the peer doesn't take.
    std::size_t connections = 4'096;
};

// Answers one request on a fiber of the server's duty. Without an answer the connection is closed.
using FrameHandler = std::function<std::optional<std::string>(std::string_view request)>;

// Accepts connections until it is closed. All functions are called on the duty's thread.
class FrameServer {
public:
    // Opens the listening socket; port 0 takes a free one. On failure returns null with the reason,
    // for example a port in use.
    static std::unique_ptr<FrameServer> open(Duty& duty, const Address& address, const FrameServerLimits& limits, FrameHandler handler, Failure& failure);

    virtual ~FrameServer() = default;

    // Returns the bound address.
    virtual Address address() const = 0;

    // Returns how many requests are being handled now.
    virtual std::size_t active() const = 0;

    // Returns how many accepted connections stand now.
    virtual std::size_t connections() const = 0;

    // Stops accepting, and closes every kept connection after its current answer.
    virtual void drain() = 0;

    // Returns whether it drains and no connection is left.
    virtual bool isDrained() const = 0;

    // Closes everything at once.
    virtual void close() = 0;
};

}
