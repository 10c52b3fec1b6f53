// Waiting and background work as an interface, so that tests of retries, resumes and late ratings take
// no time and need no fibers.
#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace whinyard::router {

// Lets one fiber wait for another of the same duty.
class Wakeup {
public:
    virtual ~Wakeup() = default;

    // Waits for notify(), at most for `timeout`. Returns whether it was notified.
    virtual bool wait(std::chrono::nanoseconds timeout) = 0;

    virtual void notify() = 0;
};

class Fibers {
public:
    virtual ~Fibers() = default;

    // Suspends the calling fiber.
    virtual void wait(std::chrono::nanoseconds duration) = 0;

    // Runs `task` in a fiber of its own; the caller doesn't wait for it.
    virtual void start(std::function<void()> task) = 0;

    virtual std::unique_ptr<Wakeup> makeWakeup() = 0;
};

}
