#include "whinyard/endpoint/RosterHistory.h"

#include <algorithm>

namespace whinyard::endpoint {

void RosterHistory::begin(const Revision& at)
{
    m_begin = at;
    m_gaps.clear();
    while (!m_ordered.empty() && m_ordered.begin()->first <= at) {
        m_changed.erase(m_ordered.begin()->second);
        m_ordered.erase(m_ordered.begin());
    }
}

bool RosterHistory::note(const EndpointName& endpoint, const Revision& at)
{
    if (at <= m_begin)
        return false;
    Revision& known = m_changed[endpoint];
    if (at < known)
        return false;
    m_ordered.erase({ known, endpoint });
    known = at;
    m_ordered.emplace(at, endpoint);
    return true;
}

void RosterHistory::noteGap(const Revision& from, const Revision& to)
{
    if (from < to)
        m_gaps.emplace_back(from, to);
}

bool RosterHistory::reachesBackTo(const Revision& after) const
{
    return m_begin <= after && std::none_of(m_gaps.begin(), m_gaps.end(), [&](const auto& gap) { return gap.first < after && after < gap.second; });
}

std::vector<EndpointName> RosterHistory::changedAfter(const Revision& after) const
{
    std::vector<EndpointName> changed;
    for (auto change = m_ordered.rbegin(); change != m_ordered.rend() && change->first > after; ++change)
        changed.push_back(change->second);
    return changed;
}

bool RosterHistory::isNewer(const EndpointName& endpoint, const Revision& at) const
{
    const auto known = m_changed.find(endpoint);
    return known != m_changed.end() && known->second > at;
}

void RosterHistory::trim(std::size_t most)
{
    while (m_ordered.size() > most) {
        m_begin = std::max(m_begin, m_ordered.begin()->first);
        m_changed.erase(m_ordered.begin()->second);
        m_ordered.erase(m_ordered.begin());
    }
    // Those of the same revision as the last one forgotten are no longer complete either.
    while (!m_ordered.empty() && m_ordered.begin()->first <= m_begin) {
        m_changed.erase(m_ordered.begin()->second);
        m_ordered.erase(m_ordered.begin());
    }
    std::erase_if(m_gaps, [&](const auto& gap) { return gap.second <= m_begin; });
}

}
