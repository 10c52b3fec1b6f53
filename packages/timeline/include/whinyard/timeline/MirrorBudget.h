// Bounds what an instance sends for the time line: under high load only a share of the requests is
// mirrored, but always every call that may not be repeated.
//
// The daemon's mirroring passes each batch through it. What isn't mirrored stays with the instance
// itself and in its log.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/timeline/EventBatch.h"

#include <cstddef>

namespace whinyard::timeline {

class MirrorBudget {
public:
    // `bytesPerSecond` is what batches may take on average; short bursts may take more.
    explicit MirrorBudget(std::size_t bytesPerSecond);

    // Returns the part of `batch` that the budget allows: all of it, or the events of non-idempotent calls and
    // those of a share of the other requests. A request is chosen by its identity, so that its events are kept
    // or left out together while the share stands.
    EventBatch fit(EventBatch batch, SteadyTime now);

    // Returns the share of other requests that is kept now, from 0 to 1.
    double share() const { return m_share; }

private:
    const double m_bytesPerSecond;
    double m_rate = 0; // Bytes a second that all events would take, with exponential decay.
    double m_share = 1;
    SteadyTime m_last {};
};

}
