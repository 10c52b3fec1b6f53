#include "internal/Frame.h"

#include <boost/asio.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>

namespace whinyard::net::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr std::size_t readAheadBytes = 4 * 1024;

    // Reads until `buffer` holds `size` bytes.
    void fill(FiberSocket& socket, boost::beast::flat_buffer& buffer, std::size_t size, error_code& error)
    {
        while (buffer.size() < size) {
            const std::size_t want = std::max(size - buffer.size(), readAheadBytes);
            const std::size_t got = socket.read_some(buffer.prepare(want), error);
            if (error == asio::error::eof && buffer.size() > 0)
                error = asio::error::broken_pipe;
            if (error)
                return;
            buffer.commit(got);
        }
    }

    // Reads the rest of a frame's bytes behind those that `frame` holds already.
    void readRest(FiberSocket& socket, std::string& frame, std::size_t have, error_code& error)
    {
        while (have < frame.size()) {
            have += socket.read_some(asio::buffer(frame.data() + have, frame.size() - have), error);
            if (error == asio::error::eof)
                error = asio::error::broken_pipe;
            if (error)
                return;
        }
    }

}

void writeFrame(FiberSocket& socket, std::string_view bytes, error_code& error)
{
    std::array<unsigned char, frameLengthBytes> length;
    boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(bytes.size()));
    const std::array<asio::const_buffer, 2> buffers { asio::buffer(length), asio::buffer(bytes.data(), bytes.size()) };
    asio::write(socket, buffers, error);
}

std::string readFrame(FiberSocket& socket, boost::beast::flat_buffer& buffer, std::size_t maximum, error_code& error)
{
    fill(socket, buffer, frameLengthBytes, error);
    if (error)
        return {};
    const std::size_t size = boost::endian::load_big_u32(static_cast<const unsigned char*>(buffer.data().data()));
    buffer.consume(frameLengthBytes);
    if (size > maximum) {
        error = asio::error::message_size;
        return {};
    }
    std::string frame(size, '\0');
    const std::size_t have = std::min(size, buffer.size());
    std::copy_n(static_cast<const char*>(buffer.data().data()), have, frame.data());
    buffer.consume(have);
    readRest(socket, frame, have, error);
    return frame;
}

}
