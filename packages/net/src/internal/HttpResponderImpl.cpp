#include "internal/HttpResponderImpl.h"

#include "internal/BeastMessage.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace whinyard::net::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr unsigned version11 = 11;

    bool hasNoBody(int status)
    {
        return status / 100 == 1 || status == 204 || status == 304;
    }

}

HttpResponderImpl::~HttpResponderImpl()
{
    if (m_watch)
        m_watch->observer = nullptr;
}

void HttpResponderImpl::whenPeerGone(std::function<void()> observer)
{
    m_watch = m_socket.watchPeer(std::move(observer));
}

HttpResponderImpl::HttpResponderImpl(FiberSocket& socket, AnswerMode mode)
    : m_socket(socket)
    , m_mode(std::move(mode))
{
}

template <typename Header>
void HttpResponderImpl::prepare(Header& header, const HttpResponse& response)
{
    m_keepAlive = m_mode.keepAlive && !(m_mode.mustClose && m_mode.mustClose());
    m_bodiless = m_mode.isHead || hasNoBody(response.status);
    header.version(m_mode.version);
    header.result(static_cast<unsigned>(response.status));
    addFields(header, response.fields);
    header.keep_alive(m_keepAlive);
}

bool HttpResponderImpl::finish(const error_code& error, State next)
{
    m_state = error ? State::broken : next;
    return !error;
}

bool HttpResponderImpl::send(const HttpResponse& response)
{
    if (m_state != State::fresh)
        return false;
    http::response<http::span_body<const char>> message;
    prepare(message, response);
    if (!hasNoBody(response.status))
        message.content_length(response.body.size());
    if (!m_bodiless)
        message.body() = { response.body.data(), response.body.size() };
    http::response_serializer<http::span_body<const char>> serializer(message);
    m_socket.expireAfter(m_mode.sendTimeout);
    error_code error;
    if (m_bodiless)
        http::write_header(m_socket, serializer, error);
    else
        http::write(m_socket, serializer, error);
    return finish(error, State::ended);
}

bool HttpResponderImpl::begin(const HttpResponse& head)
{
    if (m_state != State::fresh)
        return false;
    http::response<http::empty_body> message;
    prepare(message, head);
    m_chunked = m_mode.version >= version11 && !hasNoBody(head.status);
    if (m_chunked)
        message.chunked(true);
    else if (!m_bodiless)
        message.keep_alive(m_keepAlive = false); // Only the close can mark the end.
    http::response_serializer<http::empty_body> serializer(message);
    m_socket.expireAfter(m_mode.sendTimeout);
    error_code error;
    http::write_header(m_socket, serializer, error);
    return finish(error, State::streaming);
}

bool HttpResponderImpl::write(std::string_view piece)
{
    if (m_state != State::streaming)
        return false;
    if (piece.empty() || m_bodiless)
        return true;
    m_socket.expireAfter(m_mode.sendTimeout);
    error_code error;
    const auto bytes = asio::buffer(piece.data(), piece.size());
    if (m_chunked)
        asio::write(m_socket, http::make_chunk(bytes), error);
    else
        asio::write(m_socket, bytes, error);
    return finish(error, State::streaming);
}

bool HttpResponderImpl::end()
{
    if (m_state != State::streaming)
        return false;
    error_code error;
    m_socket.expireAfter(m_mode.sendTimeout);
    if (m_chunked && !m_bodiless)
        asio::write(m_socket, http::make_chunk_last(), error);
    return finish(error, State::ended);
}

void HttpResponderImpl::abort()
{
    if (m_state == State::ended)
        return;
    // Without chunks a plain close would look like the proper end.
    if (m_state == State::streaming && !m_chunked)
        m_socket.reset();
    else
        m_socket.close();
    m_state = State::broken;
}

bool HttpResponderImpl::peerGone() const
{
    return m_state == State::broken || m_socket.peerClosed();
}

}
