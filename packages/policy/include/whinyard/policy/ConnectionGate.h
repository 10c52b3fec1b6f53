// Says when an instance takes no further connection of a caller, and whether it is so far behind that it can't judge others by a clock.
//
// An instance that gets more than its processor or its link bears answers less the more it gets: everything waits behind everything
// else, and its own time-outs run out meanwhile. Two signs are used. A delay that stands tells that from a burst, and from one endpoint
// that is slow: whatever was due, or whichever endpoint was connected to, took longer than a target (Nichols and Jacobson, "Controlling
// Queue Delay", 2012). Of a link that is known, new connections get a share: each is counted with what connections have cost of late,
// before its request is sent, since a link is full long before a delay stands.
//
// The serve duty notes delays and bytes, and asks after each connection that it has taken. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/policy/LinkUse.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace whinyard::policy {

struct ConnectionGateSettings {
    std::chrono::milliseconds target { 80 }; // A delay that callers hardly notice, and that no time-out of ours takes for a failure.
    std::chrono::milliseconds standing { 200 }; // So long a delay above the target must last.
    std::chrono::milliseconds connectsMemory { 1'000 }; // Without a connect nothing is known of the link.
    // An instance that is ready takes a connection each so often, whatever its delay.
    std::chrono::milliseconds longestPause { 200 };
    std::chrono::milliseconds shortestPause { 100 }; // What callers send on connections that are just being made is lost with each.
    double linkBytesPerSecond = 0; // Of the instance's own link, each way; 0: unknown.
    double usedShare = 0.5; // Of the link, by new connections and all that they cause.
    std::chrono::milliseconds burst { 100 }; // New connections may take so much of the link at once.
    double fullShare = 0.85; // Of the link in use, from which on whatever is sent waits.
    std::chrono::milliseconds behindFor { 500 }; // After the last sign, until what was sent then has been answered or timed out.
};

class ConnectionGate {
public:
    explicit ConnectionGate(const ConnectionGateSettings& settings = {});

    // Notes that work that was due was begun `delay` later.
    void noteWorkDelay(std::chrono::nanoseconds delay, SteadyTime now);

    // Notes how long the shortest of some connects to endpoints took.
    void noteConnectTime(std::chrono::nanoseconds time, SteadyTime now);

    // Notes what the link has carried. Call it at least every 100 ms.
    void noteBytes(const LinkBytes& bytes, SteadyTime now);

    // Notes that so many of the bytes received were of no use to a caller: an endpoint's failure isn't what connections cost.
    void noteWasted(std::uint64_t bytes);

    // Counts a connection that was taken. Returns for how long no other one is to be taken; zero if the next may come at once.
    std::chrono::nanoseconds pauseAfterConnection(SteadyTime now);

    // Returns whether a delay stands, for which connections are turned away.
    bool isDelayed(SteadyTime now) const;

    // Returns whether what this instance sends, or waits for, is late by its own fault: then a time-out says nothing of others.
    bool isBehind(SteadyTime now) const { return m_behindUntil && now < *m_behindUntil; }

    // See LinkUse::share().
    double linkUse() const { return m_linkUse.share(); }

    // Returns whether whatever is sent waits for the link.
    bool isLinkFull() const { return linkUse() >= m_settings.fullShare; }

private:
    void note(std::chrono::nanoseconds delay, std::optional<SteadyTime>& since, SteadyTime now);
    void noteBehind(SteadyTime now) { m_behindUntil = now + m_settings.behindFor; }
    double bytesPerConnection() const;
    std::chrono::nanoseconds pauseForLink(SteadyTime now);

    const ConnectionGateSettings m_settings;
    // Since when each delay has been above the target at every look.
    std::optional<SteadyTime> m_workDelayedSince;
    std::optional<SteadyTime> m_connectsDelayedSince;
    SteadyTime m_connectedAt; // The last of those connects.
    std::optional<SteadyTime> m_behindUntil;

    LinkUse m_linkUse;
    LinkBytes m_bytes; // At the last note.
    // Connections, and bytes each way, of late: they fade alike.
    double m_connections = 0;
    double m_received = 0;
    double m_sent = 0;
    SteadyTime m_fadedAt;

    double m_owed = 0; // Bytes that connections were counted with, and that the link's share hasn't carried yet.
    SteadyTime m_owedAt;
};

}
