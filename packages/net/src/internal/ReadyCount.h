// The scheduler of a duty's fibers: round robin that also knows whether a fiber is ready.
#pragma once

#include <boost/fiber/algo/round_robin.hpp>
#include <boost/fiber/context.hpp>

#include <cstddef>

namespace whinyard::net::internal {

// Boost's round robin counts its own dispatcher as ready, so it can't tell the event loop whether it
// may block. This count leaves the dispatcher out.
class ReadyCount final : public boost::fibers::algo::round_robin {
public:
    void awakened(boost::fibers::context* fiber) noexcept override
    {
        if (!fiber->is_context(boost::fibers::type::dispatcher_context))
            ++m_ready;
        round_robin::awakened(fiber);
    }

    boost::fibers::context* pick_next() noexcept override
    {
        auto* fiber = round_robin::pick_next();
        if (fiber && !fiber->is_context(boost::fibers::type::dispatcher_context))
            --m_ready;
        return fiber;
    }

    bool has_ready_fibers() const noexcept override { return m_ready > 0; }

private:
    std::size_t m_ready = 0;
};

}
