// Writes the answer to one request of a server's connection.
#pragma once

#include "internal/FiberSocket.h"
#include "whinyard/net/HttpServer.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>

namespace whinyard::net::internal {

// What of a request decides how its answer is written.
struct AnswerMode {
    unsigned version = 11; // HTTP version as Beast counts it.
    bool keepAlive = true; // Whether the peer wants to keep the connection.
    bool isHead = false;
    std::chrono::milliseconds sendTimeout { 30'000 };
    std::function<bool()> mustClose; // Tells, when the head is written, whether the server drains.
};

class HttpResponderImpl final : public HttpResponder {
public:
    HttpResponderImpl(FiberSocket& socket, AnswerMode mode);
    ~HttpResponderImpl() override;

    bool send(const HttpResponse& response) override;
    bool begin(const HttpResponse& head) override;
    bool write(std::string_view piece) override;
    bool end() override;
    void abort() override;
    bool peerGone() const override;
    void whenPeerGone(std::function<void()> observer) override;

    bool started() const { return m_state != State::fresh; }

    // Returns whether the answer is whole and the connection can take another request.
    bool reusable() const { return m_state == State::ended && m_keepAlive; }

    // Returns whether the answer is whole.
    bool ended() const { return m_state == State::ended; }

private:
    enum class State {
        fresh,
        streaming,
        ended,
        broken,
    };

    template <typename Header>
    void prepare(Header& header, const HttpResponse& response);
    bool finish(const boost::system::error_code& error, State next);

    FiberSocket& m_socket;
    std::shared_ptr<SocketWatch> m_watch;
    const AnswerMode m_mode;
    State m_state = State::fresh;
    bool m_keepAlive = false;
    bool m_chunked = false;
    bool m_bodiless = false;
};

}
