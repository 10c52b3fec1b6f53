#include "whinyard/ledger/MirrorHolder.h"

namespace whinyard::ledger {

MirrorHolder::MirrorHolder(const MirrorHolderOptions& options, const Clock& clock, const LiveWriters& live, UsageSegments& segments)
    : m_options(options)
    , m_clock(clock)
    , m_live(live)
    , m_segments(segments)
{
}

bool MirrorHolder::hold(const Writer& origin, const std::vector<NumberedLine>& lines)
{
    if (m_held + lines.size() > m_options.capacity)
        return false;
    Origin& known = m_origins[origin];
    known.heardAt = m_clock.now();
    for (const NumberedLine& line : lines) {
        if (line.number <= known.releasedThrough)
            continue; // A late copy of what is durable already.
        m_held += known.lines.try_emplace(line.number, HeldLine { line.line, std::nullopt }).second ? 1 : 0;
    }
    return true;
}

std::uint64_t MirrorHolder::release(const Writer& origin, std::uint64_t through)
{
    Origin& known = m_origins[origin];
    known.heardAt = m_clock.now();
    known.releasedThrough = std::max(known.releasedThrough, through);
    const auto end = known.lines.upper_bound(through);
    const auto count = static_cast<std::uint64_t>(std::distance(known.lines.begin(), end));
    known.lines.erase(known.lines.begin(), end);
    m_held -= count;
    return count;
}

void MirrorHolder::tick()
{
    for (auto item = m_origins.begin(); item != m_origins.end();) {
        Origin& origin = item->second;
        dropDurable(origin);
        const bool gone = isGone(item->first, origin);
        if (gone && origin.lines.empty()) {
            item = m_origins.erase(item);
            continue;
        }
        if (gone)
            adopt(origin);
        ++item;
    }
}

// A later life proves the end of an earlier one; without it the membership may be wrong for a while.
bool MirrorHolder::isGone(const Writer& writer, const Origin& origin) const
{
    if (m_live.isReplaced(writer))
        return true;
    return !m_live.isAlive(writer) && m_clock.now() - origin.heardAt >= m_options.grace;
}

// A line whose origin is gone has lost one of its three places, so it is written at once.
void MirrorHolder::adopt(Origin& origin)
{
    bool added = false;
    for (auto& [number, held] : origin.lines) {
        if (held.adopted)
            continue;
        held.adopted = m_segments.add(held.line);
        added = added || held.adopted;
    }
    if (added)
        m_segments.flush();
}

void MirrorHolder::dropDurable(Origin& origin)
{
    m_held -= std::erase_if(origin.lines, [&](const auto& item) { return item.second.adopted && *item.second.adopted <= m_segments.durableThrough(); });
}

}
