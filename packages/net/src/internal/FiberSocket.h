// A TCP socket whose reads and writes suspend the calling fiber, under a deadline.
//
// A write, and a read that can expect more bytes, first try the system call and wait for the event loop only when it
// would block. The class models Beast's SyncReadStream and SyncWriteStream, so Beast's plain functions
// work on it.
#pragma once

#include "internal/ReadFilter.h"
#include "whinyard/base/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

namespace whinyard::net::internal {

// A running watch of a socket. Without an observer it ends unheard.
struct SocketWatch {
    std::function<void()> observer;
};

// Returns whether a connect has failed for what this process or machine lacks, of which neither the peer nor the way to it knows.
bool isOwnShortage(const boost::system::error_code& error);

// A connected or unconnected socket. It belongs to the duty of its event loop.
class FiberSocket {
public:
    using executor_type = boost::asio::ip::tcp::socket::executor_type;

    explicit FiberSocket(boost::asio::io_context& loop);
    explicit FiberSocket(boost::asio::ip::tcp::socket socket);
    ~FiberSocket();
    FiberSocket(const FiberSocket&) = delete;
    FiberSocket& operator=(const FiberSocket&) = delete;

    // The name that Asio's stream concept asks for.
    executor_type get_executor() { return m_core->socket.get_executor(); } // NOLINT(readability-identifier-naming)

    // Sets the time at which the waits of this socket, a running one included, end with timed_out. The socket is
    // of no use after that.
    void expireAfter(std::chrono::nanoseconds duration);
    void expireAt(SteadyTime deadline);
    void neverExpire() { expireAt(SteadyTime::max()); }
    SteadyTime deadline() const { return m_core->deadline; }

    void connect(const boost::asio::ip::tcp::endpoint& peer, boost::system::error_code& error);

    // Reads into the first of `buffers`, as read_some() may. After a write that failed, what has arrived is read, but never a proper end.
    template <typename Buffers>
    std::size_t read_some(const Buffers& buffers, boost::system::error_code& error) // NOLINT(readability-identifier-naming)
    {
        return read(boost::asio::mutable_buffer(*boost::asio::buffer_sequence_begin(buffers)), error);
    }

    // The two overloads without an error are asked for by the stream models; they throw.
    template <typename Buffers>
    std::size_t read_some(const Buffers& buffers) // NOLINT(readability-identifier-naming)
    {
        boost::system::error_code error;
        const std::size_t size = read_some(buffers, error);
        boost::asio::detail::throw_error(error, "read_some");
        return size;
    }

    template <typename Buffers>
    std::size_t write_some(const Buffers& buffers) // NOLINT(readability-identifier-naming)
    {
        boost::system::error_code error;
        const std::size_t size = write_some(buffers, error);
        boost::asio::detail::throw_error(error, "write_some");
        return size;
    }

    // Has all that is read from now on pass through `filter`.
    void filterReads(std::shared_ptr<ReadFilter> filter) { m_filter = std::move(filter); }

    // Reads what has arrived; would_block when there is nothing.
    std::size_t readNow(boost::asio::mutable_buffer buffer, boost::system::error_code& error);

    template <typename Buffers>
    std::size_t write_some(const Buffers& buffers, boost::system::error_code& error) // NOLINT(readability-identifier-naming)
    {
        for (;;) {
            const std::size_t size = m_core->socket.write_some(buffers, error);
            noteWritten(size, error);
            if (!mustWaitToWrite(error))
                return size;
        }
    }

    // While `heeds` is set, a write that the peer doesn't take ends with try_again as soon as the peer sends or closes:
    // a server may answer before it has read the whole request, and then read no further.
    void heedAnswerWhileWriting(bool heeds) { m_heedsAnswer = heeds; }

    // Returns how many bytes the system took from write_some() since the last call of resetBytesWritten().
    std::size_t bytesWritten() const { return m_bytesWritten; }
    void resetBytesWritten() { m_bytesWritten = 0; }

    // Lets the system probe a connection on which nothing comes, and end it when the peer doesn't answer.
    void findDeadPeer();

    // Returns whether the peer has closed its side, without reading.
    bool peerClosed() const;

    // Calls the observer from the event loop once the peer has closed its side; the watch ends when its observer is
    // emptied. Bytes that arrive while the watch runs, such as a pipelined request, make it look again at intervals,
    // as no event tells of a close behind unread bytes.
    std::shared_ptr<SocketWatch> watchPeer(std::function<void()> observer);

    // Calls the observer once, from the event loop, when a read would return something: bytes, the peer's close or an error. The watch ends
    // when its observer is emptied or the socket is closed.
    std::shared_ptr<SocketWatch> watchReadable(std::function<void()> observer);

    // Returns whether a read would return something now: bytes, the peer's close or an error.
    bool isReadable() const;

    // Returns the address of the peer; nothing once the connection has ended.
    std::optional<boost::asio::ip::tcp::endpoint> peer() const;

    bool isOpen() const { return m_core->socket.is_open(); }

    // Closes our direction after what was written; reading goes on.
    void shutdownSend();

    // Closes the socket. Running waits end with operation_aborted.
    void close();

    // Closes the socket with a reset, which the peer can't take for a proper end.
    void reset();

private:
    // What handlers of the loop hold, so that it outlives the socket's owner.
    struct Core : std::enable_shared_from_this<Core> {
        explicit Core(boost::asio::ip::tcp::socket connected);

        void schedule();
        void expire();
        void watchPeer(std::shared_ptr<SocketWatch> watch);
        void lookAtPeer(std::shared_ptr<SocketWatch> watch);

        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer timer;
        SteadyTime deadline = SteadyTime::max();
        SteadyTime timerAt = SteadyTime::max(); // When the timer fires; max() while it doesn't run.
        std::size_t waits = 0;
        bool timedOut = false;
    };

    std::size_t read(boost::asio::mutable_buffer buffer, boost::system::error_code& error);
    std::size_t readUnfiltered(boost::asio::mutable_buffer buffer, boost::system::error_code& error);

    // Counts what was written and keeps the error of a lost connection. The system tells of that once: a read after it finds what has
    // arrived, and then an end like that of the peer's close.
    void noteWritten(std::size_t size, const boost::system::error_code& error);

    // Returns `error`, or the one that a write has met before in place of a proper end.
    boost::system::error_code readErrorFor(const boost::system::error_code& error) const;

    // Returns whether the write must be tried again; it has waited until then.
    bool mustWaitToWrite(boost::system::error_code& error);

    // Waits until the socket takes bytes again or, with try_again, has some to read.
    void awaitWriteOrAnswer(boost::system::error_code& error);

    // Lets other fibers run after many calls that didn't wait.
    void countCall();

    // Runs `start` with a completion handler, and suspends the fiber until that is called.
    template <typename Start>
    std::size_t await(boost::system::error_code& error, Start start);

    std::shared_ptr<Core> m_core;
    std::shared_ptr<ReadFilter> m_filter;
    std::size_t m_bytesWritten = 0;
    boost::system::error_code m_writeError; // Of the first write that failed.
    int m_callsWithoutWait = 0;
    bool m_moreExpected = false; // The last read filled its buffer.
    bool m_heedsAnswer = false;
};

}
