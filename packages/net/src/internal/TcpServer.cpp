#include "internal/TcpServer.h"

#include "internal/Endpoint.h"
#include "internal/FiberWait.h"
#include "whinyard/base/Log.h"

#include <boost/asio.hpp>

#include <utility>

namespace whinyard::net::internal {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // From the begin of the drain kept connections stay open this much longer, so that a request that is on its way
    // is still answered. Later ones aren't read: there may be no time left to answer them, and a caller whose request
    // wasn't read can send it elsewhere.
    constexpr std::chrono::milliseconds drainGrace { 300 };

    // Most requests fit into their first read.
    constexpr std::size_t firstReadBytes = 4 * 1024;

    // A server that pauses is asked by more callers than it takes: those that wait while it pauses again are reset, with what they have
    // sent by then.
    constexpr int backlogAfterPause = 8;

    // A kept connection that has been idle for so long gives way to a new one where there are too many. The next request of others may
    // be on its way.
    constexpr std::chrono::milliseconds idleToGiveWay { 500 };

    // The pause after the system had no descriptor or memory for another connection.
    constexpr std::chrono::milliseconds acceptPause { 50 };

}

TcpServer::TcpServer(Duty& duty, std::size_t maximumConnections, Serve serve)
    : m_duty(duty)
    , m_maximumConnections(maximumConnections)
    , m_serve(std::move(serve))
    , m_acceptor(duty.loop())
{
}

std::shared_ptr<TcpServer> TcpServer::open(Duty& duty, const Address& address, std::size_t maximumConnections, Serve serve, Failure& failure)
{
    auto server = std::make_shared<TcpServer>(duty, maximumConnections, std::move(serve));
    if (!server->bind(address, failure))
        return nullptr;
    duty.spawn([server] { server->acceptAll(); });
    return server;
}

bool TcpServer::bind(const Address& address, Failure& failure)
{
    const auto endpoint = toEndpoint<tcp>(address, failure);
    if (!endpoint)
        return false;
    const error_code error = listen(*endpoint, asio::socket_base::max_listen_connections);
    if (error) {
        const std::string why = error == asio::error::address_in_use ? "the port is in use" : error.message();
        failure = Failure { ErrorKind::invalidSettings, "can't listen on " + toText(address) + ": " + why };
        return false;
    }
    m_address = toAddress(m_acceptor.local_endpoint());
    return true;
}

error_code TcpServer::listen(const tcp::endpoint& endpoint, int backlog)
{
    error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(backlog, error);
    if (!error)
        m_acceptor.non_blocking(true, error);
    return error;
}

void TcpServer::pauseListening(std::chrono::nanoseconds duration)
{
    error_code error;
    const tcp::endpoint endpoint = m_acceptor.local_endpoint(error);
    if (error)
        return;
    do {
        error_code ignored;
        m_acceptor.close(ignored);
        sleepFor(duration);
        if (m_draining)
            return;
        error = listen(endpoint, backlogAfterPause);
        if (error)
            log::error("can't listen again, trying once more", { { "address", toText(m_address) }, { "reason", error.message() } });
        duration = acceptPause;
    } while (error);
}

void TcpServer::acceptAll()
{
    const auto self = shared_from_this();
    while (m_acceptor.is_open()) {
        error_code error;
        while (m_pause.count() == 0 && acceptOne(error)) { }
        if (m_pause.count() > 0) {
            pauseListening(std::exchange(m_pause, std::chrono::nanoseconds(0)));
            continue;
        }
        if (error != asio::error::would_block && error != asio::error::try_again)
            sleepFor(acceptPause);
        if (!m_acceptor.is_open())
            return;
        FiberWait ready;
        m_acceptor.async_wait(asio::socket_base::wait_read, [&ready](const error_code&) { ready.wake(); });
        ready.suspend();
    }
}

bool TcpServer::acceptOne(error_code& error)
{
    tcp::socket socket = m_acceptor.accept(error);
    if (!error)
        start(std::move(socket));
    return !error || error == asio::error::connection_aborted || error == asio::error::interrupted;
}

void TcpServer::start(tcp::socket socket)
{
    if (m_connections.size() >= m_maximumConnections && !closeLongestIdle())
        return;
    if (m_pauseAfterConnection)
        m_pause = m_pauseAfterConnection();
    auto connection = std::make_shared<ServerConnection>(std::move(socket));
    m_connections.insert(connection.get());
    m_duty.spawn([self = shared_from_this(), connection = std::move(connection)] {
        self->m_serve(*self, *connection);
        self->m_connections.erase(connection.get());
        connection->socket.close();
    });
}

bool TcpServer::closeLongestIdle()
{
    const SteadyTime latest = std::chrono::steady_clock::now() - idleToGiveWay;
    for (ServerConnection* connection : m_idle) {
        if (connection->idleSince > latest)
            return false;
        if (connection->socket.isReadable())
            continue; // Its next request is there.
        endIdle(*connection);
        m_connections.erase(connection);
        connection->socket.close();
        return true;
    }
    return false;
}

void TcpServer::beginIdle(ServerConnection& connection)
{
    connection.idleSince = std::chrono::steady_clock::now();
    connection.idle = m_idle.insert(m_idle.end(), &connection);
}

void TcpServer::endIdle(ServerConnection& connection)
{
    if (!connection.idle)
        return;
    m_idle.erase(*connection.idle);
    connection.idle.reset();
}

bool TcpServer::awaitRequest(ServerConnection& connection, boost::beast::flat_buffer& buffer, std::chrono::nanoseconds idleTimeout)
{
    if (buffer.size() > 0)
        return true;
    beginIdle(connection);
    if (m_draining)
        connection.socket.expireAt(m_drainGraceEnd);
    else
        connection.socket.expireAfter(idleTimeout);
    error_code error;
    buffer.commit(connection.socket.read_some(buffer.prepare(firstReadBytes), error));
    // Where the machine was held up, the request for which a new connection was made may be there since it was accepted.
    if (std::exchange(connection.isNew, false) && error == asio::error::timed_out)
        buffer.commit(connection.socket.readNow(buffer.prepare(firstReadBytes), error));
    endIdle(connection);
    return !error;
}

void TcpServer::drain()
{
    // The callers of these connections may have sent their requests already.
    error_code ignored;
    while (m_acceptor.is_open() && acceptOne(ignored)) { }
    m_draining = true;
    m_drainGraceEnd = std::chrono::steady_clock::now() + drainGrace;
    m_acceptor.close(ignored);
    for (ServerConnection* connection : m_connections) {
        if (connection->idle)
            connection->socket.expireAt(m_drainGraceEnd);
    }
}

void TcpServer::close()
{
    m_draining = true;
    error_code ignored;
    m_acceptor.close(ignored);
    for (ServerConnection* connection : m_connections)
        connection->socket.close();
}

}
