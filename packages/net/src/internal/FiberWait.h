// Suspends a fiber until a handler of the event loop, or another fiber, wakes it.
//
// All waiting in this package goes through it. It works without locks because both sides run on
// one duty's thread.
#pragma once

#include <boost/fiber/context.hpp>

namespace whinyard::net::internal {

// One wait of one fiber.
class FiberWait {
public:
    FiberWait() = default;
    FiberWait(const FiberWait&) = delete;
    FiberWait& operator=(const FiberWait&) = delete;

    // Suspends the calling fiber until wake(); returns at once if that came first.
    void suspend()
    {
        if (m_woken)
            return;
        m_fiber = boost::fibers::context::active();
        m_fiber->suspend();
    }

    // Makes the waiting fiber ready. Further calls do nothing.
    void wake()
    {
        if (m_woken)
            return;
        m_woken = true;
        if (m_fiber)
            boost::fibers::context::active()->schedule(m_fiber);
    }

    bool isWoken() const { return m_woken; }

private:
    boost::fibers::context* m_fiber = nullptr;
    bool m_woken = false;
};

}
