// Says whether an instance takes one more connection, or closes it at once and unread, so that its caller goes to another instance.
//
// An instance that gets more than its processor or its link bears answers less the more it gets: everything waits behind everything
// else, and its own time-outs run out meanwhile. What tells that from a burst, and from one endpoint that is slow, is a delay that
// stands: whatever was due, or whichever endpoint was connected to, took longer than a target (Nichols and Jacobson, "Controlling
// Queue Delay", 2012).
//
// The serve duty notes both delays and asks before it takes a connection. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <optional>

namespace whinyard::policy {

struct ConnectionGateSettings {
    std::chrono::milliseconds target { 80 }; // A delay that callers hardly notice, and that no time-out of ours takes for a failure.
    std::chrono::milliseconds standing { 200 }; // So long a delay above the target must last.
    std::chrono::milliseconds connectsMemory { 1'000 }; // Without a connect nothing is known of the link.
    // An instance that is ready takes a connection each so often, whatever its delay.
    std::chrono::milliseconds longestRefusal { 200 };
};

class ConnectionGate {
public:
    explicit ConnectionGate(const ConnectionGateSettings& settings = {});

    // Notes that work that was due was begun `delay` later.
    void noteWorkDelay(std::chrono::nanoseconds delay, SteadyTime now) { note(delay, m_workDelayedSince, now); }

    // Notes how long the shortest of some connects to endpoints took.
    void noteConnectTime(std::chrono::nanoseconds time, SteadyTime now)
    {
        note(time, m_connectsDelayedSince, now);
        m_connectedAt = now;
    }

    // Returns whether the next connection is taken.
    bool admits(SteadyTime now);

    // Returns whether connections are being turned away.
    bool isClosed(SteadyTime now) const;

private:
    void note(std::chrono::nanoseconds delay, std::optional<SteadyTime>& since, SteadyTime now) const;

    const ConnectionGateSettings m_settings;
    // Since when each delay has been above the target at every look.
    std::optional<SteadyTime> m_workDelayedSince;
    std::optional<SteadyTime> m_connectsDelayedSince;
    SteadyTime m_connectedAt; // The last of those connects.
    SteadyTime m_admittedAt;
};

}
