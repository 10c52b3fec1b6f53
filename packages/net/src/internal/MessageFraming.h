// Whether the end of a message can be told from its head (RFC 9112, 6.1 and 6.3).
//
// What two parties delimit in different ways lets one of them read as a message what the other takes for a part of a body. So every
// server and client of this package checks each head that it has read.
#pragma once

#include <boost/beast/http/fields.hpp>

#include <cstdint>

namespace whinyard::net::internal {

enum class FramingFault : std::uint8_t {
    none,
    ambiguous, // Its end can't be told, or only in one of several ways.
    unknownCoding, // Something else than chunks is within the chunks.
};

// Returns what is wrong with the Transfer-Encoding of a request or an answer of HTTP `version` (11 is 1.1). Only chunks alone are
// understood.
FramingFault framingFault(const boost::beast::http::fields& fields, unsigned version);

}
