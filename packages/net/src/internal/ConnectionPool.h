// The connections of a client: it makes them, and keeps those that other calls may use again, for a while.
//
// HttpClient and FrameClient share it, so that both give the same account of written bytes.
#pragma once

#include "internal/FiberSocket.h"
#include "internal/RelayFraming.h"
#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpClient.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <list>
#include <memory>
#include <optional>
#include <vector>

namespace whinyard::net::internal {

// A connection to a server, with the bytes that were read ahead.
struct ClientConnection {
    // More than the largest head: whatever is larger and ends nowhere, such as the extension of a chunk, breaks the answer off.
    static constexpr std::size_t mostReadAhead = 256 * 1024;

    ClientConnection(boost::asio::io_context& loop, std::shared_ptr<std::size_t> openConnections)
        : socket(loop)
        , open(std::move(openConnections))
    {
        ++*open;
    }
    ~ClientConnection() { --*open; }
    ClientConnection(const ClientConnection&) = delete;
    ClientConnection& operator=(const ClientConnection&) = delete;

    FiberSocket socket;
    boost::beast::flat_buffer buffer { mostReadAhead };
    bool reused = false;
    bool requestCut = false; // The server answered before it took the whole request: the rest can't be sent any more.
    bool closeAnnounced = false; // We have said that no further request comes on it.
    bool isRelayed = false;
    std::shared_ptr<RelayFrameReader> frames; // Where a relay passes the server's bytes on in frames.
    const std::shared_ptr<std::size_t> open; // Of its pool; a stream may outlive that.
};

// Owned by a client and by its running calls. Belongs to one duty.
class ConnectionPool : public std::enable_shared_from_this<ConnectionPool> {
public:
    explicit ConnectionPool(Duty& duty, const HttpClientLimits& limits = {});
    ~ConnectionPool();
    ConnectionPool(const ConnectionPool&) = delete;
    ConnectionPool& operator=(const ConnectionPool&) = delete;

    // Returns a kept connection that its server hasn't closed, or null.
    std::unique_ptr<ClientConnection> takeKept(const Address& address);

    // Returns a new connection, or null with the reason.
    std::unique_ptr<ClientConnection> connect(const Address& address, SteadyTime deadline, ConnectOutcome& outcome, Failure& failure);

    // Returns a new connection to the server at `address` that the relay has made.
    std::unique_ptr<ClientConnection> connectThrough(const Address& relay, const std::vector<HttpField>& fields, const Address& address, SteadyTime deadline, ConnectOutcome& outcome, Failure& failure);

    // Takes a connection on which an answer has ended, and keeps it for other calls where neither side has announced its close
    // (RFC 9112, 9.3 and 9.6). All others are closed.
    void release(const Address& address, std::unique_ptr<ClientConnection> connection, bool serverKeeps);

    HttpConnections connections() const;

private:
    struct Kept {
        Address address;
        std::unique_ptr<ClientConnection> connection;
        SteadyTime idleSince;
        std::shared_ptr<SocketWatch> watch; // Of the server's close.
    };

    void keep(const Address& address, std::unique_ptr<ClientConnection> connection);
    std::unique_ptr<ClientConnection> take(std::list<Kept>::iterator kept);
    // Closes what has been idle for too long, and does so again by itself while something is kept.
    void dropOld();

    Duty& m_duty;
    const HttpClientLimits m_limits;
    const std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0); // Connections, kept ones among them.
    std::list<Kept> m_kept; // The one that has been idle for longest first.
    boost::asio::steady_timer m_sweep;
    bool m_sweepDue = false; // The timer runs.
};

// Returns the failure for an exchange that broke off after a connection was there.
Failure exchangeFailure(const boost::system::error_code& error, const Address& address, std::size_t bytesWritten, ErrorKind lostKind);

}
