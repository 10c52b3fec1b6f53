// A server whose answers a test writes byte by byte, on a thread of its own, for tests of what clients make of broken ones.
#pragma once

#include "whinyard/net/Address.h"
#include "whinyard/net/RawConnection.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace whinyard::net::testing {

class BrokenServer {
public:
    BrokenServer()
        : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), 0 })
        , m_thread([this] { serve(); })
    {
    }

    ~BrokenServer()
    {
        m_isEnding = true;
        RawConnection { address() }.write("\r\n\r\n");
        m_thread.join();
    }

    Address address() const { return { "127.0.0.1", m_acceptor.local_endpoint().port() }; }

    // Has it answer each request whose head it has read by `answer` from now on.
    void useAnswer(std::function<void(RawConnection&)> answer)
    {
        const std::lock_guard lock(m_mutex);
        m_answer = std::move(answer);
    }

    // Has it send `bytes`, and then close its connection or reset it.
    void useBytes(std::string bytes, bool resets = false)
    {
        useAnswer([bytes = std::move(bytes), resets](RawConnection& connection) {
            connection.write(bytes);
            if (resets)
                connection.reset();
        });
    }

private:
    void serve()
    {
        while (!m_isEnding) {
            RawConnection connection(m_acceptor);
            if (!connection.readUntil("\r\n\r\n").ends_with("\r\n\r\n"))
                continue; // It was only asked whether it listens.
            const std::lock_guard lock(m_mutex);
            try {
                if (m_answer)
                    m_answer(connection);
            } catch (const boost::system::system_error&) {
                // The client has closed.
            }
        }
    }

    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isEnding = false;
    std::mutex m_mutex;
    std::function<void(RawConnection&)> m_answer;
    std::thread m_thread;
};

// Heads that end nowhere, or are none: each seventh part of heads with a length, with chunks, without either, and behind an interim one,
// and forms of a status or a line that HTTP doesn't have. No client may take any of them for an answer.
inline std::vector<std::string> brokenHeads()
{
    constexpr std::size_t step = 7;
    std::vector<std::string> heads {
        "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\n Content-Length: 1\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nX-Own: 1\r\n Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    };
    for (const std::string& head : {
             std::string("HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 2\r\n\r\n"),
             std::string("HTTP/1.1 200 OK\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
             std::string("HTTP/1.0 200 OK\r\nX-Own: 1\r\n\r\n"),
             std::string("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
         }) {
        for (std::size_t size = 0; size < head.size(); size += step)
            heads.push_back(head.substr(0, size));
        heads.push_back(head.substr(0, head.size() - 1));
    }
    return heads;
}

}
