// Reads and writes the frames that FrameClient.h defines.
#pragma once

#include "internal/FiberSocket.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace whinyard::net::internal {

// The length field before each frame.
inline constexpr std::size_t frameLengthBytes = 4;

// Writes `bytes` with their length.
void writeFrame(FiberSocket& socket, std::string_view bytes, boost::system::error_code& error);

// Reads a frame, in part from `buffer`, which takes what is read ahead. A length over `maximum` gives
// message_size; the end of the connection before the first byte gives eof, and a later one broken_pipe.
std::string readFrame(FiberSocket& socket, boost::beast::flat_buffer& buffer, std::size_t maximum, boost::system::error_code& error);

}
