#include "entry/OperatorWatch.h"

#include "platform/Configuration.h"
#include "platform/Evacuations.h"
#include "platform/Rollouts.h"
#include "whinyard/base/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace whinyard::daemon {

OperatorWatch::OperatorWatch(EntryShared& shared, ServeDuty& serving)
    : m_shared(shared)
    , m_serving(serving)
    , m_book(platform::statedVersion)
{
}

void OperatorWatch::replaced(const std::vector<backing::Record>& records, backing::Revision at)
{
    const bool isFirst = revision() == Revision();
    m_book.replace(records, at, m_shared.clock.now());
    takeAll(isFirst);
}

void OperatorWatch::takeSnapshot(const peer::RecordSnapshot& snapshot)
{
    const bool isFirst = revision() == Revision();
    m_book.merge(snapshot, m_shared.clock.now());
    takeAll(isFirst);
}

void OperatorWatch::settle()
{
    if (!m_book.settle(m_shared.clock.now()).empty())
        takeAll(false);
}

// The revision is known before any of the records is in force: whoever asks whether the instance is behind must not meet the new ones
// with the old revision.
void OperatorWatch::takeAll(bool isFirst)
{
    std::set<ServiceName> gone;
    for (const auto& [service, ordered] : m_ordered)
        gone.insert(service);
    takeEvacuations(); // Before the first configuration, by which requests are sent on.
    for (const auto& [key, record] : m_book.records()) {
        if (const auto service = platform::orderedService(key))
            gone.erase(*service);
        take(record);
    }
    for (const ServiceName& service : gone)
        dropOrder(service);
    m_beganWithOrders = isFirst ? hasOrders() : m_beganWithOrders;
    noteKnown();
}

void OperatorWatch::noteRead(const Revision& revision)
{
    m_knownUpTo = std::max(m_knownUpTo, revision);
    noteKnown();
}

// The newest change may be none of the configuration, and then no new routing tells its revision.
void OperatorWatch::noteKnown()
{
    m_shared.routing.noteRevisions(knownUpTo(), {});
    m_shared.metrics.set("whinyard_operators_records_carried", static_cast<double>(m_book.carried()));
}

peer::RecordSnapshot OperatorWatch::snapshot() const
{
    return m_book.snapshot(m_shared.clock.now());
}

void OperatorWatch::changed(const std::vector<backing::RecordChange>& changes)
{
    for (const backing::RecordChange& change : changes) {
        m_book.change(change, m_shared.clock.now());
        const auto record = m_book.records().find(change.record.key);
        const auto service = platform::orderedService(change.record.key);
        if (record != m_book.records().end())
            take(record->second);
        else if (service)
            dropOrder(*service);
    }
    takeEvacuations();
    noteKnown();
}

void OperatorWatch::take(const backing::Record& record)
{
    if (record.key == platform::configurationKey)
        takeConfiguration(record);
    else if (platform::orderedService(record.key))
        takeOrder(record);
}

void OperatorWatch::takeConfiguration(const backing::Record& record)
{
    if (std::exchange(m_configuration, record.revision) == record.revision)
        return;
    Failure failure;
    std::optional<config::Routing> routing = platform::parseConfiguration(record.value, failure);
    if (!routing) {
        log::error("configuration not taken", { { "revision", toText(record.revision) }, { "reason", failure.reason } });
        return;
    }
    const std::uint64_t version = routing->version;
    const std::vector<std::string> leftOut = routing->leftOut;
    const config::CallerLimits limits = routing->limits;
    const std::string counts = std::to_string(routing->routes.size()) + " routes, " + std::to_string(routing->customers.size()) + " customers";
    if (!m_shared.routing.take(std::move(*routing), knownUpTo()))
        return;
    for (const std::string& reason : leftOut)
        log::warning("configuration's entry left out", { { "configuration", std::to_string(version) }, { "reason", reason } });
    m_serving.takeLimits(limits);
    m_shared.metrics.set("whinyard_configuration_version", static_cast<double>(version));
    log::info("configuration in force", { { "configuration", std::to_string(version) }, { "revision", toText(record.revision) }, { "holds", counts } });
}

void OperatorWatch::takeOrder(const backing::Record& record)
{
    Failure failure;
    const std::optional<policy::ShiftOrder> order = platform::parseOrder(record, failure);
    if (!order) {
        log::error("roll-out order not taken", { { "key", record.key }, { "reason", failure.reason } });
        return;
    }
    if (std::exchange(m_ordered[order->service], record.revision) == record.revision)
        return; // It came with other records that changed.
    log::info("roll-out ordered", { { "service", order->service.value }, { "target", order->target }, { "periodMs", std::to_string(order->period.count()) }, { "revision", toText(order->revision) } });
    m_serving.postToShifts([order = *order, now = m_shared.clock.now()](policy::VersionShifts& shifts) { shifts.takeOrder(order, now); });
}

// What is in force is what stands among the records.
void OperatorWatch::takeEvacuations()
{
    std::map<ZoneName, Revision> ordered;
    for (const auto& [key, record] : m_book.records()) {
        if (const std::optional<ZoneName> zone = platform::evacuatedZone(key))
            ordered.emplace(*zone, record.revision);
    }
    if (ordered == m_evacuated)
        return;
    const std::map<ZoneName, Revision> before = std::exchange(m_evacuated, std::move(ordered));
    std::set<ZoneName> zones;
    for (const auto& [zone, revision] : m_evacuated) {
        zones.insert(zone);
        if (!before.contains(zone))
            log::info("zone evacuated", { { "zone", zone.value }, { "revision", toText(revision) }, { "knownUpTo", toText(knownUpTo()) } });
    }
    for (const auto& [zone, revision] : before) {
        if (!m_evacuated.contains(zone))
            log::info("zone taken back", { { "zone", zone.value }, { "evacuatedAtRevision", toText(revision) }, { "knownUpTo", toText(knownUpTo()) } });
    }
    m_shared.metrics.set("whinyard_zones_evacuated", static_cast<double>(zones.size()));
    m_shared.routing.useEvacuatedZones(std::move(zones));
    m_serving.noteRouting();
}

void OperatorWatch::dropOrder(const ServiceName& service)
{
    if (m_ordered.erase(service) == 0)
        return;
    log::info("roll-out order taken back", { { "service", service.value } });
    m_serving.postToShifts([service](policy::VersionShifts& shifts) { shifts.dropOrder(service); });
}

}
