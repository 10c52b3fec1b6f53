#include "entry/RosterWatch.h"

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

}
