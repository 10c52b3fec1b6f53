#include "whinyard/peer/HeardRevisions.h"

#include "whinyard/peer/StoreReaders.h"

#include <algorithm>

namespace whinyard::peer {

HeardRevisions::HeardRevisions(Random random, const HeardRevisionsSettings& settings)
    : m_settings(settings)
    , m_random(random)
{
}

void HeardRevisions::hear(const InstanceName& instance, const Revision& revision, SteadyTime now)
{
    std::erase_if(m_heard, [&](const Heard& one) { return one.instance == instance; });
    m_heard.push_back({ instance, revision });
    if (m_heard.size() > m_settings.mostHeard)
        m_heard.erase(m_heard.begin());
    if (revision <= m_newest)
        return;
    m_newest = revision;
    m_newestSince = now;
}

bool HeardRevisions::isBehind(const Revision& own) const
{
    return own < m_newest;
}

std::optional<RevisionRead> HeardRevisions::due(const Revision& own, bool isFollower, SteadyTime now)
{
    if (!isBehind(own) || m_isReading || now < m_notBefore)
        return std::nullopt;
    if (isFollower && now - m_newestSince < m_settings.followerPatience)
        return std::nullopt;
    m_asked.reset();
    const std::uint32_t cycle = m_settings.failuresBeforeStore + 1;
    const bool mayReadStore = m_instances <= mostStoreReaders || below(m_random, m_instances) < mostStoreReaders;
    if (m_failures % cycle == m_settings.failuresBeforeStore && mayReadStore)
        return RevisionRead {};
    m_asked = choose(own);
    return m_asked ? std::optional(RevisionRead { m_asked }) : std::nullopt;
}

// One that has stood still since it told keeps each read waiting for a quarter of the time that a change has: asking the
// other follower next leaves that time once, where asking any again took it twice for one instance in four.
std::optional<InstanceName> HeardRevisions::choose(const Revision& own)
{
    std::vector<InstanceName> newer;
    std::vector<InstanceName> untried;
    for (const auto& [instance, revision] : m_heard) {
        if (revision <= own)
            continue;
        newer.push_back(instance);
        if (!m_failed.contains(instance))
            untried.push_back(instance);
    }
    const std::vector<InstanceName>& candidates = untried.empty() ? newer : untried;
    if (candidates.empty())
        return std::nullopt;
    // Any of them, so that a part of all instances asks each.
    return candidates[below(m_random, candidates.size())];
}

void HeardRevisions::noteEnded(bool succeeded, SteadyTime now)
{
    m_isReading = false;
    if (succeeded) {
        m_failures = 0;
        m_failed.clear();
        return;
    }
    constexpr std::uint32_t mostDoublings = 16;
    const std::chrono::milliseconds pause = std::min(m_settings.longestPause, m_settings.firstPause * (1 << std::min(m_failures, mostDoublings)));
    ++m_failures;
    if (m_asked)
        m_failed.insert(*m_asked);
    m_notBefore = now + pause;
}

}
