#include "internal/HttpExchange.h"

#include "internal/AnswerHead.h"
#include "internal/BeastMessage.h"

#include <boost/beast/http.hpp>

#include <algorithm>

namespace whinyard::net::internal {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

    constexpr unsigned version11 = 11;
    constexpr int mostInformational = 16; // Heads before that of the answer.

    using RequestMessage = http::request<http::span_body<const char>>;

    RequestMessage toBeast(const HttpRequest& request, const Address& address, const HttpCallOptions& options)
    {
        RequestMessage message;
        message.version(version11);
        message.method_string(request.method);
        message.target(request.target);
        addFields(message, request.fields);
        if (message.find(http::field::host) == message.end())
            message.set(http::field::host, toText(address));
        const bool isBodyMethod = message.method() == http::verb::post || message.method() == http::verb::put || message.method() == http::verb::patch;
        if (isBodyMethod || !request.body.empty())
            message.content_length(request.body.size());
        message.body() = { request.body.data(), request.body.size() };
        if (options.lastRequest)
            message.keep_alive(false);
        return message;
    }

    // A request whose line could be read as two by its server must not be sent.
    bool isSafeRequestLine(const HttpRequest& request)
    {
        const auto printable = [](unsigned char c) { return c > 0x20 && c != 0x7f; };
        return !request.method.empty() && !request.target.empty() && std::all_of(request.method.begin(), request.method.end(), printable)
            && std::all_of(request.target.begin(), request.target.end(), printable);
    }

}

HttpExchange::HttpExchange(ConnectionPool& pool, const Address& address, const HttpRequest& request, const HttpCallOptions& options, HttpCallProgress& progress)
    : m_pool(pool)
    , m_address(address)
    , m_request(request)
    , m_options(options)
    , m_progress(progress)
    , m_deadline(std::chrono::steady_clock::now() + options.timeout)
    , m_mayReuse(!options.freshConnection && !options.relay)
{
}

HttpExchange::~HttpExchange()
{
    if (m_options.cancellation)
        m_options.cancellation->use(nullptr);
}

std::unique_ptr<ClientConnection> HttpExchange::releaseConnection()
{
    if (m_options.cancellation)
        m_options.cancellation->use(nullptr);
    return std::move(m_connection);
}

template <typename Body>
bool HttpExchange::start(std::unique_ptr<http::response_parser<Body>>& parser, Failure& failure)
{
    m_progress = {};
    if (!isSafeRequestLine(m_request)) {
        failure = Failure { ErrorKind::malformedRequest, "the method or target holds a character that HTTP forbids" };
        return false;
    }
    for (;;) {
        if (!takeConnection(failure))
            return false;
        error_code error;
        const bool sent = send(error);
        m_progress.bytesWritten = m_connection->socket.bytesWritten();
        if (!sent && m_progress.bytesWritten == 0 && m_connection->reused)
            continue;
        // A server may answer and close before it has taken the whole request.
        error_code readError;
        if (m_progress.bytesWritten > 0 && readHead(parser, readError)) {
            m_progress.responseStarted = true;
            return acceptsEnd(parser->need_eof(), failure);
        }
        failure = failureFor(error ? error : readError);
        return false;
    }
}

bool HttpExchange::acceptsEnd(bool endsWithConnection, Failure& failure)
{
    m_progress.endsWithConnection = endsWithConnection;
    if (!endsWithConnection || !m_options.needsStatedEnd)
        return true;
    failure = Failure { ErrorKind::endpointFailed, "the answer of " + toText(m_address) + " has neither a length nor chunks", {}, RunState::unknown };
    return false;
}

bool HttpExchange::takeConnection(Failure& failure)
{
    m_connection = m_mayReuse ? m_pool.takeKept(m_address) : nullptr;
    const SteadyTime began = std::chrono::steady_clock::now();
    const SteadyTime connectBy = std::min(m_deadline, began + m_options.connectTimeout);
    if (!m_connection && m_options.relay)
        m_connection = m_pool.connectThrough(*m_options.relay, m_options.relayFields, m_address, connectBy, m_progress.connect, failure);
    else if (!m_connection)
        m_connection = m_pool.connect(m_address, connectBy, m_progress.connect, failure);
    if (m_progress.connect != ConnectOutcome::notTried)
        m_progress.connectTime = std::chrono::steady_clock::now() - began;
    if (!m_connection)
        return false;
    m_connection->socket.expireAt(m_deadline);
    if (m_options.findsDeadPeer)
        m_connection->socket.findDeadPeer();
    if (isCancelled()) {
        failure = failureFor({});
        return false;
    }
    if (m_options.cancellation)
        m_options.cancellation->use([this] { m_connection->socket.close(); });
    return true;
}

bool HttpExchange::send(error_code& error)
{
    const RequestMessage message = toBeast(m_request, m_address, m_options);
    m_connection->closeAnnounced = m_options.lastRequest;
    http::request_serializer<http::span_body<const char>> serializer(message);
    m_connection->socket.heedAnswerWhileWriting(true);
    http::write(m_connection->socket, serializer, error);
    m_connection->socket.heedAnswerWhileWriting(false);
    m_connection->requestCut = static_cast<bool>(error);
    return !error;
}

template <typename Body>
bool HttpExchange::readHead(std::unique_ptr<http::response_parser<Body>>& parser, error_code& error)
{
    int informational = 0;
    do {
        if (informational++ > mostInformational) {
            error = http::error::header_limit;
            return false;
        }
        parser = std::make_unique<http::response_parser<Body>>();
        parser->body_limit(m_options.bodyLimit);
        parser->skip(m_request.method == "HEAD");
        readAnswerHead(m_connection->socket, m_connection->buffer, *parser, error);
    } while (!error && isInterim(parser->get()));
    return !error;
}

Failure HttpExchange::failureFor(const error_code& error)
{
    Failure failure = exchangeFailure(error, m_address, m_progress.bytesWritten, ErrorKind::endpointFailed);
    if (isCancelled()) {
        failure.kind = ErrorKind::cancelled;
        failure.reason = "the call of " + toText(m_address) + " was cancelled";
        return failure;
    }
    if (error == http::error::body_limit || error == http::error::header_limit) {
        m_progress.answerOverLimit = true;
        failure.reason = "the answer of " + toText(m_address) + " is over its limit";
    }
    return failure;
}

template bool HttpExchange::start(std::unique_ptr<http::response_parser<http::string_body>>&, Failure&);
template bool HttpExchange::start(std::unique_ptr<http::response_parser<http::buffer_body>>&, Failure&);

}
