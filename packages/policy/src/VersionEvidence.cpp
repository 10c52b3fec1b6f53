#include "whinyard/policy/VersionEvidence.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    // A kind that never fails may do so by chance, in the same second in which everything is moved.
    constexpr double leastTolerable = 0.02;
    // A version that fails so much more often than is tolerable is bad.
    constexpr double excess = 0.2;
    constexpr double largestShare = 0.95;

    // Time constant of the other versions' counts: what makes answers of all versions fail may last a second or two.
    constexpr std::chrono::milliseconds othersMemory { 2'000 };
    // Instances tell each other within it, and what makes answers of all versions fail shows at the others as well.
    constexpr std::chrono::milliseconds settledAfter { 2'000 };

    // Losses with endpoints that ended are counted seconds after a wave of them, when the short memory has forgotten it. Such a wave
    // doesn't hit both versions alike.
    constexpr std::chrono::milliseconds wavesMemory { 6'000 };
    constexpr double wavesFactor = 1.5;

    BadShares sharesOver(double tolerable)
    {
        BadShares shares;
        shares.tolerable = std::min(tolerable, largestShare - excess);
        shares.unacceptable = shares.tolerable + excess;
        return shares;
    }

}

std::size_t kindPlace(std::string_view measure)
{
    return stableHash(measure) % kindPlaces;
}

std::size_t endpointPlace(const EndpointName& endpoint)
{
    return stableHash(endpoint.value) % endpointPlaces;
}

void FadingCounts::add(const RatedCounts& counts, std::chrono::milliseconds memory, SteadyTime now)
{
    if (counts.total() == 0)
        return;
    if (m_good + m_bad == 0)
        m_since = now;
    const double kept = std::exp(-std::chrono::duration<double>(now - m_at) / memory);
    m_good = m_good * kept + static_cast<double>(counts.good);
    m_bad = m_bad * kept + static_cast<double>(counts.bad);
    m_at = now;
}

double FadingCounts::perSecond(std::chrono::milliseconds memory, std::chrono::milliseconds knownAfter, SteadyTime now) const
{
    if (m_good + m_bad == 0 || now - m_since < knownAfter)
        return 0;
    const double kept = std::exp(-std::chrono::duration<double>(now - m_at) / memory);
    const double filled = 1 - std::exp(-std::chrono::duration<double>(now - m_since) / memory);
    return (m_good + m_bad) * kept / filled / std::chrono::duration<double>(memory).count();
}

void FailuresByKind::add(const CountsByKind& before, const CountsByKind& counts, SteadyTime now)
{
    for (std::size_t kind = 0; kind < kindPlaces; ++kind) {
        const RatedCounts others = countedSince(before[kind].others, counts[kind].others);
        m_others[kind].add(others, othersMemory, now);
        m_othersBefore[kind].add(others, wavesMemory, now);
        for (std::size_t place = 0; place < endpointPlaces; ++place) {
            const RatedCounts added = countedSince(before[kind].target[place], counts[kind].target[place]);
            if (added.total() > 0)
                m_waiting.push_back({ now, kind, place, added });
        }
    }
    settle(now);
}

void FailuresByKind::settle(SteadyTime now)
{
    while (!m_waiting.empty() && (now == SteadyTime::max() || now - m_waiting.front().at >= settledAfter)) {
        const Waiting counted = m_waiting.front();
        m_waiting.pop_front();
        addSettled(counted.kind, counted.endpoint, counted.counts);
    }
}

void FailuresByKind::addSettled(std::size_t kind, std::size_t endpoint, const RatedCounts& counts)
{
    const double ratio = logLikelihoodRatio(counts, sharesOver(tolerableShare(kind)));
    m_sum += ratio;
    m_parts[endpoint] += ratio;
    m_isSeen[endpoint] = true;
    if (m_sum <= 0) {
        m_sum = 0;
        m_parts.fill(0);
    }
}

double FailuresByKind::tolerableShare(std::size_t kind) const
{
    return std::max({ leastTolerable, m_others[kind].cautiousBadShare(), wavesFactor * m_othersBefore[kind].badShare() });
}

double FailuresByKind::sumOfAll() const
{
    FailuresByKind all = *this;
    all.settleAll();
    return all.sum();
}

double FailuresByKind::sum() const
{
    if (std::count(m_isSeen.begin(), m_isSeen.end(), true) <= 1)
        return m_sum;
    const double largest = std::max(0.0, *std::max_element(m_parts.begin(), m_parts.end()));
    return std::min(m_sum, 2 * (m_sum - largest));
}

}
