// The frames in which a relay passes the bytes of a server on to its client, so that their end is stated.
//
// A close doesn't tell who closed: when a relaying process is killed, its connections end like those of a server that has sent all of
// its answer. A frame is a type, the length of its value, and the value, like a capsule (RFC 9297, 3.2); both numbers are integers of
// variable length (RFC 9000, 16). Frames of an unknown type are skipped. The two sides agree on frames by a field of the request to
// connect, which a relay that uses them repeats in its answer.
#pragma once

#include "internal/ReadFilter.h"
#include "whinyard/net/RelayedEnd.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::net::internal {

inline constexpr std::string_view relayFramingField = "Relay-Framing";
inline constexpr std::string_view relayFramingValue = "capsules";

// Returns what goes before `size` bytes of the server.
std::string dataFrameHead(std::size_t size);

// Returns the last frame. `end` is none of clientLeft, of which nobody is left to be told.
std::string endFrame(RelayedEnd end);

// Takes the bytes out of their frames. Reading ends with eof only where the relay states that the server has closed.
class RelayFrameReader final : public ReadFilter {
public:
    std::size_t filter(char* bytes, std::size_t size, boost::system::error_code& error) override;
    bool isAtEnd(boost::system::error_code& error) const override;

    // Returns the end that the relay has stated, if it has.
    std::optional<RelayedEnd> statedEnd() const { return m_end; }

private:
    enum class Part : std::uint8_t {
        type,
        length,
        data,
        end,
        skipped,
    };

    // Takes a byte of a number. Returns whether it was the last one.
    bool takeNumberByte(unsigned char byte);
    void beginValue();
    void takeEnd(unsigned char reason);
    void endValue();

    Part m_part = Part::type;
    std::uint64_t m_number = 0;
    unsigned m_numberBytesLeft = 0;
    bool m_isWithinNumber = false;
    std::uint64_t m_type = 0;
    std::uint64_t m_valueLeft = 0;
    std::optional<RelayedEnd> m_end;
    bool m_isMalformed = false;
};

// Reads from a relay that uses no frames: a close of its may be the end of its process.
class UnstatedEndReader final : public ReadFilter {
public:
    std::size_t filter(char* bytes, std::size_t size, boost::system::error_code& error) override;
    bool isAtEnd(boost::system::error_code&) const override { return false; }
};

}
