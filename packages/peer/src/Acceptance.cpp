#include "whinyard/peer/Acceptance.h"

#include <algorithm>
#include <utility>

namespace whinyard::peer {

AcceptanceTracker::AcceptanceTracker(std::uint64_t revision, std::vector<InstanceName> instances)
    : m_revision(revision)
    , m_instances(std::move(instances))
{
    std::sort(m_instances.begin(), m_instances.end());
    m_instances.erase(std::unique(m_instances.begin(), m_instances.end()), m_instances.end());
}

void AcceptanceTracker::take(const Sender& sender, std::uint64_t revision, SteadyTime askedAt, SteadyTime answeredAt)
{
    if (revision < m_revision || !std::binary_search(m_instances.begin(), m_instances.end(), sender.instance))
        return;
    Holding& holding = m_holdings.try_emplace(sender.instance, Holding { sender.incarnation, answeredAt, askedAt }).first->second;
    if (holding.incarnation < sender.incarnation)
        holding = { sender.incarnation, answeredAt, askedAt };
    else if (holding.incarnation == sender.incarnation)
        holding.until = std::max(holding.until, askedAt);
}

Acceptance AcceptanceTracker::status() const
{
    Acceptance acceptance { m_revision, m_instances.size(), m_holdings.size(), isAccepted(), {} };
    for (const InstanceName& instance : m_instances) {
        if (!m_holdings.contains(instance))
            acceptance.missing.push_back(instance);
    }
    return acceptance;
}

// Looks for a moment at which a majority held the revision. If there is one, the start of some holding is one, too.
bool AcceptanceTracker::isAccepted() const
{
    const std::size_t majority = m_instances.size() / 2 + 1;
    for (const auto& [name, candidate] : m_holdings) {
        const SteadyTime moment = candidate.from;
        const auto covers = [moment](const auto& entry) { return entry.second.from <= moment && moment <= entry.second.until; };
        if (static_cast<std::size_t>(std::count_if(m_holdings.begin(), m_holdings.end(), covers)) >= majority)
            return true;
    }
    return false;
}

}
