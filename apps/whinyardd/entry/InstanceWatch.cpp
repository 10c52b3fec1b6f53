#include "entry/InstanceWatch.h"

#include "whinyard/base/Log.h"

#include <algorithm>
#include <utility>

namespace whinyard::daemon {

namespace {

    // A record that was read may be seconds old, and an instance's own notice comes before its record.
    constexpr std::chrono::seconds announcedFor { 30 };

    constexpr std::chrono::milliseconds announcementPause { 50 };

    // In which every instance has seen that the store came back, and has written its record again where it was lost.
    constexpr std::chrono::seconds rewrittenWithin { 15 };

}

InstanceWatch::InstanceWatch(EntryShared& shared, ServeDuty& serving, RosterWatch& roster)
    : m_shared(shared)
    , m_serving(serving)
    , m_roster(roster)
{
}

void InstanceWatch::replaced(const std::vector<backing::Record>& records, std::uint64_t era)
{
    const SteadyTime now = m_shared.clock.now();
    if (m_era && era > *m_era)
        m_returnedAt = now;
    m_era = era;
    if (!m_returnedAt || now - *m_returnedAt > rewrittenWithin)
        m_listed.clear();
    for (const backing::Record& record : records) {
        Failure failure;
        const InstanceName name { record.key.substr(prefix.size()) };
        if (const std::optional<peer::InstanceNotice> instance = peer::readInstanceRecord(name, record.value, failure))
            m_listed[name] = *instance;
        else
            log::error("instance's record not taken", { { "key", record.key }, { "reason", failure.reason } });
    }
    std::erase_if(m_announced, [now](const auto& entry) { return now - entry.second.at > announcedFor; });
    m_knowsOthers = std::any_of(m_listed.begin(), m_listed.end(), [this](const auto& entry) { return entry.first != m_shared.settings.instance; });
    if (m_knowsOthers)
        m_isKnown = true;
    if (m_isKnown)
        handOn();
    // At the first read, others that start with this one don't stand in the store yet.
    m_isSettled = std::exchange(m_wasRead, true);
    if (m_isSettled)
        shareBounds();
}

// What is allowed to all instances together is dealt out among those that live.
void InstanceWatch::shareBounds()
{
    std::vector<peer::InstanceNotice> instances;
    for (const auto& [name, instance] : m_handedOn)
        instances.push_back(instance);
    m_serving.takeInstances(std::move(instances));
}

std::optional<net::Address> InstanceWatch::addressOf(const InstanceName& instance) const
{
    const auto known = m_handedOn.find(instance);
    return known == m_handedOn.end() ? std::nullopt : std::optional(known->second.address);
}

void InstanceWatch::noteKnown()
{
    m_isKnown = true;
    handOn();
}

void InstanceWatch::takeNotice(const peer::InstanceNotice& notice)
{
    m_announced[notice.instance] = { notice, m_shared.clock.now() };
    m_hasAnnounced = true;
    m_announcement.notify();
}

void InstanceWatch::handOnAnnounced(std::chrono::milliseconds wait)
{
    if (!m_hasAnnounced && !m_announcement.wait(wait))
        return;
    net::sleepFor(announcementPause);
    if (std::exchange(m_hasAnnounced, false) && m_isKnown)
        handOn();
}

void InstanceWatch::handOn()
{
    std::map<InstanceName, peer::InstanceNotice> instances = m_listed;
    instances[m_shared.settings.instance] = { m_shared.settings.instance, *m_shared.settings.peers, m_shared.settings.linkMegabits };
    for (const auto& [name, announced] : m_announced)
        instances[name] = announced.notice;
    if (instances == m_handedOn)
        return;
    m_handedOn = instances;
    m_shared.metrics.add("whinyard_instance_lists_total");
    m_shared.metrics.set("whinyard_instances", static_cast<double>(instances.size()));
    std::vector<net::Address> peers;
    for (const auto& [name, instance] : instances) {
        if (instance.address != m_shared.settings.peers)
            peers.push_back(instance.address);
    }
    log::info("instances changed", { { "others", std::to_string(peers.size()) } });
    m_serving.takePeers(std::move(peers));
    m_roster.takeInstances(std::move(instances));
    if (m_isSettled)
        shareBounds();
}

}
