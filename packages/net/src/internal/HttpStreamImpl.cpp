#include "internal/HttpStreamImpl.h"

#include "internal/BeastMessage.h"

#include <boost/beast/http.hpp>

#include <array>

namespace whinyard::net::internal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    // The largest piece; it lies on the fiber's stack.
    constexpr std::size_t pieceBytes = 8 * 1024;

    // Room for the last chunk and a short trailer.
    constexpr std::size_t endMarkBytes = 512;

}

HttpStreamImpl::HttpStreamImpl(std::shared_ptr<ConnectionPool> pool, Address address, std::unique_ptr<ClientConnection> connection, std::unique_ptr<StreamParser> parser, std::chrono::milliseconds pieceTimeout)
    : m_pool(std::move(pool))
    , m_address(std::move(address))
    , m_connection(std::move(connection))
    , m_frames(m_connection->frames)
    , m_parser(std::move(parser))
    , m_pieceTimeout(pieceTimeout)
{
    m_head.status = static_cast<int>(m_parser->get().result_int());
    m_head.fields = plainFields(m_parser->get());
    m_endsWithConnection = m_parser->need_eof();
}

HttpStreamImpl::~HttpStreamImpl()
{
    if (!m_finished && !m_cancelled && m_connection && endHasArrived())
        finish();
}

std::optional<std::string> HttpStreamImpl::read(Failure& failure)
{
    if (m_finished)
        return std::string();
    if (m_cancelled || !m_connection)
        return fail({}, failure);
    m_connection->socket.expireAfter(m_pieceTimeout);
    while (!m_parser->is_done()) {
        error_code error;
        std::string piece = readSome(error);
        if (!piece.empty())
            return piece;
        if (error || m_cancelled)
            return fail(error, failure);
    }
    return finish();
}

std::string HttpStreamImpl::readSome(error_code& error)
{
    std::array<char, pieceBytes> bytes;
    auto& body = m_parser->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    http::read_some(m_connection->socket, m_connection->buffer, *m_parser, error);
    if (!error)
        parseBuffered();
    if (error == http::error::need_buffer)
        error = {};
    const std::size_t size = bytes.size() - body.size;
    body.data = nullptr;
    body.size = 0;
    return std::string(bytes.data(), size);
}

// Takes all further chunks that arrived with the last read, so that a slow reader gets them as one piece. An error shows
// again in the next read.
void HttpStreamImpl::parseBuffered()
{
    auto& buffer = m_connection->buffer;
    error_code error;
    while (!error && buffer.size() > 0 && !m_parser->is_done() && m_parser->get().body().size > 0)
        buffer.consume(m_parser->put(buffer.data(), error));
}

// Looks, without waiting, whether nothing but the end mark is left.
bool HttpStreamImpl::endHasArrived()
{
    auto& buffer = m_connection->buffer;
    auto& body = m_parser->get().body();
    std::array<char, 1> byte;
    body.data = byte.data();
    body.size = byte.size();
    body.more = true;
    error_code error;
    buffer.commit(m_connection->socket.readNow(buffer.prepare(endMarkBytes), error));
    if (!error)
        parseBuffered();
    return m_parser->is_done() && body.size == byte.size();
}

std::string HttpStreamImpl::finish()
{
    m_finished = true;
    m_pool->release(m_address, std::move(m_connection), m_parser->keep_alive());
    return {};
}

std::nullopt_t HttpStreamImpl::fail(const error_code& error, Failure& failure)
{
    if (m_cancelled) {
        failure = Failure { ErrorKind::cancelled, "the stream from " + toText(m_address) + " was cancelled", {}, RunState::unknown };
        return std::nullopt;
    }
    if (m_connection) {
        m_connection->socket.close();
        failure = exchangeFailure(error, m_address, m_connection->socket.bytesWritten(), ErrorKind::endpointFailed);
        m_connection.reset();
    }
    return std::nullopt;
}

void HttpStreamImpl::cancel()
{
    m_cancelled = !m_finished;
    if (m_connection)
        m_connection->socket.close();
}

}
