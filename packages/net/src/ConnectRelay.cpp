#include "whinyard/net/ConnectRelay.h"

#include "internal/BeastMessage.h"
#include "internal/Endpoint.h"
#include "internal/RelayFraming.h"
#include "internal/TcpServer.h"

#include <boost/asio.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace whinyard::net {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using internal::FiberSocket;
using internal::ServerConnection;
using internal::TcpServer;

namespace {

    constexpr std::uint32_t headBytes = 4 * 1024;
    constexpr std::size_t pieceBytes = 8 * 1024; // They lie on a fiber's stack.

    // A client that has the whole answer closes at once.
    constexpr std::chrono::milliseconds lastClose { 1'000 };

    // Why bytes are passed on no longer.
    struct PassedBytes {
        error_code readError; // The one of them that came first; eof for a proper end.
        error_code writeError;
        std::size_t count = 0;
    };

    // Passes on what comes until one of the connections ends, in frames or as it is.
    PassedBytes passOn(FiberSocket& from, FiberSocket& to, bool isFramed)
    {
        std::array<char, pieceBytes> bytes;
        PassedBytes passed;
        while (!passed.readError && !passed.writeError) {
            const std::size_t size = from.read_some(asio::buffer(bytes), passed.readError);
            passed.count += size;
            if (size == 0)
                continue;
            const std::string head = isFramed ? internal::dataFrameHead(size) : std::string();
            const std::array<asio::const_buffer, 2> frame { asio::buffer(head), asio::buffer(bytes.data(), size) };
            asio::write(to, frame, passed.writeError);
        }
        return passed;
    }

    RelayedEnd endOf(const PassedBytes& answer)
    {
        if (answer.readError == asio::error::timed_out || answer.writeError == asio::error::timed_out)
            return RelayedEnd::expired;
        if (answer.writeError || answer.readError == asio::error::operation_aborted)
            return RelayedEnd::clientLeft;
        return answer.readError == asio::error::eof ? RelayedEnd::serverClosed : RelayedEnd::serverLost;
    }

    // One client's connection and the one that was made for it.
    class Tunnel {
    public:
        Tunnel(ServerConnection& client, const ConnectRelayLimits& limits, const RelayGate& gate, const RelayObserver& ended)
            : m_client(client.socket)
            , m_server(Duty::current()->loop())
            , m_limits(limits)
            , m_gate(gate)
            , m_ended(ended)
        {
        }

        void run(boost::beast::flat_buffer& buffer)
        {
            m_client.findDeadPeer();
            if (!answer(open(buffer)))
                return;
            error_code error; // Shows again in what is passed on.
            asio::write(m_server, buffer.data(), error);
            m_client.expireAfter(m_limits.lifetime);
            m_server.expireAfter(m_limits.lifetime);
            Duty::current()->spawn([this] { passRequest(); });
            m_ended(m_connect, passAnswer());
            while (!m_requestPassed)
                m_requestEnd.wait(m_limits.lifetime);
        }

    private:
        http::status open(boost::beast::flat_buffer& buffer)
        {
            error_code error;
            http::request_parser<http::empty_body> request;
            request.header_limit(headBytes);
            m_client.expireAfter(m_limits.headTimeout);
            http::read_header(m_client, buffer, request, error);
            if (error)
                return http::status::bad_request;
            if (request.get().method() != http::verb::connect)
                return http::status::method_not_allowed;
            // What follows the head belongs to the server, and a body to nobody.
            if (request.get().find(http::field::transfer_encoding) != request.get().end() || request.get().find(http::field::content_length) != request.get().end())
                return http::status::bad_request;
            Failure failure;
            const std::optional<Address> server = parseAddress(std::string_view(request.get().target()), failure);
            if (!server)
                return http::status::bad_request;
            const std::optional<tcp::endpoint> from = m_client.peer();
            m_isFramed = request.get()[internal::relayFramingField] == internal::relayFramingValue;
            if (!from)
                return http::status::service_unavailable;
            m_connect = { internal::toAddress(*from), *server, internal::plainFields(request.get()) };
            const std::optional<Address> target = m_gate(m_connect);
            const auto endpoint = target ? internal::toEndpoint<tcp>(*target, failure) : std::nullopt;
            if (!endpoint)
                return http::status::service_unavailable;
            m_server.expireAfter(m_limits.connectTimeout);
            m_server.connect(*endpoint, error);
            if (!error)
                return http::status::ok;
            if (internal::isOwnShortage(error))
                return http::status::service_unavailable; // Declines: another relay may have what this one lacks.
            return error == asio::error::timed_out ? http::status::gateway_timeout : http::status::bad_gateway;
        }

        // Returns whether bytes are to be passed on.
        bool answer(http::status status)
        {
            constexpr unsigned version11 = 11;
            const bool isOpen = status == http::status::ok;
            http::response<http::empty_body> head(status, version11);
            if (isOpen && m_isFramed)
                head.set(internal::relayFramingField, internal::relayFramingValue);
            if (!isOpen)
                head.set(http::field::connection, "close");
            error_code error;
            m_client.expireAfter(m_limits.headTimeout);
            http::write(m_client, head, error);
            return isOpen && !error;
        }

        // A client that closes has given the call up: the server is to know at once.
        void passRequest()
        {
            const PassedBytes request = passOn(m_client, m_server, false);
            // A server that takes no more of the request may have answered it.
            if (!request.writeError)
                m_server.close();
            m_requestPassed = true;
            m_requestEnd.notify();
        }

        RelayedResult passAnswer()
        {
            const PassedBytes answer = passOn(m_server, m_client, m_isFramed);
            const RelayedEnd end = endOf(answer);
            if (end == RelayedEnd::serverClosed || (m_isFramed && end != RelayedEnd::clientLeft))
                close(end);
            else
                m_client.reset(); // A cut answer must not look like one that has ended.
            return { end, answer.count };
        }

        void close(RelayedEnd end)
        {
            m_client.expireAfter(lastClose);
            error_code ignored; // Without the last frame the client takes the answer for cut.
            if (m_isFramed)
                asio::write(m_client, asio::buffer(internal::endFrame(end)), ignored);
            m_client.shutdownSend();
        }

        FiberSocket& m_client;
        FiberSocket m_server;
        const ConnectRelayLimits& m_limits;
        const RelayGate& m_gate;
        const RelayObserver& m_ended;
        RelayedConnect m_connect;
        Signal m_requestEnd;
        bool m_isFramed = false;
        bool m_requestPassed = false;
    };

    void serve(TcpServer& server, ServerConnection& connection, const ConnectRelayLimits& limits, const RelayGate& gate, const RelayObserver& ended)
    {
        boost::beast::flat_buffer buffer;
        if (!server.awaitRequest(connection, buffer, limits.headTimeout))
            return;
        const TcpServer::ActiveRequest active(server);
        Tunnel(connection, limits, gate, ended).run(buffer);
    }

}

std::unique_ptr<ConnectRelay> ConnectRelay::open(Duty& duty, const Address& address, const ConnectRelayLimits& limits, RelayGate gate, RelayObserver ended, Failure& failure)
{
    auto serveAll = [limits, gate = std::move(gate), ended = std::move(ended)](TcpServer& server, ServerConnection& connection) { serve(server, connection, limits, gate, ended); };
    auto server = TcpServer::open(duty, address, limits.connections, std::move(serveAll), failure);
    if (!server)
        return nullptr;
    return std::make_unique<internal::ServerOver<ConnectRelay>>(std::move(server));
}

}
