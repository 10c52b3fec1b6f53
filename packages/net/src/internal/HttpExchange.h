// One request and its answer on a connection of a client.
#pragma once

#include "internal/ConnectionPool.h"
#include "whinyard/net/HttpClient.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace whinyard::net::internal {

// Sends `request` and reads the head of its answer, on a kept connection if there is a live one and the
// options allow it. A kept connection that took no byte is replaced. Afterwards connection() is ready to read the
// body.
class HttpExchange {
public:
    HttpExchange(ConnectionPool& pool, const Address& address, const HttpRequest& request, const HttpCallOptions& options, HttpCallProgress& progress);

    ~HttpExchange();
    HttpExchange(const HttpExchange&) = delete;
    HttpExchange& operator=(const HttpExchange&) = delete;

    // `parser` reads the head; a body limit and skip() are set by this function. Returns false with the reason.
    template <typename Body>
    bool start(std::unique_ptr<boost::beast::http::response_parser<Body>>& parser, Failure& failure);

    ClientConnection& connection() { return *m_connection; }
    std::unique_ptr<ClientConnection> releaseConnection();

    // Returns the failure for `error` while this exchange ran.
    Failure failureFor(const boost::system::error_code& error);

private:
    bool takeConnection(Failure& failure);
    bool isCancelled() const { return m_options.cancellation && m_options.cancellation->cancelled(); }
    bool send(boost::system::error_code& error);
    // Returns whether the answer, whose head was read, may end as it does.
    bool acceptsEnd(bool endsWithConnection, Failure& failure);
    template <typename Body>
    bool readHead(std::unique_ptr<boost::beast::http::response_parser<Body>>& parser, boost::system::error_code& error);

    ConnectionPool& m_pool;
    const Address& m_address;
    const HttpRequest& m_request;
    const HttpCallOptions& m_options;
    HttpCallProgress& m_progress;
    const SteadyTime m_deadline;
    std::unique_ptr<ClientConnection> m_connection;
    bool m_mayReuse;
};

}
