#include "entry/RosterWatch.h"

#include "Shared.h"
#include "platform/Endpoints.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::daemon {

RosterWatch::RosterWatch(EntryShared& shared, ServeDuty& serving, OperatorRelay& operators)
    : m_shared(shared)
    , m_serving(serving)
    , m_operators(operators)
    , m_relay(shared.settings.instance, endpoint::relaySettingsFor(shared.settings.bounds.drain))
    , m_life(seededRandom()())
{
}

// An entry may come from any writer. One that can't be read names no endpoint to use; it is said once for each key, not each
// time that it is written.
std::optional<backing::ListedEndpoint> RosterWatch::read(const backing::Record& record)
{
    Failure failure;
    std::optional<backing::ListedEndpoint> endpoint = platform::parseEndpoint(record.key, record.value, failure);
    if (endpoint)
        m_unreadable.erase(record.key);
    else if (m_unreadable.insert(record.key).second)
        log::error("endpoint's entry not taken", { { "key", record.key }, { "reason", failure.reason } });
    return endpoint;
}

void RosterWatch::replaced(const std::vector<backing::Record>& records)
{
    const SteadyTime now = m_shared.clock.now();
    std::vector<backing::ListedEndpoint> listed;
    for (const backing::Record& record : records) {
        if (std::optional<backing::ListedEndpoint> endpoint = read(record))
            listed.push_back(std::move(*endpoint));
    }
    m_roster.storeAnswered(now);
    m_roster.replace(listed, now);
    m_relay.noteRead();
}

void RosterWatch::changed(const std::vector<backing::RecordChange>& changes)
{
    const SteadyTime now = m_shared.clock.now();
    m_roster.storeAnswered(now);
    for (const backing::RecordChange& change : changes) {
        const std::optional<backing::ListedEndpoint> endpoint = change.deleted ? std::nullopt : read(change.record);
        if (endpoint)
            m_roster.put(*endpoint);
        else
            m_roster.remove({ change.record.key.substr(std::min(platform::endpointPrefix.size(), change.record.key.size())) }, now);
        if (change.deleted)
            m_unreadable.erase(change.record.key);
    }
}

void RosterWatch::proven(SteadyTime)
{
    m_roster.storeAnswered(m_shared.clock.now());
    m_storeFails = false;
}

void RosterWatch::failed(const Failure&)
{
    m_roster.storeFailed();
    m_storeFails = true;
    m_relay.noteFailed(m_shared.clock.now());
}

void RosterWatch::settle()
{
    if (!m_roster.settle(m_shared.clock.now()))
        return;
    std::vector<backing::ListedEndpoint> listed = m_roster.list();
    const auto leaving = std::count_if(listed.begin(), listed.end(), [](const auto& endpoint) { return endpoint.leaving; });
    log::info("endpoints changed", { { "listed", std::to_string(listed.size()) }, { "leaving", std::to_string(leaving) } });
    m_shared.metrics.set("whinyard_endpoints", static_cast<double>(listed.size()));
    m_serving.takeEndpoints(std::move(listed));
    m_shared.endpointsKnown = true;
}

void RosterWatch::takeInstances(std::map<InstanceName, peer::InstanceNotice> instances)
{
    std::vector<endpoint::RelayCandidate> candidates;
    for (const auto& [name, instance] : instances)
        candidates.push_back({ name, instance.linkMegabits });
    m_operators.useInstances(instances);
    m_instances = std::move(instances);
    m_relay.useInstances(std::move(candidates), m_shared.clock.now());
}

bool RosterWatch::mustFollow()
{
    const SteadyTime now = m_shared.clock.now();
    const endpoint::RosterNeed need = m_relay.need(now);
    if (need != endpoint::RosterNeed::ask)
        return need == endpoint::RosterNeed::follow;
    for (const InstanceName& name : m_relay.toAsk(now)) {
        const auto known = m_instances.find(name);
        if (known != m_instances.end())
            m_serving.send(known->second.address, peer::RosterRequest { m_shared.settings.instance });
    }
    return false;
}

void RosterWatch::noteFollowing() const
{
    log::info("following endpoints in the store", { { "reason", std::string(m_relay.followReason(m_shared.clock.now())) } });
}

bool RosterWatch::mayTell() const
{
    const SteadyTime now = m_shared.clock.now();
    return m_relay.mayTell(now) && m_roster.isSettled(now);
}

void RosterWatch::answer(const net::Address& asker)
{
    if (!mayTell())
        return;
    // What was told last: the changes that follow build on it.
    std::vector<backing::ListedEndpoint> list;
    for (const auto& [name, endpoint] : m_told)
        list.push_back(endpoint);
    const std::size_t parts = std::max<std::size_t>(1, (list.size() + peer::mostRosterChanges - 1) / peer::mostRosterChanges);
    for (std::size_t part = 0; part < parts; ++part) {
        const std::size_t begin = part * peer::mostRosterChanges;
        const std::size_t end = std::min(begin + peer::mostRosterChanges, list.size());
        peer::RosterPart notice { m_shared.settings.instance, m_life, m_sequence, static_cast<std::uint32_t>(part), static_cast<std::uint32_t>(parts), {}, m_operators.revision() };
        notice.endpoints.assign(list.begin() + static_cast<std::ptrdiff_t>(begin), list.begin() + static_cast<std::ptrdiff_t>(end));
        m_serving.send(asker, std::move(notice));
    }
}

void RosterWatch::takePart(const peer::RosterPart& part)
{
    m_operators.hear(part.instance, part.operators);
    const auto isOfAnotherList = [&](const peer::RosterPart& known) {
        return known.instance != part.instance || known.life != part.life || known.sequence != part.sequence || known.parts != part.parts;
    };
    if (!m_parts.empty() && isOfAnotherList(m_parts.front()))
        m_parts.clear();
    if (std::none_of(m_parts.begin(), m_parts.end(), [&](const auto& known) { return known.part == part.part; }))
        m_parts.push_back(part);
    if (m_parts.size() < part.parts)
        return;
    const SteadyTime now = m_shared.clock.now();
    std::vector<backing::ListedEndpoint> listed;
    for (const peer::RosterPart& known : std::exchange(m_parts, {}))
        listed.insert(listed.end(), known.endpoints.begin(), known.endpoints.end());
    if (!m_relay.hearWhole({ part.instance, part.life, part.sequence, false }, now))
        return;
    log::info("endpoints told", { { "by", part.instance.value }, { "listed", std::to_string(listed.size()) }, { "sequence", std::to_string(part.sequence) } });
    m_roster.replace(listed, now);
    settle();
}

void RosterWatch::takeNotice(const peer::RosterNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    m_operators.hear(notice.instance, notice.operators);
    const endpoint::RosterStatement statement { notice.instance, notice.life, notice.sequence, !notice.changed.empty() || !notice.gone.empty(), notice.isCurrent };
    switch (m_relay.hear(statement, now)) {
    case endpoint::RelayAction::ignore:
        return;
    case endpoint::RelayAction::incomplete:
        return;
    case endpoint::RelayAction::apply:
        break;
    }
    for (const backing::ListedEndpoint& endpoint : notice.changed)
        m_roster.put(endpoint);
    for (const EndpointName& name : notice.gone)
        m_roster.remove(name, now);
    settle();
}

void RosterWatch::tell()
{
    if (!mayTell()) {
        if (isFollower() && m_storeFails)
            m_serving.broadcast(peer::RosterNotice { m_shared.settings.instance, m_life, m_sequence, {}, {}, m_operators.revision(), false });
        return;
    }
    std::map<EndpointName, backing::ListedEndpoint> now;
    std::vector<backing::ListedEndpoint> changed;
    for (backing::ListedEndpoint& endpoint : m_roster.list()) {
        const auto told = m_told.find(endpoint.name);
        if (told == m_told.end() || !(told->second == endpoint))
            changed.push_back(endpoint);
        now.emplace(endpoint.name, endpoint);
    }
    std::vector<EndpointName> gone;
    for (const auto& [name, endpoint] : m_told) {
        if (!now.contains(name))
            gone.push_back(name);
    }
    m_told = std::move(now);
    broadcast(std::move(changed), std::move(gone));
}

void RosterWatch::broadcast(std::vector<backing::ListedEndpoint> changed, std::vector<EndpointName> gone)
{
    do {
        peer::RosterNotice notice { m_shared.settings.instance, m_life, m_sequence, {}, {}, m_operators.revision(), true };
        const std::size_t taken = std::min(changed.size(), peer::mostRosterChanges);
        notice.changed.assign(changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(taken));
        changed.erase(changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(taken));
        const std::size_t left = std::min(gone.size(), peer::mostRosterChanges);
        notice.gone.assign(gone.begin(), gone.begin() + static_cast<std::ptrdiff_t>(left));
        gone.erase(gone.begin(), gone.begin() + static_cast<std::ptrdiff_t>(left));
        if (!notice.changed.empty() || !notice.gone.empty())
            notice.sequence = ++m_sequence;
        m_serving.broadcast(std::move(notice));
    } while (!changed.empty() || !gone.empty());
}

}
