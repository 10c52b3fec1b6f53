#include "whinyard/net/UdpSocket.h"

#include "internal/Endpoint.h"
#include "whinyard/base/Clock.h"

#include <boost/asio.hpp>

namespace whinyard::net {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

namespace {

    class UdpSocketImpl final : public UdpSocket {
    public:
        explicit UdpSocketImpl(Duty& duty)
            : m_socket(duty.loop())
        {
        }

        ~UdpSocketImpl() override { close(); }

        bool open(const Address& address, Failure& failure)
        {
            const auto endpoint = internal::toEndpoint<udp>(address, failure);
            if (!endpoint)
                return false;
            error_code error;
            m_socket.open(endpoint->protocol(), error);
            if (!error)
                m_socket.bind(*endpoint, error);
            if (!error)
                m_socket.non_blocking(true, error);
            if (error) {
                const std::string why = error == asio::error::address_in_use ? "the port is in use" : error.message();
                failure = Failure { ErrorKind::invalidSettings, "can't bind UDP " + toText(address) + ": " + why };
                return false;
            }
            m_address = internal::toAddress(m_socket.local_endpoint());
            startWatching();
            return true;
        }

        Address address() const override { return m_address; }

        bool send(const Address& to, std::string_view bytes, Failure& failure) override
        {
            if (bytes.size() > maximumDatagramBytes) {
                failure = Failure { ErrorKind::bodyTooLarge, "a datagram of " + std::to_string(bytes.size()) + " bytes is over its limit" };
                return false;
            }
            const auto endpoint = internal::toEndpoint<udp>(to, failure);
            if (!endpoint)
                return false;
            error_code error;
            m_socket.send_to(asio::buffer(bytes.data(), bytes.size()), *endpoint, 0, error);
            if (error)
                failure = Failure { ErrorKind::peerUnreachable, "can't send to " + toText(to) + ": " + error.message() };
            return !error;
        }

        std::optional<Datagram> receive(std::chrono::nanoseconds timeout, Failure& failure) override
        {
            const auto state = m_state; // The socket may be closed while the fiber waits.
            const SteadyTime start = std::chrono::steady_clock::now();
            while (!state->closed) {
                if (auto datagram = receiveNow())
                    return datagram;
                const auto passed = std::chrono::steady_clock::now() - start;
                if (passed >= timeout || !state->readable.wait(timeout - passed)) {
                    failure = Failure { ErrorKind::deadlineExceeded, "no datagram arrived in time" };
                    return std::nullopt;
                }
            }
            failure = Failure { ErrorKind::cancelled, "the UDP socket is closed" };
            return std::nullopt;
        }

        void close() override
        {
            m_state->closed = true;
            error_code ignored;
            m_socket.close(ignored);
            m_state->readable.notify();
        }

    private:
        // What a waiting fiber and the loop's handler share with the socket.
        struct State {
            Signal readable;
            bool watching = false;
            bool closed = false;
        };

        void startWatching()
        {
            if (std::exchange(m_state->watching, true))
                return;
            m_socket.async_wait(asio::socket_base::wait_read, [state = m_state](const error_code&) {
                state->watching = false;
                state->readable.notify();
            });
        }

        // Returns the next datagram that has arrived and isn't too long.
        std::optional<Datagram> receiveNow()
        {
            std::string bytes(maximumDatagramBytes + 1, '\0');
            for (;;) {
                udp::endpoint from;
                error_code error;
                const std::size_t size = m_socket.receive_from(asio::buffer(bytes), from, 0, error);
                if (error == asio::error::would_block || error == asio::error::try_again || !m_socket.is_open()) {
                    startWatching();
                    return std::nullopt;
                }
                // An earlier datagram that nobody took makes the system report connection_refused here.
                if (error || size > maximumDatagramBytes)
                    continue;
                bytes.resize(size);
                return Datagram { internal::toAddress(from), std::move(bytes) };
            }
        }

        udp::socket m_socket;
        Address m_address;
        std::shared_ptr<State> m_state = std::make_shared<State>();
    };

}

std::unique_ptr<UdpSocket> UdpSocket::bind(Duty& duty, const Address& address, Failure& failure)
{
    auto socket = std::make_unique<UdpSocketImpl>(duty);
    if (!socket->open(address, failure))
        return nullptr;
    return socket;
}

}
