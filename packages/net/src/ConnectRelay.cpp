#include "whinyard/net/ConnectRelay.h"

#include "internal/BeastMessage.h"
#include "internal/Endpoint.h"
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

    // Passes on what comes until the connection ends. Returns eof for a proper end.
    error_code passOn(FiberSocket& from, FiberSocket& to)
    {
        std::array<char, pieceBytes> bytes;
        error_code error;
        while (!error) {
            const std::size_t size = from.read_some(asio::buffer(bytes), error);
            if (size > 0) {
                error_code writeError;
                asio::write(to, asio::buffer(bytes.data(), size), writeError);
                error = writeError ? writeError : error;
            }
        }
        return error;
    }

    // One client's connection and the one that was made for it.
    class Tunnel {
    public:
        Tunnel(ServerConnection& client, const ConnectRelayLimits& limits, const RelayGate& gate)
            : m_client(client.socket)
            , m_server(Duty::current()->loop())
            , m_limits(limits)
            , m_gate(gate)
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
            passAnswer();
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
            Failure failure;
            const std::optional<Address> server = parseAddress(std::string_view(request.get().target()), failure);
            if (!server)
                return http::status::bad_request;
            const std::optional<tcp::endpoint> from = m_client.peer();
            const std::optional<Address> target = from ? m_gate({ internal::toAddress(*from), *server, internal::plainFields(request.get()) }) : std::nullopt;
            const auto endpoint = target ? internal::toEndpoint<tcp>(*target, failure) : std::nullopt;
            if (!endpoint)
                return http::status::service_unavailable;
            m_server.expireAfter(m_limits.connectTimeout);
            m_server.connect(*endpoint, error);
            if (!error)
                return http::status::ok;
            return error == asio::error::timed_out ? http::status::gateway_timeout : http::status::bad_gateway;
        }

        // Returns whether bytes are to be passed on.
        bool answer(http::status status)
        {
            constexpr unsigned version11 = 11;
            const bool isOpen = status == http::status::ok;
            http::response<http::empty_body> head(status, version11);
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
            passOn(m_client, m_server);
            m_server.close();
            m_requestPassed = true;
            m_requestEnd.notify();
        }

        void passAnswer()
        {
            if (passOn(m_server, m_client) != asio::error::eof) {
                m_client.reset(); // A cut answer must not look like one that has ended.
                return;
            }
            m_client.shutdownSend();
            m_client.expireAfter(lastClose);
        }

        FiberSocket& m_client;
        FiberSocket m_server;
        const ConnectRelayLimits& m_limits;
        const RelayGate& m_gate;
        Signal m_requestEnd;
        bool m_requestPassed = false;
    };

    void serve(TcpServer& server, ServerConnection& connection, const ConnectRelayLimits& limits, const RelayGate& gate)
    {
        boost::beast::flat_buffer buffer;
        if (!server.awaitRequest(connection, buffer, limits.headTimeout))
            return;
        const TcpServer::ActiveRequest active(server);
        Tunnel(connection, limits, gate).run(buffer);
    }

}

std::unique_ptr<ConnectRelay> ConnectRelay::open(Duty& duty, const Address& address, const ConnectRelayLimits& limits, RelayGate gate, Failure& failure)
{
    auto serveAll = [limits, gate = std::move(gate)](TcpServer& server, ServerConnection& connection) { serve(server, connection, limits, gate); };
    auto server = TcpServer::open(duty, address, limits.connections, std::move(serveAll), failure);
    if (!server)
        return nullptr;
    return std::make_unique<internal::ServerOver<ConnectRelay>>(std::move(server));
}

}
