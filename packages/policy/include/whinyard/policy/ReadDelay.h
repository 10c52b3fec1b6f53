// Says how long before it was read a request may have been sent.
//
// A request waits in its socket while the process is frozen, swapped out or behind, and nothing in it says since when. The duty that
// reads requests notes each of its turns; what is read right after a late turn may have come at any time since the turn before. What
// a request waits elsewhere, on a link or at a caller that connects anew, isn't known here.
//
// Pure: no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <deque>
#include <optional>

namespace whinyard::policy {

struct ReadDelaySettings {
    std::chrono::milliseconds lateTurn { 150 }; // Turns are usually a third of this apart.
    std::chrono::milliseconds catchUp { 300 }; // After a late turn, until what waited has been read.
};

class ReadDelay {
public:
    explicit ReadDelay(const ReadDelaySettings& settings = {})
        : m_settings(settings)
    {
    }

    // Notes that the duty does what is due. Call it every 50 ms or so.
    void noteTurn(SteadyTime now);

    // Returns the earliest time at which a request that is read now may have been sent.
    SteadyTime sentSince(SteadyTime now) const;

private:
    struct Stall {
        SteadyTime from;
        SteadyTime to;
    };

    bool isLate(SteadyTime now) const { return m_turnedAt && now - *m_turnedAt >= m_settings.lateTurn; }

    const ReadDelaySettings m_settings;
    std::optional<SteadyTime> m_turnedAt;
    std::deque<Stall> m_stalls; // Of late.
};

}
