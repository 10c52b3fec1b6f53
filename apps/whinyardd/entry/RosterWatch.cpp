#include "entry/RosterWatch.h"

#include "Shared.h"
#include "platform/Endpoints.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    std::optional<backing::ListedEndpoint> read(const backing::Record& record)
    {
        Failure failure;
        std::optional<backing::ListedEndpoint> endpoint = platform::parseEndpoint(record.key, record.value, failure);
        if (!endpoint)
            log::error("endpoint's entry not taken", { { "key", record.key }, { "reason", failure.reason } });
        return endpoint;
    }

}

RosterWatch::RosterWatch(EntryShared& shared, ServeDuty& serving)
    : m_shared(shared)
    , m_serving(serving)
    , m_relay(shared.settings.instance)
    , m_life(seededRandom()())
{
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
}

void RosterWatch::changed(const std::vector<backing::RecordChange>& changes)
{
    const SteadyTime now = m_shared.clock.now();
    m_roster.storeAnswered(now);
    for (const backing::RecordChange& change : changes) {
        if (change.deleted)
            m_roster.remove({ change.record.key.substr(std::min(platform::endpointPrefix.size(), change.record.key.size())) }, now);
        else if (const std::optional<backing::ListedEndpoint> endpoint = read(change.record))
            m_roster.put(*endpoint);
    }
}

void RosterWatch::proven(SteadyTime)
{
    m_roster.storeAnswered(m_shared.clock.now());
}

void RosterWatch::failed(const Failure&)
{
    m_roster.storeFailed();
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

bool RosterWatch::mustFollow() const
{
    return m_readAnew || m_relay.mustFollow(m_shared.clock.now());
}

void RosterWatch::takeNotice(const peer::RosterNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    const endpoint::RosterStatement statement { notice.instance, notice.life, notice.sequence, !notice.changed.empty() || !notice.gone.empty() };
    switch (m_relay.hear(statement, now)) {
    case endpoint::RelayAction::ignore:
        return;
    case endpoint::RelayAction::readAnew:
        m_readAnew = true;
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
    if (!m_relay.isFollower())
        return;
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
        peer::RosterNotice notice { m_shared.settings.instance, m_life, m_sequence, {}, {} };
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
