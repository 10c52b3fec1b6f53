#include "entry/InstanceWatch.h"

#include "whinyard/base/Log.h"

namespace whinyard::daemon {

InstanceWatch::InstanceWatch(EntryShared& shared, ServeDuty& serving, RosterWatch& roster)
    : m_shared(shared)
    , m_serving(serving)
    , m_roster(roster)
{
}

void InstanceWatch::replaced(const std::vector<backing::Record>& records)
{
    m_addresses.clear();
    for (const backing::Record& record : records)
        m_addresses[record.key] = record.value;
    handOn();
}

void InstanceWatch::changed(const std::vector<backing::RecordChange>& changes)
{
    for (const backing::RecordChange& change : changes) {
        if (change.deleted)
            m_addresses.erase(change.record.key);
        else
            m_addresses[change.record.key] = change.record.value;
    }
    handOn();
}

void InstanceWatch::handOn()
{
    std::vector<net::Address> peers;
    std::vector<InstanceName> names;
    for (const auto& [key, text] : m_addresses) {
        Failure failure;
        const std::optional<net::Address> address = net::parseAddress(text, failure);
        names.push_back({ key.substr(prefix.size()) });
        if (!address)
            log::error("instance's record not taken", { { "key", key }, { "reason", failure.reason } });
        else if (address != m_shared.settings.peers)
            peers.push_back(*address);
    }
    log::info("instances changed", { { "others", std::to_string(peers.size()) } });
    m_serving.takePeers(std::move(peers));
    m_roster.takeInstances(names);
}

}
