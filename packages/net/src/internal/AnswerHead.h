// Whether a head that a client has read is that of an answer.
//
// The parser takes heads that no HTTP server sends, such as one with the status 000. Every client of this package asks here before it
// uses what it has read.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/system/error_code.hpp>

namespace whinyard::net::internal {

// Returns an error where `head` can't be that of an answer to a request that asks for no other protocol: its status is none, or its end
// can't be told.
boost::system::error_code answerFault(const boost::beast::http::response_header<>& head);

// Returns whether the head of the answer is yet to come behind this one.
bool isInterim(const boost::beast::http::response_header<>& head);

}
