// Calls over TCP in frames: a four-byte length in network order, then that many bytes. One answer
// frame follows each request frame of a connection.
//
// The peer package carries the calls between instances with it; FrameServer.h is the other side.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::net {

// The default bound of a frame, without its length field.
inline constexpr std::size_t defaultFrameBytes = 8 * 1024 * 1024;

// How one call is made.
struct FrameCallOptions {
    std::chrono::milliseconds connectTimeout { 500 };
    std::chrono::milliseconds timeout { 5'000 }; // For the whole call, connecting included.
    bool freshConnection = false; // Use a connection of its own, which is closed after the answer: for calls that may not be repeated.
    std::size_t frameBytes = defaultFrameBytes; // Bounds the request and the answer.
};

// What is known of a call. Failure::runState is filled from it: notRun while bytesWritten is zero.
struct FrameCallProgress {
    std::size_t bytesWritten = 0; // Bytes handed to a connected socket; zero proves that nothing arrived.
};

// Makes calls over kept connections. One client belongs to one duty; a call suspends the calling
// fiber, and calls of several fibers to one address run side by side on connections of their own.
class FrameClient {
public:
    static std::unique_ptr<FrameClient> create(Duty& duty);

    virtual ~FrameClient() = default;

    // Sends `request` and returns the answer. A failure's kind is peerUnreachable (no connection, or it
    // was lost), deadlineExceeded or bodyTooLarge.
    virtual std::optional<std::string> call(const Address& address, std::string_view request, const FrameCallOptions& options, FrameCallProgress& progress, Failure& failure) = 0;
};

}
