#include "internal/ConnectionPool.h"

#include "internal/AnswerHead.h"
#include "internal/BeastMessage.h"
#include "internal/Endpoint.h"

#include <boost/asio.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>

namespace whinyard::net::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // Shorter than the idle timeout of usual servers, so that the client closes first, also after a suspension.
    constexpr std::chrono::seconds keepTime { 30 };
    constexpr std::chrono::seconds sweepInterval { 10 };
    constexpr std::size_t maximumKept = 512; // For each address.

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

std::unique_ptr<ClientConnection> ConnectionPool::takeKept(const Address& address)
{
    const auto found = m_kept.find(address);
    if (found == m_kept.end())
        return nullptr;
    Kept& kept = found->second;
    const SteadyTime oldest = SystemClock().now() - keepTime;
    while (!kept.empty()) {
        auto connection = std::move(kept.back());
        kept.pop_back();
        // Bytes without a request make a connection as useless as a close does.
        if (connection->idleSince < oldest || connection->socket.isReadable())
            continue;
        connection->reused = true;
        connection->socket.resetBytesWritten();
        return connection;
    }
    return nullptr;
}

std::unique_ptr<ClientConnection> ConnectionPool::connect(const Address& address, SteadyTime deadline, ConnectOutcome& outcome, Failure& failure)
{
    const auto endpoint = toEndpoint<tcp>(address, failure);
    if (!endpoint)
        return nullptr;
    auto connection = std::make_unique<ClientConnection>(m_duty.loop(), m_open);
    connection->socket.expireAt(deadline);
    error_code error;
    connection->socket.connect(*endpoint, error);
    outcome = !error ? ConnectOutcome::connected : error == asio::error::timed_out ? ConnectOutcome::silent
                                                                                   : ConnectOutcome::refused;
    if (!error)
        return connection;
    const std::string why = error == asio::error::timed_out ? "no answer in time" : error.message();
    failure = Failure { ErrorKind::peerUnreachable, "can't connect to " + toText(address) + ": " + why };
    return nullptr;
}

std::unique_ptr<ClientConnection> ConnectionPool::connectThrough(const Address& relay, const std::vector<HttpField>& fields, const Address& address, SteadyTime deadline, ConnectOutcome& outcome, Failure& failure)
{
    auto connection = connect(relay, deadline, outcome, failure);
    if (!connection) {
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
    const SteadyTime now = SystemClock().now();
    dropOld(now);
    const bool isEnding = connection->closeAnnounced || !serverKeeps;
    // What came behind the answer isn't that of the next request.
    if (isEnding || connection->requestCut || connection->isRelayed || connection->buffer.size() > 0)
        return;
    Kept& kept = m_kept[address];
    if (kept.size() >= maximumKept)
        return;
    connection->socket.neverExpire();
    connection->idleSince = now;
    kept.push_back(std::move(connection));
}

HttpConnections ConnectionPool::connections() const
{
    HttpConnections counted;
    for (const auto& [address, kept] : m_kept)
        counted.kept += kept.size();
    counted.inUse = *m_open - counted.kept;
    return counted;
}

void ConnectionPool::dropOld(SteadyTime now)
{
    if (now < m_nextSweep)
        return;
    m_nextSweep = now + sweepInterval;
    for (auto& [address, kept] : m_kept)
        std::erase_if(kept, [&](const auto& connection) { return connection->idleSince < now - keepTime; });
    std::erase_if(m_kept, [](const auto& entry) { return entry.second.empty(); });
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
