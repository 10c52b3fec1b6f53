// Bounds the repeats of one service that this instance makes, so that those of all instances keep within what the site allows.
//
// A site allows repeats at a ratio of the requests that callers sent for the service, and a slack, in any window, whoever makes them.
// No word passes between instances, and none knows what the instance before it, at its place, has spent. So the ratio is split:
//
//   * a request pays at once for a part of a repeat, and what isn't spent of it is kept up to a tenth of a window's. What is spent so in
//     any window belongs to requests of that window, whatever became of the instance that read them;
//   * another part is saved over a window, for answers that break off many at once. It, and the part of the slack, is left unused
//     by an instance that is younger than a window: the instance before it may just have spent its own.
//
// The forwarder notes each request, dated by when it was sent, asks before each repeat, and renews what it was granted where the
// repeat is sent later. Pure: no I/O, no clock of its own, no allocation per decision.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/RetryPolicy.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

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

// One repeat, and what it was taken from.
struct RepeatGrant {
    SteadyTime at;
    double paced = 0;
    double saved = 0;
    double shared = 0;
};

class RepeatBudget {
public:
    // `slack` must outlive the object: the part of what all instances share is the same for each service. `startedAt` is when this
    // instance began, whenever its first request for the service comes. `offset`, at least 0 and below 1, is drawn for each budget:
    // what is too little for a repeat at any instance is rounded up at some of them.
    RepeatBudget(const RepeatBounds& bounds, SharedAllowance& slack, SteadyTime startedAt, double offset);

    // Notes a request that a caller sent at `sentSince` or later, and that was read now.
    void noteRequest(SteadyTime sentSince, SteadyTime now);

    // Takes one repeat; returns nothing when none is left. A repeat that is only of use, where others save an answer, leaves them all
    // but the first `part` of what can be left at most.
    std::optional<RepeatGrant> take(SteadyTime now, double part = 1);

    // Takes the repeat anew where it was granted a while ago; returns nothing when none is left by now.
    std::optional<RepeatGrant> renew(const RepeatGrant& grant, SteadyTime now);

    RepeatUse use(SteadyTime now);

private:
    static constexpr std::int64_t slotsInWindow = 100;

    struct Slot {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
        double saved = 0; // Of the repeats.
        double shared = 0;
    };

    // What may be spent of each part over a window that ends now.
    struct Limits {
        double paced = 0;
        double saved = 0;
        double shared = 0;

        double sum() const { return paced + saved + shared; }
    };

    std::int64_t slotAt(SteadyTime time) const { return time.time_since_epoch() / m_slotLength; }
    Slot& slot(std::int64_t index) { return m_slots[static_cast<std::size_t>(index % static_cast<std::int64_t>(m_slots.size()))]; }
    void advance(SteadyTime now);
    Limits limits(SteadyTime now);

    const RepeatBounds m_bounds;
    const std::chrono::nanoseconds m_slotLength;
    const SteadyTime m_startedAt;
    const double m_offset;
    SharedAllowance& m_slack;

    // One more than a window has: repeats count for at least a window, requests for at most one.
    std::array<Slot, slotsInWindow + 1> m_slots {};
    std::int64_t m_current = 0;
    std::uint64_t m_requests = 0; // Sums over the window.
    std::uint64_t m_repeats = 0;
    double m_saved = 0;
    double m_shared = 0;
    double m_paced = 0; // Earned and not spent.
};

}
