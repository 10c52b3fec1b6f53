// A blocking TCP connection for tests that must send what no HTTP library would send, or close at a
// chosen point. Used on the test's own thread.
#pragma once

#include "whinyard/net/Address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <string>
#include <string_view>

namespace whinyard::net::testing {

class RawConnection {
public:
    explicit RawConnection(const Address& address)
        : m_socket(m_loop)
    {
        m_socket.connect({ boost::asio::ip::make_address(address.host), address.port });
    }

    // Takes a connection from a listener.
    explicit RawConnection(boost::asio::ip::tcp::acceptor& acceptor)
        : m_socket(m_loop)
    {
        acceptor.accept(m_socket);
    }

    void write(std::string_view bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }

    // Returns what arrives, up to and including `end`, or until the peer closes.
    std::string readUntil(std::string_view end)
    {
        boost::system::error_code error;
        const std::size_t size = boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(m_buffer), end, error);
        std::string text = m_buffer.substr(0, error ? m_buffer.size() : size);
        m_buffer.erase(0, text.size());
        return text;
    }

    // Returns all that arrives until the peer closes.
    std::string readAll()
    {
        boost::system::error_code error;
        boost::asio::read(m_socket, boost::asio::dynamic_buffer(m_buffer), error);
        return std::exchange(m_buffer, {});
    }

    void close() { m_socket.close(); }

    // Closes the own direction; the peer may have gone.
    void shutdownSend()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    // Closes with a reset in place of a proper end.
    void reset()
    {
        m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

private:
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_buffer;
};

}
