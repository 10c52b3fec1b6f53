#include "internal/FiberWait.h"
#include "whinyard/net/Duty.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <cassert>
#include <vector>

namespace whinyard::net {

namespace asio = boost::asio;

namespace {

    // Longer times are cut to this, which keeps time points within their range.
    constexpr std::chrono::nanoseconds longestWait = std::chrono::hours(24 * 365);

    // One waiting fiber. The timer's handler holds it as well, so it may outlive the wait.
    struct Waiter {
        explicit Waiter(asio::io_context& loop)
            : timer(loop)
        {
        }

        asio::steady_timer timer;
        internal::FiberWait wait;
        bool notified = false;
    };

    std::shared_ptr<Waiter> startWaiter(std::chrono::nanoseconds timeout)
    {
        assert(Duty::current());
        auto waiter = std::make_shared<Waiter>(Duty::current()->loop());
        waiter->timer.expires_after(std::min(timeout, longestWait));
        waiter->timer.async_wait([waiter](const boost::system::error_code&) { waiter->wait.wake(); });
        return waiter;
    }

}

struct Signal::State {
    std::vector<std::shared_ptr<Waiter>> waiters;
};

Signal::Signal()
    : m_state(std::make_shared<State>())
{
}

Signal::~Signal()
{
    notify();
}

void Signal::notify()
{
    const auto waiters = std::exchange(m_state->waiters, {});
    for (const auto& waiter : waiters) {
        waiter->notified = true;
        waiter->wait.wake();
        waiter->timer.cancel();
    }
}

bool Signal::wait(std::chrono::nanoseconds timeout)
{
    const auto state = m_state; // The signal may be destroyed while the fiber waits.
    const auto waiter = startWaiter(timeout);
    state->waiters.push_back(waiter);
    waiter->wait.suspend();
    std::erase(state->waiters, waiter);
    return waiter->notified;
}

void sleepFor(std::chrono::nanoseconds duration)
{
    startWaiter(duration)->wait.suspend();
}

}
