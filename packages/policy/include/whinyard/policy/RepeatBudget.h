// Bounds the repeats of one service that this instance makes, so that those of all instances keep within what the site allows.
//
// A site allows repeats at a ratio of the requests that callers sent for the service, over any window, and a slack beside them. Each
// instance takes the ratio of the requests that it got itself, and its part of the slack: such shares add up to no more than the bound,
// without a word between instances.
// An instance takes nothing of the slack before it has run for a window: the one before it, at its place, may just have spent its own.
//
// The forwarder notes each request and asks before each repeat. Pure: no I/O, no clock of its own, no allocation per decision.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/RetryPolicy.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace whinyard::policy {

struct RepeatBounds {
    double ratio = 0.8; // Repeats for each request, in any window.
    double perSecond = 0; // Beyond that, of this instance, without any request.
    std::chrono::milliseconds window { 10'000 };
};

// What is used of a budget, over the window that ends now.
struct RepeatUse {
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
    double allowed = 0; // Repeats.

    double share() const { return allowed > 0 ? static_cast<double>(repeats) / allowed : 0; }
};

class RepeatBudget {
public:
    // `slack` must outlive the object: the part of what all instances share is the same for each service. `startedAt` is when this
    // instance began, whenever its first request for the service comes.
    RepeatBudget(const RepeatBounds& bounds, SharedAllowance& slack, SteadyTime startedAt);

    // Notes a request that a caller sent at `sentSince` or later, and that was read now.
    void noteRequest(SteadyTime sentSince, SteadyTime now);

    // Takes one repeat; returns false when none is left. A repeat that is only of use, where others save an answer, may take from
    // the first `part` of the budget alone.
    bool take(SteadyTime now, double part = 1);

    RepeatUse use(SteadyTime now);

private:
    static constexpr std::int64_t slotsInWindow = 100;

    struct Slot {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    std::int64_t slotAt(SteadyTime time) const { return time.time_since_epoch() / m_slotLength; }
    Slot& slot(std::int64_t index) { return m_slots[static_cast<std::size_t>(index % static_cast<std::int64_t>(m_slots.size()))]; }
    void advance(SteadyTime now);
    double allowed(SteadyTime now);

    const RepeatBounds m_bounds;
    const std::chrono::nanoseconds m_slotLength;
    const SteadyTime m_startedAt;
    SharedAllowance& m_slack;

    // One more than a window has: repeats count for at least a window, requests for at most one.
    std::array<Slot, slotsInWindow + 1> m_slots {};
    std::int64_t m_current = 0;
    std::uint64_t m_requests = 0; // Sums over the window.
    std::uint64_t m_repeats = 0;
};

}
