// What has ended a connection that a relay made: its two sides tell each other, and log it.
#pragma once

#include <cstdint>
#include <string_view>

namespace whinyard::net {

enum class RelayedEnd : std::uint8_t {
    serverClosed, // The server, by a proper close.
    serverLost, // The server's connection, in any other way.
    clientLeft,
    expired, // ConnectRelayLimits::lifetime.
};

// Returns the name for logs and metrics.
std::string_view text(RelayedEnd end);

}
