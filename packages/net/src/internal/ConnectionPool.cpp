#include "internal/ConnectionPool.h"

#include "internal/AnswerHead.h"
#include "internal/BeastMessage.h"
#include "internal/Endpoint.h"

#include <boost/asio.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

#include <iterator>
#include <utility>

namespace whinyard::net::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    ConnectOutcome outcomeOf(const error_code& connectError)
    {
        if (!connectError)
            return ConnectOutcome::connected;
        if (isOwnShortage(connectError))
            return ConnectOutcome::lacksResources;
        return connectError == asio::error::timed_out ? ConnectOutcome::silent : ConnectOutcome::refused;
    }

    ConnectOutcome outcomeOf(http::status answer)
    {
        switch (answer) {
        case http::status::ok:
            return ConnectOutcome::connected;
        case http::status::bad_gateway:
            return ConnectOutcome::refused;
        case http::status::gateway_timeout:
            return ConnectOutcome::silent;
        default:
            return ConnectOutcome::relayDeclined;
        }
    }

    // Asks a relay for a connection. An error means that it gave no answer.
    ConnectOutcome askRelay(ClientConnection& connection, const std::vector<HttpField>& fields, const Address& address, error_code& error)
    {
        constexpr unsigned version11 = 11;
        http::request<http::empty_body> request(http::verb::connect, toText(address), version11);
        addFields(request, fields);
        request.set(http::field::host, toText(address));
        request.set(relayFramingField, relayFramingValue);
        http::write(connection.socket, request, error);
        if (error)
            return ConnectOutcome::relayUnreachable;
        http::response_parser<http::empty_body> answer;
        answer.skip(true);
        readAnswerHead(connection.socket, connection.buffer, answer, error);
        if (!error && answer.get()[relayFramingField] == relayFramingValue)
            connection.frames = std::make_shared<RelayFrameReader>();
        return error ? ConnectOutcome::relayUnreachable : outcomeOf(answer.get().result());
    }

    bool isMalformedMessage(const error_code& error)
    {
        return error.category() == make_error_code(http::error::bad_status).category() && error != http::error::end_of_stream && error != http::error::partial_message;
    }

    // Has the end of the server's bytes count as proper only where the relay has stated it.
    void awaitStatedEnd(ClientConnection& connection)
    {
        connection.isRelayed = true;
        if (!connection.frames) {
            connection.socket.filterReads(std::make_shared<UnstatedEndReader>());
            return;
        }
        connection.socket.filterReads(connection.frames);
        // Frames may have arrived with the relay's answer.
        std::string early = boost::beast::buffers_to_string(connection.buffer.data());
        connection.buffer.clear();
        error_code ignored; // Shows again in the next read.
        early.resize(connection.frames->filter(early.data(), early.size(), ignored));
        connection.buffer.commit(asio::buffer_copy(connection.buffer.prepare(early.size()), asio::buffer(early)));
    }

}

ConnectionPool::ConnectionPool(Duty& duty, const HttpClientLimits& limits)
    : m_duty(duty)
    , m_limits(limits)
    , m_sweep(duty.loop())
{
}

ConnectionPool::~ConnectionPool()
{
    while (!m_kept.empty())
        take(m_kept.begin());
}

std::unique_ptr<ClientConnection> ConnectionPool::takeKept(const Address& address)
{
    const SteadyTime oldest = SystemClock().now() - m_limits.keepTime;
    for (auto kept = m_kept.end(); kept != m_kept.begin();) {
        --kept;
        if (kept->address != address)
            continue;
        const bool isOld = kept->idleSince < oldest;
        const auto next = std::next(kept);
        auto connection = take(kept);
        kept = next;
        // Bytes without a request make a connection as useless as a close does.
        if (isOld || connection->socket.isReadable())
            continue;
        connection->reused = true;
        connection->socket.resetBytesWritten();
        return connection;
    }
    return nullptr;
}

std::unique_ptr<ClientConnection> ConnectionPool::take(std::list<Kept>::iterator kept)
{
    kept->watch->observer = nullptr;
    auto connection = std::move(kept->connection);
    m_kept.erase(kept);
    return connection;
}

std::unique_ptr<ClientConnection> ConnectionPool::connect(const Address& address, SteadyTime deadline, ConnectOutcome& outcome, Failure& failure)
{
    const auto endpoint = toEndpoint<tcp>(address, failure);
    if (!endpoint)
        return nullptr;
    while (*m_open >= m_limits.connections && !m_kept.empty())
        take(m_kept.begin());
    if (*m_open >= m_limits.connections) {
        outcome = ConnectOutcome::lacksResources;
        failure = Failure { ErrorKind::overloaded, "can't connect to " + toText(address) + ": this client's connections are all in use" };
        return nullptr;
    }
    auto connection = std::make_unique<ClientConnection>(m_duty.loop(), m_open);
    connection->socket.expireAt(deadline);
    error_code error;
    connection->socket.connect(*endpoint, error);
    outcome = outcomeOf(error);
    if (!error)
        return connection;
    const std::string why = error == asio::error::timed_out ? "no answer in time" : error.message();
    const ErrorKind kind = outcome == ConnectOutcome::lacksResources ? ErrorKind::overloaded : ErrorKind::peerUnreachable;
    failure = Failure { kind, "can't connect to " + toText(address) + ": " + why };
    return nullptr;
}

std::unique_ptr<ClientConnection> ConnectionPool::connectThrough(const Address& relay, const std::vector<HttpField>& fields, const Address& address, SteadyTime deadline, ConnectOutcome& outcome, Failure& failure)
{
    auto connection = connect(relay, deadline, outcome, failure);
    if (!connection) {
        if (outcome != ConnectOutcome::lacksResources)
            outcome = ConnectOutcome::relayUnreachable;
        return nullptr;
    }
    error_code error;
    outcome = askRelay(*connection, fields, address, error);
    if (outcome == ConnectOutcome::connected) {
        awaitStatedEnd(*connection);
        connection->socket.resetBytesWritten(); // What the relay was told hasn't reached the server.
        return connection;
    }
    const std::string why = outcome == ConnectOutcome::relayUnreachable ? error.message() : outcome == ConnectOutcome::relayDeclined ? "it declines"
                                                                                                                                     : "it can't connect";
    failure = Failure { ErrorKind::peerUnreachable, "no connection to " + toText(address) + " by way of " + toText(relay) + ": " + why };
    return nullptr;
}

void ConnectionPool::release(const Address& address, std::unique_ptr<ClientConnection> connection, bool serverKeeps)
{
    const bool isEnding = connection->closeAnnounced || !serverKeeps;
    // What came behind the answer isn't that of the next request.
    if (isEnding || connection->requestCut || connection->isRelayed || connection->buffer.size() > 0)
        return;
    keep(address, std::move(connection));
}

void ConnectionPool::keep(const Address& address, std::unique_ptr<ClientConnection> connection)
{
    connection->socket.neverExpire();
    const auto kept = m_kept.insert(m_kept.end(), { address, std::move(connection), SystemClock().now(), nullptr });
    // The pool may be gone by the time a close is seen, but then its watches have no observer.
    kept->watch = kept->connection->socket.watchReadable([this, kept] { take(kept); });
    while (m_kept.size() > m_limits.keptConnections)
        take(m_kept.begin());
    dropOld();
}

HttpConnections ConnectionPool::connections() const
{
    return { .inUse = *m_open - m_kept.size(), .kept = m_kept.size() };
}

void ConnectionPool::dropOld()
{
    const SteadyTime now = SystemClock().now();
    while (!m_kept.empty() && m_kept.front().idleSince + m_limits.keepTime <= now)
        take(m_kept.begin());
    if (m_kept.empty() || std::exchange(m_sweepDue, true))
        return;
    m_sweep.expires_after(m_kept.front().idleSince + m_limits.keepTime - now);
    m_sweep.async_wait([pool = weak_from_this()](const error_code& error) {
        const auto self = pool.lock();
        if (error || !self)
            return;
        self->m_sweepDue = false;
        self->dropOld();
    });
}

Failure exchangeFailure(const error_code& error, const Address& address, std::size_t bytesWritten, ErrorKind lostKind)
{
    Failure failure;
    failure.runState = bytesWritten == 0 ? RunState::notRun : RunState::unknown;
    if (error == asio::error::timed_out) {
        failure.kind = ErrorKind::deadlineExceeded;
        failure.reason = toText(address) + " gave no answer in time";
    } else {
        failure.kind = bytesWritten == 0 ? ErrorKind::peerUnreachable : lostKind;
        failure.reason = (isMalformedMessage(error) ? "what came from " + toText(address) + " is no answer: " : "the connection to " + toText(address) + " was lost: ") + error.message();
    }
    return failure;
}

}
