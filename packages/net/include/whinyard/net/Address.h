// The address of a TCP or UDP socket. Addresses come from settings and are numeric: names are
// never resolved.
#pragma once

#include "whinyard/base/Error.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::net {

struct Address {
    std::string host; // A numeric IPv4 or IPv6 address.
    std::uint16_t port = 0;

    auto operator<=>(const Address&) const = default;
};

// Reads "127.0.0.1:8080" or "[::1]:8080".
std::optional<Address> parseAddress(std::string_view text, Failure& failure);

// Writes what parseAddress() reads.
std::string toText(const Address& address);

}
