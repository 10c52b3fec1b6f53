// The part that HttpServer and FrameServer share: the listening socket, the set of connections with a fiber
// each, and draining.
#pragma once

#include "internal/FiberSocket.h"
#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <unordered_set>

namespace whinyard::net::internal {

// One accepted connection.
struct ServerConnection {
    explicit ServerConnection(boost::asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {
    }

    FiberSocket socket;
    bool isNew = true; // No request has been waited for.
    std::optional<std::list<ServerConnection*>::iterator> idle; // Its place among those that wait for the first byte of a request.
    SteadyTime idleSince;
};

// Accepts connections and runs a function on a fiber for each. Fibers share its ownership, so it
// outlives the server object until the last of them ends.
class TcpServer : public std::enable_shared_from_this<TcpServer> {
public:
    using Serve = std::function<void(TcpServer&, ServerConnection&)>;

    // Binds and starts to accept; null with the reason when the socket can't be bound.
    static std::shared_ptr<TcpServer> open(Duty& duty, const Address& address, std::size_t maximumConnections, Serve serve, Failure& failure);

    TcpServer(Duty& duty, std::size_t maximumConnections, Serve serve);

    const Address& address() const { return m_address; }
    bool isDraining() const { return m_draining || m_closeAnnounced; }
    bool isDrained() const { return m_draining && m_connections.empty(); }
    std::size_t active() const { return m_active; }
    std::size_t connections() const { return m_connections.size(); }

    // Waits for the first bytes of a request, which `buffer` takes. Returns false when the connection is to be
    // closed: the peer closed it, it stayed idle too long, or the server drains.
    bool awaitRequest(ServerConnection& connection, boost::beast::flat_buffer& buffer, std::chrono::nanoseconds idleTimeout);

    // Counts a request as handled for as long as it lives.
    class ActiveRequest {
    public:
        explicit ActiveRequest(TcpServer& server)
            : m_server(server)
        {
            ++m_server.m_active;
        }
        ~ActiveRequest() { --m_server.m_active; }
        ActiveRequest(const ActiveRequest&) = delete;
        ActiveRequest& operator=(const ActiveRequest&) = delete;

    private:
        TcpServer& m_server;
    };

    // See HttpServer::useAdmission().
    void useAdmission(std::function<std::chrono::nanoseconds()> pause) { m_pauseAfterConnection = std::move(pause); }
    void announceClose() { m_closeAnnounced = true; }
    void drain();
    void close();

private:
    bool bind(const Address& address, Failure& failure);
    // Opens the listening socket, on which so many connections may wait to be accepted.
    boost::system::error_code listen(const boost::asio::ip::tcp::endpoint& endpoint, int backlog);
    void acceptAll();
    // Returns whether there may be more to accept.
    bool acceptOne(boost::system::error_code& error);
    // Closes the listening socket for a while. What waits there is reset by the system.
    void pauseListening(std::chrono::nanoseconds duration);
    void start(boost::asio::ip::tcp::socket socket);
    // Closes the connection that has been idle for longest. Returns false where none has been for long enough.
    bool closeLongestIdle();
    void beginIdle(ServerConnection& connection);
    void endIdle(ServerConnection& connection);

    Duty& m_duty;
    const std::size_t m_maximumConnections;
    const Serve m_serve;
    std::function<std::chrono::nanoseconds()> m_pauseAfterConnection; // Empty: there is none.
    std::chrono::nanoseconds m_pause { 0 }; // That is due now.
    boost::asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::unordered_set<ServerConnection*> m_connections;
    std::list<ServerConnection*> m_idle; // The one that has been for longest first.
    std::size_t m_active = 0;
    bool m_draining = false; // Or closed: it doesn't listen again.
    bool m_closeAnnounced = false;
    SteadyTime m_drainGraceEnd;
};

// The control functions that every server interface of this package has, over a TcpServer.
template <typename Interface>
class ServerOver : public Interface {
public:
    explicit ServerOver(std::shared_ptr<TcpServer> server)
        : m_server(std::move(server))
    {
    }
    ~ServerOver() override { m_server->close(); }

    Address address() const override { return m_server->address(); }
    std::size_t active() const override { return m_server->active(); }
    std::size_t connections() const override { return m_server->connections(); }
    void drain() override { m_server->drain(); }
    bool isDrained() const override { return m_server->isDrained(); }
    void close() override { m_server->close(); }

protected:
    TcpServer& server() { return *m_server; }

private:
    std::shared_ptr<TcpServer> m_server;
};

}
