#include "internal/AnswerHead.h"

#include "internal/MessageFraming.h"

#include <boost/beast/http/error.hpp>

namespace whinyard::net::internal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    // RFC 9110, 15: a value outside this range is invalid.
    constexpr unsigned firstStatus = 100;
    constexpr unsigned lastStatus = 599;

    constexpr unsigned switchingProtocols = 101;

}

error_code answerFault(const http::response_header<>& head)
{
    const unsigned status = head.result_int();
    if (status < firstStatus || status > lastStatus || status == switchingProtocols)
        return http::error::bad_status;
    if (framingFault(head, head.version()) != FramingFault::none)
        return http::error::bad_transfer_encoding;
    return {};
}

bool isInterim(const http::response_header<>& head)
{
    return http::to_status_class(head.result_int()) == http::status_class::informational;
}

}
