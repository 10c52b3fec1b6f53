#include "whinyard/net/HttpServer.h"

#include "internal/BeastMessage.h"
#include "internal/HttpResponderImpl.h"
#include "internal/MessageFraming.h"
#include "internal/TcpServer.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <exception>

namespace whinyard::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using internal::FiberSocket;
using internal::FramingFault;
using internal::HttpResponderImpl;
using internal::ServerConnection;
using internal::TcpServer;

namespace {

    // How long, and how much, a connection is still read after an early error answer. Closing with unread
    // bytes would reset it and could lose the answer.
    constexpr std::chrono::milliseconds lingerTime { 1'000 };
    // The same after an answer that closes its connection, while a drain may wait for it.
    constexpr std::chrono::milliseconds closingLingerTime { 200 };
    constexpr std::size_t lingerBytes = 4 * 1024 * 1024;

    using RequestParser = http::request_parser<http::string_body>;

    HttpRequest toPlain(http::request<http::string_body>&& message)
    {
        HttpRequest request;
        request.method = message.method_string();
        request.target = message.target();
        request.fields = internal::plainFields(message);
        request.body = std::move(message.body());
        return request;
    }

    // Returns the refusal for a request that can't be read, or nothing when nobody waits for one.
    std::optional<Failure> refusalFor(const error_code& error)
    {
        if (error == http::error::header_limit)
            return Failure { ErrorKind::bodyTooLarge, "the header is over its limit" };
        if (error == http::error::body_limit)
            return Failure { ErrorKind::bodyTooLarge, "the body is over its limit" };
        if (error == asio::error::timed_out)
            return Failure { ErrorKind::requestTimeout, "the request arrived too slowly" };
        if (error == http::error::end_of_stream || error == http::error::partial_message)
            return std::nullopt;
        if (error.category() == http::make_error_code(http::error::bad_method).category())
            return Failure { ErrorKind::malformedRequest, "the request is no valid HTTP: " + error.message() };
        return std::nullopt;
    }

    HttpResponse errorResponse(const Failure& failure)
    {
        HttpResponse response;
        response.status = answerFor(failure.kind).httpStatus;
        response.fields = { { "Content-Type", "application/json" } };
        response.body = errorBody(failure);
        return response;
    }

    // Serves the requests of one connection, one after another.
    class Session {
    public:
        Session(TcpServer& server, ServerConnection& connection, const HttpServerLimits& limits, const HttpHandler& handler)
            : m_server(server)
            , m_connection(connection)
            , m_limits(limits)
            , m_handler(handler)
            , m_buffer(limits.headerBytes + readAheadBytes)
        {
        }

        void run()
        {
            while (m_server.awaitRequest(m_connection, m_buffer, m_limits.idleTimeout)) {
                if (!serveOne())
                    return;
            }
        }

    private:
        static constexpr std::size_t readAheadBytes = 64 * 1024;

        // Returns whether the connection can take another request.
        bool serveOne()
        {
            const TcpServer::ActiveRequest active(m_server);
            RequestParser parser;
            error_code error;
            read(parser, error);
            if (error) {
                refuse(error);
                return false;
            }
            return answer(parser);
        }

        void read(RequestParser& parser, error_code& error)
        {
            parser.header_limit(static_cast<std::uint32_t>(m_limits.headerBytes));
            parser.body_limit(m_limits.bodyBytes);
            m_connection.socket.expireAfter(m_limits.receiveTimeout);
            http::read_header(m_connection.socket, m_buffer, parser, error);
            m_fault = error ? FramingFault::none : internal::framingFault(parser.get(), parser.get().version());
            if (m_fault != FramingFault::none)
                error = http::error::bad_transfer_encoding;
            if (error || parser.is_done())
                return;
            if (beast::iequals(parser.get()[http::field::expect], "100-continue"))
                sendContinue(error);
            if (!error)
                http::read(m_connection.socket, m_buffer, parser, error);
        }

        void sendContinue(error_code& error)
        {
            static constexpr std::string_view line = "HTTP/1.1 100 Continue\r\n\r\n";
            asio::write(m_connection.socket, asio::buffer(line), error);
        }

        bool answer(RequestParser& parser)
        {
            internal::AnswerMode mode;
            mode.version = parser.get().version();
            mode.keepAlive = parser.get().keep_alive();
            mode.isHead = parser.get().method() == http::verb::head;
            mode.sendTimeout = m_limits.sendTimeout;
            mode.mustClose = [this] { return m_server.isDraining(); };
            const bool callerKeeps = mode.keepAlive;
            bool ended = false;
            bool reusable = false;
            {
                HttpResponderImpl responder(m_connection.socket, std::move(mode));
                const HttpRequest request = toPlain(parser.release());
                handle(request, responder);
                ended = responder.ended();
                reusable = responder.reusable();
                if (!ended)
                    responder.abort();
            } // What the handler had watch the caller ends here.
            if (ended && callerKeeps && !reusable)
                linger(closingLingerTime); // Its next request may be on its way.
            return reusable;
        }

        void handle(const HttpRequest& request, HttpResponder& responder)
        {
            Failure failure { ErrorKind::internalError, "the handler gave no answer", {}, RunState::unknown };
            try {
                m_handler(request, responder);
            } catch (const std::exception& exception) {
                failure.reason = exception.what();
            }
            // Does nothing when the handler has answered.
            responder.send(errorResponse(failure));
        }

        void refuse(const error_code& error)
        {
            const auto failure = refusalFor(error);
            if (!failure)
                return;
            HttpResponse response = errorResponse(*failure);
            if (error == http::error::header_limit)
                response.status = static_cast<int>(http::status::request_header_fields_too_large);
            if (m_fault == FramingFault::unknownCoding)
                response.status = static_cast<int>(http::status::not_implemented);
            HttpResponderImpl responder(m_connection.socket, { .keepAlive = false, .sendTimeout = m_limits.sendTimeout, .mustClose = nullptr });
            if (responder.send(response))
                linger(lingerTime);
        }

        void linger(std::chrono::milliseconds time)
        {
            FiberSocket& socket = m_connection.socket;
            socket.shutdownSend();
            socket.expireAfter(time);
            std::size_t total = 0;
            error_code error;
            m_buffer.clear();
            while (!error && total < lingerBytes)
                total += socket.read_some(m_buffer.prepare(m_limits.headerBytes), error);
        }

        TcpServer& m_server;
        ServerConnection& m_connection;
        const HttpServerLimits& m_limits;
        const HttpHandler& m_handler;
        beast::flat_buffer m_buffer;
        FramingFault m_fault = FramingFault::none; // Of the request that was read last.
    };

    class HttpServerImpl final : public internal::ServerOver<HttpServer> {
    public:
        HttpServerImpl(std::shared_ptr<TcpServer> server, std::shared_ptr<HttpServerLimits> limits)
            : ServerOver(std::move(server))
            , m_limits(std::move(limits))
        {
        }

        void useLimits(const HttpServerLimits& limits) override { *m_limits = limits; }
        void useAdmission(AdmissionPause pause) override { server().useAdmission(std::move(pause)); }
        void announceClose() override { server().announceClose(); }

    private:
        const std::shared_ptr<HttpServerLimits> m_limits; // Shared with the connections' fibers.
    };

}

std::unique_ptr<HttpServer> HttpServer::open(Duty& duty, const Address& address, const HttpServerLimits& limits, HttpHandler handler, Failure& failure)
{
    const auto current = std::make_shared<HttpServerLimits>(limits);
    auto serve = [current, handler = std::move(handler)](TcpServer& server, ServerConnection& connection) {
        Session(server, connection, *current, handler).run();
    };
    auto server = TcpServer::open(duty, address, limits.connections, std::move(serve), failure);
    if (!server)
        return nullptr;
    return std::make_unique<HttpServerImpl>(std::move(server), current);
}

}
