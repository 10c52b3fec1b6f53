#include "whinyard/policy/PrefixIndex.h"

#include <algorithm>
#include <bit>

namespace whinyard::policy {

namespace {

    std::uint32_t milliseconds(SteadyTime time)
    {
        return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count());
    }

}

PrefixIndex::PrefixIndex(std::size_t capacity)
    : m_ways(std::bit_ceil(std::max(capacity, waysPerSet)))
    , m_sets(m_ways.size() / waysPerSet)
{
}

std::size_t PrefixIndex::setOf(std::uint64_t digest) const
{
    constexpr std::uint64_t goldenRatio = 0x9E3779B97F4A7C15ULL;
    const std::uint64_t spread = digest * goldenRatio;
    return ((spread >> 32) & (m_sets - 1)) * waysPerSet;
}

void PrefixIndex::note(std::uint64_t digest, std::uint32_t endpoint, SteadyTime now)
{
    const std::uint32_t nowMs = milliseconds(now);
    Way* const set = &m_ways[setOf(digest)];
    Way* oldest = set;
    for (std::size_t i = 0; i < waysPerSet; ++i) {
        Way& way = set[i];
        if (way.digest == digest && way.endpoint == endpoint) {
            way.seenAtMs = nowMs;
            return;
        }
        const bool isOlder = nowMs - way.seenAtMs > nowMs - oldest->seenAtMs;
        if (oldest->endpoint != unused && (way.endpoint == unused || isOlder))
            oldest = &way;
    }
    *oldest = { digest, endpoint, nowMs };
}

void PrefixIndex::forget(std::uint32_t endpoint)
{
    for (Way& way : m_ways) {
        if (way.endpoint == endpoint)
            way = {};
    }
}

PrefixIndex::Matches PrefixIndex::find(std::uint64_t digest) const
{
    Matches matches;
    const Way* const set = &m_ways[setOf(digest)];
    for (std::size_t i = 0; i < waysPerSet; ++i) {
        if (set[i].digest == digest && set[i].endpoint != unused)
            matches.endpoints[matches.count++] = set[i].endpoint;
    }
    return matches;
}

}
