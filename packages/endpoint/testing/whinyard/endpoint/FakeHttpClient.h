// An HTTP client that answers from a script, for tests of the endpoint clients.
#pragma once

#include "whinyard/net/HttpClient.h"

#include <deque>
#include <functional>
#include <optional>
#include <utility>
#include <vector>

namespace whinyard::endpoint {

// What the next call meets. Pieces are the answer's body as the connection cuts it.
struct FakeExchange {
    std::size_t bytesWritten = 100;
    bool connectionLost = false; // Without an answer, or after the last piece.
    net::HttpResponse head;
    std::vector<std::string> pieces;
    bool answerOverLimit = false; // The connection was lost for it.
    bool endsWithConnection = false; // The answer has neither a length nor chunks.
    std::function<void()> onRead {}; // Runs before each piece is read, as if that took time.
    std::chrono::nanoseconds connectTime { 0 };
    std::optional<net::ConnectOutcome> connect {}; // Without one: refused where no byte was written.
};

class FakeHttpClient final : public net::HttpClient {
public:
    std::deque<FakeExchange> exchanges;
    std::vector<net::HttpRequest> requests;
    std::vector<net::HttpCallOptions> options;
    std::function<void()> onCall; // Runs once, during the next call.

    std::optional<net::HttpResponse> call(const net::Address&, const net::HttpRequest& request, const net::HttpCallOptions& callOptions, net::HttpCallProgress& progress, Failure& failure) override
    {
        const FakeExchange exchange = take(request, callOptions, progress);
        if (exchange.connectionLost) {
            failure = lost(exchange);
            return std::nullopt;
        }
        net::HttpResponse response = exchange.head;
        for (const std::string& piece : exchange.pieces)
            response.body += piece;
        return response;
    }

    std::unique_ptr<net::HttpStream> open(const net::Address&, const net::HttpRequest& request, const net::HttpCallOptions& callOptions, net::HttpCallProgress& progress, Failure& failure) override
    {
        FakeExchange exchange = take(request, callOptions, progress);
        if (!exchange.connectionLost || !exchange.pieces.empty())
            return std::make_unique<Stream>(std::move(exchange));
        failure = lost(exchange);
        return nullptr;
    }

private:
    class Stream final : public net::HttpStream {
    public:
        explicit Stream(FakeExchange exchange)
            : m_exchange(std::move(exchange))
        {
        }

        const net::HttpResponse& head() const override { return m_exchange.head; }

        std::optional<std::string> read(Failure& failure) override
        {
            if (m_exchange.onRead)
                m_exchange.onRead();
            if (m_cancelled) {
                failure = { .kind = ErrorKind::cancelled, .reason = "cancelled" };
                return std::nullopt;
            }
            if (m_next < m_exchange.pieces.size())
                return m_exchange.pieces[m_next++];
            if (!m_exchange.connectionLost)
                return std::string();
            failure = lost(m_exchange);
            return std::nullopt;
        }

        bool endsWithConnection() const override { return m_exchange.endsWithConnection; }

        void cancel() override
        {
            m_exchange.connectionLost = true;
            m_cancelled = true;
        }

    private:
        FakeExchange m_exchange;
        std::size_t m_next = 0;
        bool m_cancelled = false;
    };

    static Failure lost(const FakeExchange& exchange)
    {
        return { .kind = exchange.bytesWritten == 0 ? ErrorKind::peerUnreachable : ErrorKind::endpointFailed, .reason = "the connection was lost" };
    }

    FakeExchange take(const net::HttpRequest& request, const net::HttpCallOptions& callOptions, net::HttpCallProgress& progress)
    {
        requests.push_back(request);
        options.push_back(callOptions);
        if (onCall)
            std::exchange(onCall, nullptr)();
        // A call that no test has scripted is lost after its first byte.
        FakeExchange exchange { .bytesWritten = 1, .connectionLost = true, .head = {}, .pieces = {}, .onRead = {}, .connect = {} };
        if (!exchanges.empty()) {
            exchange = exchanges.front();
            exchanges.pop_front();
        }
        progress.connect = exchange.connect.value_or(exchange.bytesWritten == 0 ? net::ConnectOutcome::refused : net::ConnectOutcome::connected);
        progress.connectTime = exchange.connectTime;
        progress.bytesWritten = exchange.bytesWritten;
        progress.answerOverLimit = exchange.answerOverLimit;
        progress.responseStarted = !exchange.connectionLost || !exchange.pieces.empty();
        return exchange;
    }
};

}
