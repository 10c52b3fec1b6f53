// How much of an instance's own link is in use.
//
// The serve duty notes what its connections have carried. A link that is full delays whatever is sent, so what is late then may be late
// by this instance's own fault. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"

#include <cstdint>
#include <optional>

namespace whinyard::policy {

// Bytes that an instance's connections have carried since its start.
struct LinkBytes {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

class LinkUse {
public:
    // What the link bears a second, each way; 0 if unknown.
    explicit LinkUse(double bytesPerSecond = 0)
        : m_bytesPerSecond(bytesPerSecond)
    {
    }

    // Notes what has been carried by now. Call it at least every 100 ms.
    void note(const LinkBytes& bytes, SteadyTime now);

    // Returns the part of the link that was in use within the last tenth of a second, in the fuller direction; 0 where the link is unknown.
    double share() const { return m_share; }

private:
    const double m_bytesPerSecond;
    std::optional<SteadyTime> m_notedAt;
    LinkBytes m_bytes; // At that time.
    double m_share = 0;
};

}
