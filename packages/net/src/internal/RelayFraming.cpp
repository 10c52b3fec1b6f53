#include "internal/RelayFraming.h"

#include <boost/asio/error.hpp>

#include <algorithm>
#include <cstring>
#include <limits>

namespace whinyard::net::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr std::uint64_t dataType = 0;
    constexpr std::uint64_t endType = 1;

    // The two highest bits of a number's first byte say how many bytes it has: 1, 2, 4 or 8.
    constexpr unsigned sizeShift = 6;
    constexpr unsigned valueMask = 0x3f;
    constexpr unsigned bitsPerByte = 8;

    void appendNumber(std::string& out, std::uint64_t number)
    {
        unsigned sizeCode = 0;
        unsigned size = 1;
        while (size < sizeof(number) && number >> (bitsPerByte * size - 2) != 0) {
            size *= 2;
            ++sizeCode;
        }
        for (unsigned i = size; i-- > 0;) {
            unsigned byte = (number >> (bitsPerByte * i)) & std::numeric_limits<unsigned char>::max();
            if (i + 1 == size)
                byte |= sizeCode << sizeShift;
            out.push_back(static_cast<char>(byte));
        }
    }

    std::optional<RelayedEnd> parseEnd(unsigned char reason)
    {
        switch (static_cast<RelayedEnd>(reason)) {
        case RelayedEnd::serverClosed:
            return RelayedEnd::serverClosed;
        case RelayedEnd::expired:
            return RelayedEnd::expired;
        case RelayedEnd::serverLost:
        case RelayedEnd::clientLeft:
            break;
        }
        return RelayedEnd::serverLost; // And any reason that a later release may state.
    }

}

std::string dataFrameHead(std::size_t size)
{
    std::string head;
    appendNumber(head, dataType);
    appendNumber(head, size);
    return head;
}

std::string endFrame(RelayedEnd end)
{
    std::string frame;
    appendNumber(frame, endType);
    appendNumber(frame, 1);
    frame.push_back(static_cast<char>(end));
    return frame;
}

std::size_t RelayFrameReader::filter(char* bytes, std::size_t size, error_code& error)
{
    std::size_t read = 0;
    std::size_t kept = 0;
    while (read < size && !m_end && !m_isMalformed) {
        if (m_part == Part::data) {
            const std::size_t count = std::min<std::uint64_t>(size - read, m_valueLeft);
            std::memmove(bytes + kept, bytes + read, count);
            kept += count;
            read += count;
            m_valueLeft -= count;
        } else if (m_part == Part::skipped) {
            const std::size_t count = std::min<std::uint64_t>(size - read, m_valueLeft);
            read += count;
            m_valueLeft -= count;
        } else {
            const auto byte = static_cast<unsigned char>(bytes[read++]);
            if (m_part == Part::end)
                takeEnd(byte);
            else if (takeNumberByte(byte))
                beginValue();
        }
        endValue();
    }
    if (kept == 0 && isAtEnd(error))
        return 0;
    if (error == asio::error::eof)
        error = asio::error::connection_reset;
    return kept;
}

bool RelayFrameReader::isAtEnd(error_code& error) const
{
    if (!m_end && !m_isMalformed)
        return false;
    error = m_end == RelayedEnd::serverClosed ? asio::error::make_error_code(asio::error::eof) : asio::error::make_error_code(asio::error::connection_reset);
    return true;
}

bool RelayFrameReader::takeNumberByte(unsigned char byte)
{
    if (!m_isWithinNumber) {
        m_isWithinNumber = true;
        m_numberBytesLeft = (1U << (byte >> sizeShift)) - 1;
        m_number = byte & valueMask;
    } else {
        m_number = m_number << bitsPerByte | byte;
        --m_numberBytesLeft;
    }
    if (m_numberBytesLeft > 0)
        return false;
    m_isWithinNumber = false;
    return true;
}

// A type or a length is complete.
void RelayFrameReader::beginValue()
{
    if (m_part == Part::type) {
        m_type = m_number;
        m_part = Part::length;
        return;
    }
    m_valueLeft = m_number;
    m_part = m_type == dataType ? Part::data : m_type == endType ? Part::end
                                                                 : Part::skipped;
    m_isMalformed = m_part == Part::end && m_valueLeft != 1;
}

void RelayFrameReader::takeEnd(unsigned char reason)
{
    m_end = parseEnd(reason);
}

void RelayFrameReader::endValue()
{
    if ((m_part == Part::data || m_part == Part::skipped) && m_valueLeft == 0)
        m_part = Part::type;
}

std::size_t UnstatedEndReader::filter(char*, std::size_t size, error_code& error)
{
    if (error == asio::error::eof)
        error = asio::error::connection_reset;
    return size;
}

}
