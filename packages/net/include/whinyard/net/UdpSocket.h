// A UDP socket on a duty's thread. The heartbeats between instances use it.
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

// The size of the largest datagram that is sent or received. One of at most 1,400 bytes is never
// split on an ordinary Ethernet, so that a single lost packet costs a single datagram.
inline constexpr std::size_t maximumDatagramBytes = 8 * 1024;

struct Datagram {
    Address from;
    std::string bytes;
};

// Sends and receives datagrams. All functions are called on the duty's thread. It may be destroyed
// once no fiber waits in receive().
class UdpSocket {
public:
    // Binds the socket; port 0 takes a free one. On failure returns null with the reason, for
    // example a port in use.
    static std::unique_ptr<UdpSocket> bind(Duty& duty, const Address& address, Failure& failure);

    virtual ~UdpSocket() = default;

    // Returns the bound address.
    virtual Address address() const = 0;

    // Sends a datagram without waiting. Returns false with the reason when it is too large
    // (bodyTooLarge) or can't be sent now (peerUnreachable). True doesn't say that it arrives.
    virtual bool send(const Address& to, std::string_view bytes, Failure& failure) = 0;

    // Suspends the calling fiber until a datagram is there. Returns nothing with the reason after
    // `timeout` (deadlineExceeded) or close() (cancelled). Longer datagrams are dropped unread.
    // Only one fiber may wait at a time.
    virtual std::optional<Datagram> receive(std::chrono::nanoseconds timeout, Failure& failure) = 0;

    // Closes the socket; a fiber that waits in receive() returns.
    virtual void close() = 0;
};

}
