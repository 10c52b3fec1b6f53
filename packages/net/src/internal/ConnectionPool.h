// Kept connections of a client, by address.
//
// HttpClient and FrameClient share it, so that both give the same account of written bytes.
#pragma once

#include "internal/FiberSocket.h"
#include "internal/RelayFraming.h"
#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpClient.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <map>
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
    SteadyTime idleSince;
    const std::shared_ptr<std::size_t> open; // Of its pool; a stream may outlive that.
};

// Owned by a client and by its running calls. Belongs to one duty.
class ConnectionPool {
public:
    explicit ConnectionPool(Duty& duty)
        : m_duty(duty)
    {
    }

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
    using Kept = std::vector<std::unique_ptr<ClientConnection>>;

    void dropOld(SteadyTime now);

    Duty& m_duty;
    const std::shared_ptr<std::size_t> m_open = std::make_shared<std::size_t>(0); // Connections, kept ones among them.
    std::map<Address, Kept> m_kept;
    SteadyTime m_nextSweep;
};

// Returns the failure for an exchange that broke off after a connection was there.
Failure exchangeFailure(const boost::system::error_code& error, const Address& address, std::size_t bytesWritten, ErrorKind lostKind);

}
