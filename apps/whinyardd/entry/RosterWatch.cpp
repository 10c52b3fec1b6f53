#include "entry/RosterWatch.h"

#include "Shared.h"
#include "platform/Endpoints.h"
#include "whinyard/base/Log.h"

#include <algorithm>
#include <utility>

namespace whinyard::daemon {

namespace {

    constexpr const char* target = "/endpoints";

    // After the store came back from an older copy, what it lists may be of the copy for so long.
    constexpr std::chrono::milliseconds copiedFor { 15'000 };

}

RosterWatch::RosterWatch(EntryShared& shared, ServeDuty& serving, OperatorRelay& operators, PeerExchange& exchange, net::Duty& duty)
    : m_shared(shared)
    , m_serving(serving)
    , m_operators(operators)
    , m_exchange(exchange)
    , m_duty(duty)
    , m_relay(shared.settings.instance, endpoint::relaySettingsFor(shared.settings.bounds.drain))
    , m_life(seededRandom()())
{
    m_exchange.serve(target, [this] { return told(); });
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

void RosterWatch::replaced(const std::vector<backing::Record>& records, backing::Revision at)
{
    const SteadyTime now = m_shared.clock.now();
    std::vector<backing::ListedEndpoint> listed;
    for (const backing::Record& record : records) {
        if (std::optional<backing::ListedEndpoint> endpoint = read(record))
            listed.push_back(std::move(*endpoint));
    }
    m_roster.storeAnswered(now);
    noteEra(at);
    if (m_returnedAt && now - *m_returnedAt < copiedFor)
        m_roster.replaceByCopy(listed, now);
    else
        m_roster.replace(listed, now);
    m_knownUpTo = at;
    m_mayDiffer = true; // What changed and changed back meanwhile doesn't show.
    m_relay.noteRead();
}

void RosterWatch::noteEra(const Revision& at)
{
    if (at == Revision() || (m_era && at.era <= *m_era))
        return;
    if (m_era)
        m_returnedAt = m_shared.clock.now();
    m_era = at.era;
}

void RosterWatch::changed(const std::vector<backing::RecordChange>& changes)
{
    const SteadyTime now = m_shared.clock.now();
    m_roster.storeAnswered(now);
    for (const backing::RecordChange& change : changes) {
        m_knownUpTo = std::max(m_knownUpTo, change.record.revision);
        const std::optional<backing::ListedEndpoint> endpoint = change.deleted ? std::nullopt : read(change.record);
        const bool isNew = !endpoint || m_roster.put(*endpoint);
        if (isNew)
            m_touchedAt = std::max(m_touchedAt, change.record.revision);
        if (!endpoint)
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
    m_isToldCurrent = false;
    m_relay.noteFailed(m_shared.clock.now());
}

void RosterWatch::settle()
{
    if (!m_roster.settle(m_shared.clock.now()))
        return;
    endpoint::RosterChanges changes = m_roster.takeChanges();
    noteUntold(changes);
    const auto leaving = std::count_if(changes.changed.begin(), changes.changed.end(), [](const auto& endpoint) { return endpoint.leaving; });
    log::info("endpoints changed", { { "listed", std::to_string(m_roster.size()) }, { "changed", std::to_string(changes.changed.size()) }, { "leaving", std::to_string(leaving) }, { "gone", std::to_string(changes.gone.size()) } });
    m_shared.metrics.set("whinyard_endpoints", static_cast<double>(m_roster.size()));
    if (!m_serving.takeEndpoints(changes)) {
        m_roster.giveBack(changes);
        return;
    }
    m_shared.endpointsKnown = true;
}

// Only a follower keeps what it has to tell; one that begins to follow compares everything once.
void RosterWatch::noteUntold(const endpoint::RosterChanges& changes)
{
    if (!isFollower()) {
        m_mayDiffer = true;
        m_untold.clear();
        return;
    }
    for (const backing::ListedEndpoint& endpoint : changes.changed)
        m_untold.insert(endpoint.name);
    m_untold.insert(changes.gone.begin(), changes.gone.end());
}

std::set<EndpointName> RosterWatch::takeUntold()
{
    if (std::exchange(m_mayDiffer, false)) {
        for (const backing::ListedEndpoint& endpoint : m_roster.list())
            m_untold.insert(endpoint.name);
        for (const auto& [name, endpoint] : m_told)
            m_untold.insert(name);
    }
    return std::exchange(m_untold, {});
}

void RosterWatch::takeInstances(std::map<InstanceName, peer::InstanceNotice> instances)
{
    std::vector<endpoint::RelayCandidate> candidates;
    for (const auto& [name, instance] : instances)
        candidates.push_back({ name, instance.linkMegabits });
    m_exchange.useInstances(std::move(instances));
    m_relay.useInstances(std::move(candidates), m_shared.clock.now());
}

bool RosterWatch::mustFollow()
{
    const SteadyTime now = m_shared.clock.now();
    const endpoint::RosterNeed need = m_relay.need(now);
    if (need != endpoint::RosterNeed::ask)
        return need == endpoint::RosterNeed::follow;
    if (m_reads > 0)
        return false;
    for (const InstanceName& name : m_relay.toAsk(now)) {
        ++m_reads;
        m_duty.spawn([this, name] { readFrom(name); });
    }
    return false;
}

std::optional<backing::Revision> RosterWatch::takeOver()
{
    const std::optional<endpoint::RosterRelay::Known> known = m_relay.known();
    log::info("following endpoints in the store", { { "reason", std::string(m_relay.followReason(m_shared.clock.now())) }, { "from", known ? toText(known->upTo) : "the whole list" } });
    if (!known)
        return std::nullopt;
    m_told.clear();
    for (const backing::ListedEndpoint& endpoint : m_roster.list())
        m_told.emplace(endpoint.name, endpoint);
    m_untold.clear();
    m_mayDiffer = false;
    m_knownUpTo = known->upTo;
    m_changedAt = m_touchedAt = known->since;
    return known->upTo;
}

bool RosterWatch::mayTell() const
{
    const SteadyTime now = m_shared.clock.now();
    return m_relay.mayTell(now) && m_roster.isSettled(now);
}

// What was told last: the changes that follow build on it.
std::optional<std::string> RosterWatch::told()
{
    settle();
    if (!mayTell() || !m_isToldCurrent)
        return std::nullopt;
    if (m_encoded.empty() || m_encodedSequence != m_sequence) {
        peer::RosterList list { m_shared.settings.instance, m_life, m_sequence, m_operators.revision(), {}, m_changedAt };
        for (const auto& [name, endpoint] : m_told)
            list.endpoints.push_back(endpoint);
        m_encoded = peer::encodeRoster(list);
        m_encodedSequence = m_sequence;
    }
    return m_encoded;
}

void RosterWatch::readFrom(const InstanceName& instance)
{
    Failure failure;
    const std::optional<std::string> body = m_exchange.read(instance, target, failure);
    --m_reads;
    const std::optional<peer::RosterList> list = body ? peer::decodeRoster(*body, failure) : std::nullopt;
    if (!list)
        return; // Another one is asked, and the store at last.
    m_operators.hear(list->instance, list->operators);
    const SteadyTime now = m_shared.clock.now();
    if (!m_relay.hearWhole({ list->instance, list->life, list->sequence, false, true, list->upTo, list->upTo }, now))
        return;
    noteEra(list->upTo);
    log::info("endpoints told", { { "by", list->instance.value }, { "listed", std::to_string(list->endpoints.size()) }, { "sequence", std::to_string(list->sequence) } });
    m_roster.replaceByTold(list->endpoints);
    settle();
}

void RosterWatch::takeNotice(const peer::RosterNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    m_operators.hear(notice.instance, notice.operators);
    const endpoint::RosterStatement statement { notice.instance, notice.life, notice.sequence, !notice.changed.empty() || !notice.gone.empty(), notice.isCurrent, notice.since, notice.upTo };
    switch (m_relay.hear(statement, now)) {
    case endpoint::RelayAction::ignore:
        return;
    case endpoint::RelayAction::incomplete:
        return;
    case endpoint::RelayAction::apply:
        break;
    }
    noteEra(notice.upTo);
    for (const backing::ListedEndpoint& endpoint : notice.changed)
        m_roster.putByTold(endpoint);
    for (const EndpointName& name : notice.gone)
        m_roster.removeByTold(name);
    settle();
}

void RosterWatch::tell()
{
    settle(); // What didn't return is dropped now: others wait for the list, and 0.2 s are a tenth of the shortest bound.
    if (!mayTell()) {
        if (isFollower())
            tellWithoutList();
        return;
    }
    std::vector<backing::ListedEndpoint> changed;
    std::vector<EndpointName> gone;
    const bool isCompared = m_mayDiffer; // Against what was told some time ago; else all that was touched since is told.
    for (const EndpointName& name : takeUntold()) {
        const backing::ListedEndpoint* endpoint = m_roster.find(name);
        const auto told = m_told.find(name);
        if (!endpoint && (told != m_told.end() || !isCompared)) {
            gone.push_back(name);
            m_told.erase(name);
        } else if (endpoint && (told == m_told.end() || !isCompared || !(told->second == *endpoint))) {
            changed.push_back(*endpoint);
            m_told.insert_or_assign(name, *endpoint);
        }
    }
    m_isToldCurrent = true;
    broadcast(std::move(changed), std::move(gone), isCompared);
}

// For two seconds after an outage the list may hold what has left, but a change of the operators' records is as good as ever.
void RosterWatch::tellWithoutList()
{
    const InstanceName& self = m_shared.settings.instance;
    if (m_storeFails)
        m_serving.broadcast(peer::RosterNotice { self, m_life, m_sequence, {}, {}, m_operators.revision(), false });
    else if (!m_roster.isSettled(m_shared.clock.now()))
        m_serving.broadcast(peer::RecordsNotice { self, m_operators.revision() });
}

// Many changes at once are told by their sequence alone: as datagrams to hundreds of instances they would fill the link of the
// instance that tells, and be lost.
void RosterWatch::broadcast(std::vector<backing::ListedEndpoint> changed, std::vector<EndpointName> gone, bool isCompared)
{
    const std::size_t changes = changed.size() + gone.size();
    const bool areTold = changes <= peer::mostRosterChanges;
    if (changes > 0)
        ++m_sequence;
    const bool buildsOnTold = areTold && !isCompared;
    peer::RosterNotice notice { m_shared.settings.instance, m_life, m_sequence, {}, {}, m_operators.revision(), true, buildsOnTold ? m_changedAt : m_knownUpTo, m_knownUpTo };
    if (isCompared)
        m_changedAt = m_knownUpTo;
    else if (changes > 0)
        m_changedAt = std::max(m_changedAt, m_touchedAt);
    m_relay.noteKnown({ m_changedAt, m_knownUpTo });
    if (areTold) {
        notice.changed = std::move(changed);
        notice.gone = std::move(gone);
    }
    m_serving.broadcast(std::move(notice));
}

}
