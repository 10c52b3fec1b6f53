#include "internal/FiberSocket.h"

#include "internal/FiberWait.h"
#include "whinyard/net/CarriedBytes.h"

#include <boost/asio.hpp>
#include <boost/fiber/operations.hpp>
#include <netinet/tcp.h>
#include <poll.h>

namespace whinyard::net::internal {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

    // After so many calls that didn't block, a fiber lets the others run.
    constexpr int callsBeforeYield = 32;

    // How often a connection with unread bytes is looked at for its close: half of the half second within which
    // work for a caller that left has to be cancelled.
    constexpr std::chrono::milliseconds peerLookInterval { 250 };

    // All sockets of a duty are used on its thread.
    thread_local CarriedBytes carriedOnThread;

    bool polled(tcp::socket& socket, short events, short wanted)
    {
        pollfd descriptor { socket.native_handle(), events, 0 };
        return ::poll(&descriptor, 1, 0) > 0 && (descriptor.revents & wanted) != 0;
    }

    bool hasPeerClosed(tcp::socket& socket)
    {
        return !socket.is_open() || polled(socket, POLLRDHUP, POLLRDHUP | POLLHUP | POLLERR);
    }

}

bool isOwnShortage(const error_code& error)
{
    namespace errc = boost::system::errc;
    return error == errc::too_many_files_open || error == errc::too_many_files_open_in_system || error == errc::no_buffer_space || error == errc::not_enough_memory
        || error == errc::address_not_available;
}

FiberSocket::Core::Core(tcp::socket connected)
    : socket(std::move(connected))
    , timer(socket.get_executor())
{
}

// Moving a deadline later costs nothing: the timer fires at the old time and sets itself again.
void FiberSocket::Core::schedule()
{
    if (waits == 0 || deadline >= timerAt || deadline == SteadyTime::max())
        return;
    timerAt = deadline;
    timer.expires_at(deadline);
    timer.async_wait([core = shared_from_this()](const error_code& error) {
        if (error == asio::error::operation_aborted)
            return;
        core->timerAt = SteadyTime::max();
        core->expire();
    });
}

void FiberSocket::Core::expire()
{
    if (waits == 0)
        return;
    if (std::chrono::steady_clock::now() < deadline) {
        schedule();
        return;
    }
    timedOut = true;
    error_code ignored;
    socket.cancel(ignored);
}

FiberSocket::FiberSocket(asio::io_context& loop)
    : FiberSocket(tcp::socket(loop))
{
}

FiberSocket::FiberSocket(tcp::socket socket)
    : m_core(std::make_shared<Core>(std::move(socket)))
{
    if (!m_core->socket.is_open())
        return;
    error_code ignored;
    m_core->socket.non_blocking(true, ignored);
    m_core->socket.set_option(tcp::no_delay(true), ignored);
}

FiberSocket::~FiberSocket()
{
    close();
}

void FiberSocket::expireAfter(std::chrono::nanoseconds duration)
{
    const SteadyTime now = std::chrono::steady_clock::now();
    expireAt(duration >= SteadyTime::max() - now ? SteadyTime::max() : now + duration);
}

void FiberSocket::expireAt(SteadyTime deadline)
{
    m_core->deadline = deadline;
    m_core->schedule();
}

void FiberSocket::connect(const tcp::endpoint& peer, error_code& error)
{
    m_core->socket.open(peer.protocol(), error);
    if (error)
        return;
    m_core->socket.non_blocking(true, error);
    m_core->socket.set_option(tcp::no_delay(true), error);
    await(error, [&](auto handler) { m_core->socket.async_connect(peer, std::move(handler)); });
}

template <typename Start>
std::size_t FiberSocket::await(error_code& error, Start start)
{
    m_callsWithoutWait = 0;
    const auto core = m_core; // The owner may be destroyed by the time the fiber runs again.
    if (core->deadline != SteadyTime::max() && std::chrono::steady_clock::now() >= core->deadline) {
        error = asio::error::timed_out;
        return 0;
    }
    FiberWait finished;
    std::size_t size = 0;
    core->timedOut = false;
    ++core->waits;
    core->schedule();
    start([&](const error_code& result, std::size_t transferred = 0) {
        error = result;
        size = transferred;
        finished.wake();
    });
    finished.suspend();
    --core->waits;
    if (error && core->timedOut)
        error = asio::error::timed_out;
    return size;
}

std::size_t FiberSocket::read(asio::mutable_buffer buffer, error_code& error)
{
    if (!m_filter)
        return readUnfiltered(buffer, error);
    std::size_t size = 0;
    error = {};
    while (size == 0 && !error && !m_filter->isAtEnd(error)) {
        size = readUnfiltered(buffer, error);
        size = m_filter->filter(static_cast<char*>(buffer.data()), size, error);
    }
    return size;
}

// The event loop tries the read once more by itself, and without a system call where it knows that nothing is there.
std::size_t FiberSocket::readUnfiltered(asio::mutable_buffer buffer, error_code& error)
{
    std::size_t size = 0;
    error = asio::error::would_block;
    if (m_moreExpected)
        size = m_core->socket.read_some(buffer, error);
    if (error == asio::error::would_block)
        size = await(error, [&](auto handler) { m_core->socket.async_read_some(buffer, std::move(handler)); });
    else
        countCall();
    m_moreExpected = size == buffer.size();
    carriedOnThread.received += size;
    error = readErrorFor(error);
    return size;
}

std::size_t FiberSocket::readNow(asio::mutable_buffer buffer, error_code& error)
{
    const std::size_t size = m_core->socket.read_some(buffer, error);
    carriedOnThread.received += size;
    error = readErrorFor(error);
    return m_filter ? m_filter->filter(static_cast<char*>(buffer.data()), size, error) : size;
}

void FiberSocket::noteWritten(std::size_t size, const error_code& error)
{
    m_bytesWritten += size;
    carriedOnThread.sent += size;
    if (error && error != asio::error::would_block && !m_writeError)
        m_writeError = error;
}

error_code FiberSocket::readErrorFor(const error_code& error) const
{
    return error == asio::error::eof && m_writeError ? m_writeError : error;
}

bool FiberSocket::mustWaitToWrite(error_code& error)
{
    if (error != asio::error::would_block) {
        countCall();
        return false;
    }
    if (m_heedsAnswer)
        awaitWriteOrAnswer(error);
    else
        await(error, [&](auto handler) { m_core->socket.async_wait(asio::socket_base::wait_write, std::move(handler)); });
    return !error;
}

void FiberSocket::awaitWriteOrAnswer(error_code& error)
{
    // The wait that comes second finds its race over and touches nothing of the fiber that has gone on.
    struct Race {
        bool over = false;
        bool answered = false;
    };
    const auto race = std::make_shared<Race>();
    await(error, [&](auto handler) {
        auto finish = [race, handler](const error_code& result, bool answered) mutable {
            if (std::exchange(race->over, true))
                return;
            race->answered = answered;
            handler(result);
        };
        m_core->socket.async_wait(asio::socket_base::wait_write, [finish](const error_code& result) mutable { finish(result, false); });
        m_core->socket.async_wait(asio::socket_base::wait_read, [finish](const error_code& result) mutable { finish(result, true); });
    });
    if (!error && race->answered)
        error = asio::error::try_again;
}

void FiberSocket::countCall()
{
    if (++m_callsWithoutWait < callsBeforeYield)
        return;
    m_callsWithoutWait = 0;
    boost::this_fiber::yield();
}

std::shared_ptr<SocketWatch> FiberSocket::watchPeer(std::function<void()> observer)
{
    auto watch = std::make_shared<SocketWatch>(SocketWatch { std::move(observer) });
    m_core->watchPeer(watch);
    return watch;
}

void FiberSocket::Core::watchPeer(std::shared_ptr<SocketWatch> watch)
{
    socket.async_wait(asio::socket_base::wait_read, [core = shared_from_this(), watch = std::move(watch)](const error_code& error) mutable {
        if (!error)
            core->lookAtPeer(std::move(watch));
    });
}

void FiberSocket::Core::lookAtPeer(std::shared_ptr<SocketWatch> watch)
{
    if (!watch->observer)
        return;
    if (hasPeerClosed(socket)) {
        std::exchange(watch->observer, nullptr)();
        return;
    }
    auto pause = std::make_shared<asio::steady_timer>(socket.get_executor(), peerLookInterval);
    pause->async_wait([core = shared_from_this(), watch = std::move(watch), pause](const error_code&) mutable { core->lookAtPeer(std::move(watch)); });
}

std::shared_ptr<SocketWatch> FiberSocket::watchReadable(std::function<void()> observer)
{
    auto watch = std::make_shared<SocketWatch>(SocketWatch { std::move(observer) });
    m_core->socket.async_wait(asio::socket_base::wait_read, [watch](const error_code&) {
        if (watch->observer)
            std::exchange(watch->observer, nullptr)();
    });
    return watch;
}

void FiberSocket::findDeadPeer()
{
    // Sites let connections go silent without a reset, and count an instance as in touch again after three seconds.
    constexpr int idleSeconds = 1;
    constexpr int probeSeconds = 1;
    constexpr int probes = 2;
    // Where it is set, this decides when probes give up, whatever their number; it also ends a connection on which what was sent
    // isn't acknowledged, which is never probed.
    constexpr int userTimeoutMilliseconds = (idleSeconds + probes * probeSeconds) * 1'000;
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    error_code ignored; // Without it the call's own bound holds.
    m_core->socket.set_option(asio::socket_base::keep_alive(true), ignored);
    m_core->socket.set_option(Idle(idleSeconds), ignored);
    m_core->socket.set_option(Interval(probeSeconds), ignored);
    m_core->socket.set_option(Count(probes), ignored);
    m_core->socket.set_option(UserTimeout(userTimeoutMilliseconds), ignored);
}

bool FiberSocket::peerClosed() const
{
    return hasPeerClosed(m_core->socket);
}

std::optional<tcp::endpoint> FiberSocket::peer() const
{
    error_code error;
    const tcp::endpoint peer = m_core->socket.remote_endpoint(error);
    return error ? std::nullopt : std::optional(peer);
}

bool FiberSocket::isReadable() const
{
    return !isOpen() || polled(m_core->socket, POLLIN | POLLRDHUP, POLLIN | POLLRDHUP | POLLHUP | POLLERR);
}

void FiberSocket::shutdownSend()
{
    error_code ignored;
    m_core->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void FiberSocket::close()
{
    error_code ignored;
    m_core->timer.cancel(ignored);
    m_core->timerAt = SteadyTime::max();
    m_core->socket.close(ignored);
}

void FiberSocket::reset()
{
    error_code ignored;
    m_core->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
}

}

namespace whinyard::net {

CarriedBytes carriedBytes()
{
    return internal::carriedOnThread;
}

}
