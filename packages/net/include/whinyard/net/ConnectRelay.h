// Makes connections for other processes to servers that they can't reach themselves, and passes bytes on in both directions: an
// HTTP proxy that knows the method CONNECT alone (RFC 9110, 9.3.6).
//
// A client that asks for it gets the server's bytes in frames, the last of which states what has ended them: without that the end of
// the relaying process looks like the end of an answer that has no length.
//
// An instance that has lost its way to an endpoint connects by way of another instance's relay; see HttpCallOptions::relay.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/net/Address.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpMessage.h"
#include "whinyard/net/RelayedEnd.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace whinyard::net {

struct ConnectRelayLimits {
    std::size_t connections = 256; // Further ones are closed at once.
    std::chrono::milliseconds headTimeout { 1'000 }; // For the request to connect.
    std::chrono::milliseconds connectTimeout { 150 }; // Less than a client waits for it.
    std::chrono::milliseconds lifetime { 120'000 }; // Of a connection.
};

// A request to connect.
struct RelayedConnect {
    Address from;
    Address server; // By the client's knowledge.
    std::vector<HttpField> fields;
};

// Returns where to connect; nothing declines. Called on the duty's thread.
using RelayGate = std::function<std::optional<Address>(const RelayedConnect&)>;

struct RelayedResult {
    RelayedEnd end = RelayedEnd::serverLost;
    std::size_t answerBytes = 0; // That the server has sent.
};

// Is told how each relayed connection has ended. Called on the duty's thread.
using RelayObserver = std::function<void(const RelayedConnect&, const RelayedResult&)>;

// Accepts connections until it is closed. All functions are called on the duty's thread.
class ConnectRelay {
public:
    // Opens the listening socket; port 0 takes a free one. On failure returns null with the reason.
    static std::unique_ptr<ConnectRelay> open(Duty& duty, const Address& address, const ConnectRelayLimits& limits, RelayGate gate, RelayObserver ended, Failure& failure);

    virtual ~ConnectRelay() = default;

    // Returns the bound address.
    virtual Address address() const = 0;

    // Returns how many connections are being made or stand now.
    virtual std::size_t active() const = 0;

    // Returns how many accepted connections stand now, each of which has another one to its server.
    virtual std::size_t connections() const = 0;

    // Stops accepting. Connections that stand go on.
    virtual void drain() = 0;

    // Returns whether it drains and no connection is left.
    virtual bool isDrained() const = 0;

    // Closes everything at once.
    virtual void close() = 0;
};

}
