// Identifies a request by what it asks and for whom, so that it is known again when it comes under another id, and the parts of
// prompts that requests share.
//
// The forwarding path makes them for each request; logs, notices and records hold them in place of path, body and prompt.
#pragma once

#include "whinyard/base/Identity.h"

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

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

// A part of prompts for one service, known again in any request that holds it.
struct PartDigest {
    std::uint64_t value = 0;

    auto operator<=>(const PartDigest&) const = default;
};

// `part` is the part's name at the service's endpoints.
PartDigest digestOfPart(const ServiceName& service, std::uint64_t part);

// Return a part's digest as one among those of requests, and back. Its second half is a mark, which a request's is once in 2^64.
RequestDigest traitOf(PartDigest part);
std::optional<PartDigest> partOf(const RequestDigest& trait);

// Writes 32 hexadecimal digits.
std::string toText(const RequestDigest& digest);

// Writes the digests of several parts, with commas between.
std::string toText(const std::vector<PartDigest>& parts);

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

template <>
struct std::hash<whinyard::PartDigest> {
    std::size_t operator()(whinyard::PartDigest digest) const noexcept { return digest.value; }
};
