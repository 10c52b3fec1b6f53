#include "internal/AnswerHead.h"

#include "internal/MessageFraming.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>

namespace whinyard::net::internal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    // RFC 9110, 15: a value outside this range is invalid.
    constexpr unsigned firstStatus = 100;
    constexpr unsigned lastStatus = 599;

    constexpr unsigned switchingProtocols = 101;

    constexpr std::string_view headEnd = "\r\n\r\n";
    constexpr std::size_t readBytes = 4 * 1024;

    std::string_view textOf(const boost::beast::flat_buffer& buffer)
    {
        return { static_cast<const char*>(buffer.data().data()), buffer.size() };
    }

    bool hasFoldedLine(std::string_view head)
    {
        return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
    }

}

void awaitAnswerHead(FiberSocket& socket, boost::beast::flat_buffer& buffer, error_code& error)
{
    error = {};
    std::size_t end = textOf(buffer).find(headEnd);
    while (end == std::string_view::npos) {
        if (buffer.size() >= answerHeadLimit) {
            error = http::error::header_limit;
            return;
        }
        const std::size_t searched = buffer.size() - std::min(buffer.size(), headEnd.size() - 1);
        buffer.commit(socket.read_some(buffer.prepare(readBytes), error));
        if (error == boost::asio::error::eof)
            error = buffer.size() == 0 ? http::error::end_of_stream : http::error::partial_message;
        if (error)
            return;
        end = textOf(buffer).find(headEnd, searched);
    }
    if (hasFoldedLine(textOf(buffer).substr(0, end)))
        error = http::error::bad_obs_fold;
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
