// Reads an answer in pieces from a client's connection.
#pragma once

#include "internal/ConnectionPool.h"
#include "whinyard/net/HttpClient.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <memory>
#include <optional>

namespace whinyard::net::internal {

using StreamParser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

class HttpStreamImpl final : public HttpStream {
public:
    HttpStreamImpl(const HttpStreamImpl&) = delete;
    HttpStreamImpl& operator=(const HttpStreamImpl&) = delete;
    HttpStreamImpl(std::shared_ptr<ConnectionPool> pool, Address address, std::unique_ptr<ClientConnection> connection, std::unique_ptr<StreamParser> parser, std::chrono::milliseconds pieceTimeout);

    ~HttpStreamImpl() override;

    const HttpResponse& head() const override { return m_head; }
    std::optional<std::string> read(Failure& failure) override;
    bool endsWithConnection() const override { return m_endsWithConnection; }
    std::optional<RelayedEnd> relayedEnd() const override { return m_frames ? m_frames->statedEnd() : std::nullopt; }
    void usePieceTimeout(std::chrono::milliseconds timeout) override { m_pieceTimeout = timeout; }
    void cancel() override;

private:
    // Reads from the connection once; returns the bytes of the body that came with it, which may be none.
    std::string readSome(boost::system::error_code& error);
    void parseBuffered();
    bool endHasArrived();
    std::string finish();
    std::nullopt_t fail(const boost::system::error_code& error, Failure& failure);

    const std::shared_ptr<ConnectionPool> m_pool;
    const Address m_address;
    std::unique_ptr<ClientConnection> m_connection;
    const std::shared_ptr<RelayFrameReader> m_frames; // Outlives the connection.
    std::unique_ptr<StreamParser> m_parser;
    std::chrono::milliseconds m_pieceTimeout;
    HttpResponse m_head;
    bool m_endsWithConnection = false;
    bool m_finished = false;
    bool m_cancelled = false;
};

}
