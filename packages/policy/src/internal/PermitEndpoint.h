// The permits of one endpoint: how many it may have at once, how many are held and how long its requests take. Used by PlacePool.
#pragma once

#include "whinyard/policy/PlacePool.h"

namespace whinyard::policy {

class PermitEndpoint {
public:
    explicit PermitEndpoint(std::chrono::nanoseconds initialServiceTime);

    // Takes the endpoint's slots; it may get permits from now on.
    void list(const PooledEndpoint& endpoint, double permitsPerSlot);

    // Ends that: permits that are held stay until they are released.
    void unlist() { m_isListed = false; }

    bool isListed() const { return m_isListed; }
    const ZoneName& zone() const { return m_zone; }
    std::uint32_t held() const { return m_held; }

    // Returns how many permits may be held now. At least one, except during the pause before a failing endpoint is tried again.
    std::uint32_t limit(SteadyTime now) const;

    // Returns until when no permit is granted because the endpoint failed; a past time if none is withheld so.
    SteadyTime pausedUntil() const { return m_pausedUntil; }

    bool hasFree(SteadyTime now) const { return m_held < limit(now); }

    // Returns the expected wait of one more request at the endpoint.
    std::chrono::duration<double> expectedWait() const;

    // Returns the permits that become free per second while all are held.
    double releasesPerSecond(SteadyTime now) const;

    // Returns the time within which nearly all requests are answered.
    std::chrono::duration<double> longServiceTime() const;
    std::chrono::duration<double> meanServiceTime() const { return m_serviceTime; }

    void take() { ++m_held; }
    void free() { --m_held; }

    // Takes how a request ended that was sent under a permit.
    void recordOutcome(EndpointOutcome outcome, std::chrono::nanoseconds serviceTime, SteadyTime now);

    // Takes the time from a grant to its release.
    void recordHold(std::chrono::nanoseconds hold);

private:
    using Seconds = std::chrono::duration<double>;

    // Zero from the failure on with which the pauses begin.
    std::uint32_t limitByFailures() const;
    void recordFailure(SteadyTime now);

    ZoneName m_zone;
    bool m_isListed = false;
    std::uint32_t m_slots = 1;
    std::uint32_t m_permits = 1;
    std::uint32_t m_held = 0;
    Seconds m_serviceTime;
    double m_variance = 0; // Of the service time, in square seconds.
    bool m_hasSample = false;
    Seconds m_hold;
    std::uint32_t m_failuresInRow = 0;
    std::chrono::milliseconds m_pause { 0 };
    SteadyTime m_pausedUntil;
    std::uint32_t m_withheld = 0; // Permits that are not granted before m_withheldUntil.
    SteadyTime m_withheldUntil;
};

}
