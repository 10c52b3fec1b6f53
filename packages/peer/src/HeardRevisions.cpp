#include "whinyard/peer/HeardRevisions.h"

#include <algorithm>
#include <vector>

namespace whinyard::peer {

HeardRevisions::HeardRevisions(Random random, const HeardRevisionsSettings& settings)
    : m_settings(settings)
    , m_random(random)
{
}

void HeardRevisions::hear(const InstanceName& instance, std::uint64_t revision, SteadyTime now)
{
    m_heard[instance] = revision;
    if (revision <= m_newest)
        return;
    m_newest = revision;
    m_newestSince = now;
}

bool HeardRevisions::isBehind(std::uint64_t own) const
{
    return own < m_newest;
}

std::optional<RevisionRead> HeardRevisions::due(std::uint64_t own, bool isFollower, SteadyTime now)
{
    if (!isBehind(own) || m_isReading || now < m_notBefore)
        return std::nullopt;
    if (isFollower && now - m_newestSince < m_settings.followerPatience)
        return std::nullopt;
    const std::uint32_t cycle = m_settings.failuresBeforeStore + 1;
    if (m_failures % cycle == m_settings.failuresBeforeStore)
        return RevisionRead {};
    std::vector<InstanceName> newer;
    for (const auto& [instance, revision] : m_heard) {
        if (revision > own)
            newer.push_back(instance);
    }
    if (newer.empty())
        return RevisionRead {};
    // Any of them, so that a part of all instances asks each.
    return RevisionRead { newer[below(m_random, newer.size())] };
}

void HeardRevisions::noteEnded(bool succeeded, SteadyTime now)
{
    m_isReading = false;
    if (succeeded) {
        m_failures = 0;
        return;
    }
    constexpr std::uint32_t mostDoublings = 16;
    const std::chrono::milliseconds pause = std::min(m_settings.longestPause, m_settings.firstPause * (1 << std::min(m_failures, mostDoublings)));
    ++m_failures;
    m_notBefore = now + pause;
}

}
