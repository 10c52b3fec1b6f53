// A thread with one duty. It runs an event loop and fibers; other threads reach it only through a
// bounded ring of tasks.
//
// The daemon, the stand-ins and the load tool build their threads from it. Within a duty all code
// runs on one thread, so its state needs no locks.
#pragma once

#include "whinyard/base/Error.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace whinyard::net {

// A unit of work that another thread hands over.
using Task = std::function<void()>;

// A thread, its event loop and its ring of tasks. The thread starts with construction and ends
// with stop() or destruction.
class Duty {
public:
    // `name` appears in logs and as the thread's name; `capacity` bounds the ring.
    Duty(std::string name, std::size_t capacity = 4096);
    ~Duty();
    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    const std::string& name() const;

    // Hands `task` over, to run in a fiber of its own on this duty's thread. Returns false, and drops the task,
    // when the ring is full or the duty has stopped. Callable from any thread.
    bool post(Task task);

    // Starts a fiber on this duty's thread. Only callable on that thread. A fiber's stack holds
    // 128 KiB.
    void spawn(Task task);

    // Returns whether the caller runs on this duty's thread.
    bool isCurrent() const;

    // Returns the duty that the calling thread belongs to, or null.
    static Duty* current();

    // Ends the event loop and joins the thread. Fibers that still wait are abandoned to
    // process exit; call it when the duty's servers have closed.
    void stop();

    // The event loop, for the transport code in this package.
    boost::asio::io_context& loop();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

// Suspends the calling fiber. Only callable on a duty's thread.
void sleepFor(std::chrono::nanoseconds duration);

// Runs `function` in a fiber on `target` and suspends the calling fiber until it has returned;
// returns nothing when the target's ring is full or stopped. Callable from a fiber of another duty
// or of the same one. A fiber that waits wakes through its own duty's loop, so nothing spins.
bool runOn(Duty& target, const std::function<void()>& function);

template <typename Function>
auto callOn(Duty& target, Function function) -> std::optional<decltype(function())>
{
    std::optional<decltype(function())> result;
    if (!runOn(target, [&] { result.emplace(function()); }))
        return std::nullopt;
    return result;
}

// Lets fibers of one duty wait for a condition that other fibers of the same duty, or handlers of
// its loop, bring about.
class Signal {
public:
    Signal();
    ~Signal();
    Signal(const Signal&) = delete;
    Signal& operator=(const Signal&) = delete;

    // Wakes all that wait.
    void notify();

    // Waits for the next notify(), at most for `timeout`. Returns whether it was notified.
    bool wait(std::chrono::nanoseconds timeout);

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
