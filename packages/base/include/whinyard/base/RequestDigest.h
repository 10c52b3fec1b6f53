// Identifies a request by what it asks and for whom, so that it is known again when it comes under another id.
//
// The forwarding path makes one for each request; logs, notices and records hold it in place of path and body.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard {

// Half of a SHA-256: to find a second request with the digest of a given one takes 2^128 tries, and the customer is part of
// it, so nobody can have another customer's request taken for his own.
struct RequestDigest {
    std::array<std::uint8_t, 16> bytes {};

    auto operator<=>(const RequestDigest&) const = default;
};

// What makes two requests the same.
struct RequestContent {
    std::string_view customer; // Empty where callers show no key: these are told apart by nothing else.
    std::string_view method;
    std::string_view host;
    std::string_view target;
    std::string_view body;
};

RequestDigest digestOf(const RequestContent& content);

// Writes 32 hexadecimal digits.
std::string toText(const RequestDigest& digest);

// Reads what toText() wrote; returns nothing for any other text.
std::optional<RequestDigest> parseRequestDigest(std::string_view text);

}

template <>
struct std::hash<whinyard::RequestDigest> {
    std::size_t operator()(const whinyard::RequestDigest& digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes.data(), sizeof value);
        return value;
    }
};
