// Reads the head of an answer, and tells whether it is one.
//
// The parser takes heads that no HTTP server sends, such as one with the status 000. Every client of this package reads its answers' heads
// here.
#pragma once

#include "internal/FiberSocket.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/error_code.hpp>

#include <cstddef>

namespace whinyard::net::internal {

inline constexpr std::size_t answerHeadLimit = 64 * 1024;

// Reads until `buffer` holds a whole head. Fails with header_limit, or with obsolete line folding: a line that begins with a blank may be
// meant as part of the one before it, or as a field of its own, such as one that says where the body ends (RFC 9112, 5.2).
void awaitAnswerHead(FiberSocket& socket, boost::beast::flat_buffer& buffer, boost::system::error_code& error);

// Returns an error where `head` can't be that of an answer to a request that asks for no other protocol: its status is none, or its end
// can't be told.
boost::system::error_code answerFault(const boost::beast::http::response_header<>& head);

// Returns whether the head of the answer is yet to come behind this one.
bool isInterim(const boost::beast::http::response_header<>& head);

// Reads the next head into `parser`, a new response_parser.
template <typename Parser>
void readAnswerHead(FiberSocket& socket, boost::beast::flat_buffer& buffer, Parser& parser, boost::system::error_code& error)
{
    parser.header_limit(answerHeadLimit);
    awaitAnswerHead(socket, buffer, error);
    if (!error)
        boost::beast::http::read_header(socket, buffer, parser, error);
    if (!error)
        error = answerFault(parser.get());
}

}
