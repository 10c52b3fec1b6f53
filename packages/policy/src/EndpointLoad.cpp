// The part of EndpointTable that estimates loads from own requests, late reports and what waiting requests tell.
#include "whinyard/policy/EndpointTable.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    // A shorter stay of a request than this counts as this.
    constexpr std::chrono::nanoseconds shortestStay { 1'000'000 };

    // Requests that are taken to wait where one is known to: itself and another one. Measured in the replay.
    constexpr double queuedRequests = 2;

    std::size_t at(EndpointIndex index)
    {
        return static_cast<std::size_t>(index);
    }

}

void EndpointTable::recordReport(EndpointIndex endpoint, const LoadReport& report, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    if (report.measuredAt < changed.reportAt)
        return;
    const double total = static_cast<double>(report.queued) + report.running;
    const double own = ownInFlightAt(endpoint, report.measuredAt);
    changed.othersInFlight = static_cast<float>(std::max(0.0, total - own));
    changed.reportAt = report.measuredAt;
    changed.step = report.step;
    if (report.slots > 0)
        changed.slots = report.slots;
    for (const std::uint64_t digest : report.cachedPrefixes)
        m_prefixes.note(digest, static_cast<std::uint32_t>(endpoint), now);
}

void EndpointTable::recordQueued(EndpointIndex endpoint, SteadyTime now)
{
    EndpointRow& changed = rowAt(endpoint);
    if (changed.reportAt == SteadyTime())
        return; // Its slots are a guess.
    const double total = std::max(load(endpoint, now).mean, changed.slots + queuedRequests);
    changed.othersInFlight = static_cast<float>(total - changed.ownInFlight);
    changed.reportAt = std::max(now, changed.reportAt);
}

void EndpointTable::noteHistory(EndpointIndex endpoint, SteadyTime now)
{
    History& history = m_histories[at(endpoint)];
    const std::int64_t period = now.time_since_epoch() / History::period;
    const auto inFlight = static_cast<std::uint16_t>(std::min<std::uint32_t>(row(endpoint).ownInFlight, 0xFFFF));
    const std::int64_t first = std::max(history.lastPeriod, period - static_cast<std::int64_t>(History::length));
    for (std::int64_t past = first; past < period; ++past)
        history.inFlight[static_cast<std::size_t>(past) % History::length] = inFlight;
    history.lastPeriod = std::max(history.lastPeriod, period);
}

std::uint32_t EndpointTable::ownInFlightAt(EndpointIndex endpoint, SteadyTime time) const
{
    const History& history = m_histories[at(endpoint)];
    const std::int64_t period = time.time_since_epoch() / History::period;
    if (period >= history.lastPeriod)
        return row(endpoint).ownInFlight;
    const std::int64_t oldest = history.lastPeriod - static_cast<std::int64_t>(History::length);
    return history.inFlight[static_cast<std::size_t>(std::max(period, oldest)) % History::length];
}

LoadEstimate EndpointTable::load(EndpointIndex endpoint, SteadyTime now) const
{
    const EndpointRow& read = row(endpoint);
    const double age = static_cast<double>(std::max(now - read.reportAt, SteadyTime::duration::zero()).count());
    const double stay = static_cast<double>(std::max(slotTime(endpoint), shortestStay).count());
    const double kept = std::exp(-age / stay);
    const double old = kept * read.othersInFlight;
    const double added = (1 - kept) * read.othersPrior;
    return { read.ownInFlight + old + added, old * (1 - kept) + added };
}

std::chrono::nanoseconds EndpointTable::slotTime(EndpointIndex endpoint) const
{
    const EndpointRow& read = row(endpoint);
    const bool isEngine = read.reportAt != SteadyTime();
    if (!isEngine || read.firstByteSamples == 0)
        return read.serviceTime;
    // Where whole answers come at once, the first byte says nothing.
    return std::max(read.serviceTime - read.firstByteTime, read.serviceTime / 4);
}

}
