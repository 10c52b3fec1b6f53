#include "internal/EntryTable.h"

#include <algorithm>

namespace whinyard::replay {

namespace {

    std::uint64_t prefixDigest(const TraceRequest& request) { return stableHash("session", request.session) | 1; }

}

EntryTable::EntryTable(const World& world, std::size_t instance, std::unique_ptr<policy::EndpointSelector> selector)
    : m_world(world)
    , m_selector(std::move(selector))
    , m_zoneName(world.trace.zones[instance % world.trace.zones.size()])
{
    useList();
}

void EntryTable::useList()
{
    std::vector<policy::EndpointMember> members;
    for (const auto& engine : m_world.engines) {
        if (!engine->isLost())
            members.push_back({ engine->description().name, engine->description().zone, engine->description().versions, {}, false });
    }
    m_table.replaceMembers(members);
    m_unqueuedWait.resize(m_world.engines.size());
    m_rows.assign(m_world.engines.size(), std::nullopt);
    for (std::size_t engine = 0; engine < m_rows.size(); ++engine)
        m_rows[engine] = m_table.find(m_world.engines[engine]->description().name);
    m_zone = m_table.find(m_zoneName);
}

std::optional<std::size_t> EntryTable::choose(const Call& call, std::size_t version, SteadyTime deadline, Random& random, std::chrono::microseconds& expectedWait) const
{
    const auto target = m_table.find(m_world.trace.document.versions[version].name);
    if (!target)
        return std::nullopt;
    std::vector<policy::EndpointIndex> excluded;
    for (const std::size_t engine : call.tried) {
        if (m_rows[engine])
            excluded.push_back(*m_rows[engine]);
    }
    const std::uint64_t digest = prefixDigest(*call.request);
    policy::EndpointRequest request;
    request.target = *target;
    request.zone = m_zone;
    request.affinity = digest;
    request.prefix = { &digest, 1 };
    request.promptTokens = call.request->promptTokens;
    request.deadline = deadline;
    request.excluded = excluded;
    const policy::EndpointPlan plan = m_selector->choose(m_table, request, m_world.events.now(), random);
    expectedWait = plan.cautiousWait;
    if (!plan)
        return std::nullopt;
    const auto row = std::find(m_rows.begin(), m_rows.end(), std::optional(plan.endpoint));
    const auto engine = static_cast<std::size_t>(row - m_rows.begin());
    m_unqueuedWait[engine] = plan.unqueuedWait;
    return engine;
}

void EntryTable::dispatched(const Call& call)
{
    const std::uint64_t digest = prefixDigest(*call.request);
    if (m_rows[call.engine])
        m_table.recordDispatch(*m_rows[call.engine], { &digest, 1 }, m_world.events.now());
}

void EntryTable::firstToken(const Call& call)
{
    if (m_rows[call.engine])
        m_table.recordFirstByte(*m_rows[call.engine], m_world.events.now() - call.dispatchedAt);
}

void EntryTable::queued(const Call& call)
{
    if (m_rows[call.engine])
        m_table.recordQueued(*m_rows[call.engine], m_world.events.now());
}

void EntryTable::attemptEnded(const Call& call, policy::EndpointOutcome outcome)
{
    if (m_rows[call.engine])
        m_table.recordEnd(*m_rows[call.engine], outcome, m_world.events.now() - call.dispatchedAt, m_world.events.now());
}

void EntryTable::reported(std::size_t engine, const policy::LoadReport& report)
{
    if (m_rows[engine])
        m_table.recordReport(*m_rows[engine], report, m_world.events.now());
}

void EntryTable::refresh() { m_table.refresh(m_world.events.now()); }

std::chrono::microseconds EntryTable::decodeTime(std::size_t engine, double tokens) const
{
    if (!m_rows[engine])
        return std::chrono::microseconds(0);
    const policy::EndpointRow& row = m_table.row(*m_rows[engine]);
    const std::chrono::nanoseconds time = row.step.count() > 0 ? std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(row.step.count()) * tokens)) : row.serviceTime;
    return std::chrono::duration_cast<std::chrono::microseconds>(time);
}

}
