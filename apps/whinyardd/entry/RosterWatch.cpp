#include "entry/RosterWatch.h"

#include "Shared.h"
#include "platform/Endpoints.h"
#include "whinyard/base/Log.h"
#include "whinyard/net/HttpMessage.h"
#include "whinyard/peer/Spread.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace whinyard::daemon {

namespace {

    constexpr const char* target = "/endpoints";

    // After the store came back from an older copy, what it lists may be of the copy for so long.
    constexpr std::chrono::milliseconds copiedFor { 15'000 };

    // Beyond this part of the list, and beyond so many, changes are no longer kept: the whole list is as short then.
    constexpr std::size_t keptPart = 4;
    constexpr std::size_t leastKept = 1'024;

    // Answers that are kept encoded; those that ask at the same time know the same as a rule.
    constexpr std::size_t mostEncoded = 4;

    // An instance hears of a change within some hundred milliseconds of the store; more uses up the time that a change has.
    constexpr std::chrono::milliseconds worthSaying { 1'000 };

    std::string targetAfter(const Revision& revision)
    {
        return std::string(target) + "?era=" + std::to_string(revision.era) + "&after=" + std::to_string(revision.number);
    }

    std::uint64_t numberIn(const std::string& request, std::string_view name)
    {
        const std::string text = net::queryValue(request, name);
        std::uint64_t value = 0;
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }

}

RosterWatch::RosterWatch(EntryShared& shared, ServeDuty& serving, OperatorRelay& operators, PeerExchange& exchange, net::Duty& duty)
    : m_shared(shared)
    , m_serving(serving)
    , m_operators(operators)
    , m_exchange(exchange)
    , m_duty(duty)
    , m_relay(shared.settings.instance, endpoint::relaySettingsFor(shared.settings.bounds.drain), seededRandom())
    , m_life(seededRandom()())
{
    m_exchange.serve(target, [this](const std::string& request) { return told(request); });
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
    listed = withNewer(std::move(listed), at);
    m_roster.storeAnswered(now);
    noteEra(at);
    if (m_returnedAt && now - *m_returnedAt < copiedFor)
        m_roster.replaceByCopy(listed, now);
    else
        m_roster.replace(listed, now);
    // What changed and changed back meanwhile doesn't show.
    if (m_relay.listedUpTo() == Revision()) {
        m_history.begin(at);
        m_toldUpTo = m_toldBefore = at;
    } else
        m_history.noteGap(m_relay.listedUpTo(), at);
    m_replacedAt = at;
    m_relay.noteRead(at);
    noteBehind(false);
}

// Returns the list with what is known already as of a newer revision.
std::vector<backing::ListedEndpoint> RosterWatch::withNewer(std::vector<backing::ListedEndpoint> listed, const Revision& at) const
{
    std::erase_if(listed, [&](const backing::ListedEndpoint& endpoint) { return m_history.isNewer(endpoint.name, at); });
    for (const EndpointName& name : m_history.changedAfter(at)) {
        if (const backing::ListedEndpoint* endpoint = m_roster.find(name))
            listed.push_back(*endpoint);
    }
    return listed;
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
        const EndpointName name { change.record.key.substr(std::min(platform::endpointPrefix.size(), change.record.key.size())) };
        if (change.deleted)
            m_unreadable.erase(change.record.key);
        if (m_history.isNewer(name, change.record.revision))
            continue; // Another instance has told more already.
        const std::optional<backing::ListedEndpoint> endpoint = change.deleted ? std::nullopt : read(change.record);
        if (!endpoint)
            m_roster.remove(name, now);
        if (!endpoint || m_roster.put(*endpoint))
            m_history.note(name, change.record.revision);
    }
    if (!changes.empty())
        m_relay.noteRead(changes.back().record.revision);
    noteBehind(false);
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
    endpoint::RosterChanges changes = m_roster.takeChanges();
    noteChanges(changes);
    const auto leaving = std::count_if(changes.changed.begin(), changes.changed.end(), [](const auto& endpoint) { return endpoint.leaving; });
    log::info("endpoints changed", { { "listed", std::to_string(m_roster.size()) }, { "changed", std::to_string(changes.changed.size()) }, { "leaving", std::to_string(leaving) }, { "gone", std::to_string(changes.gone.size()) } });
    m_shared.metrics.set("whinyard_endpoints", static_cast<double>(m_roster.size()));
    if (!m_serving.takeEndpoints(changes)) {
        m_roster.giveBack(changes);
        return;
    }
    m_shared.endpointsKnown = true;
}

void RosterWatch::noteChanges(const endpoint::RosterChanges& changes)
{
    const std::optional<Revision> replacedAt = std::exchange(m_replacedAt, std::nullopt);
    const auto note = [&](const EndpointName& name) {
        if (replacedAt)
            m_history.note(name, *replacedAt);
        else if (m_isFollowing && !m_history.isNewer(name, m_toldUpTo))
            m_late.insert(name);
    };
    for (const backing::ListedEndpoint& endpoint : changes.changed)
        note(endpoint.name);
    for (const EndpointName& name : changes.gone)
        note(name);
    m_history.trim(std::max(leastKept, m_roster.size() / keptPart));
    m_encoded.clear();
}

void RosterWatch::takeInstances(std::map<InstanceName, peer::InstanceNotice> instances)
{
    std::vector<endpoint::RelayCandidate> candidates;
    for (const auto& [name, instance] : instances)
        candidates.push_back({ name, instance.linkMegabits });
    m_others = instances.size() - instances.count(m_shared.settings.instance);
    m_operators.useInstances(instances.size());
    m_exchange.useInstances(std::move(instances));
    m_relay.useInstances(std::move(candidates), m_shared.clock.now());
}

bool RosterWatch::mustFollow()
{
    const SteadyTime now = m_shared.clock.now();
    const endpoint::RosterNeed need = m_relay.need(now);
    m_isFollowing = m_isFollowing && need == endpoint::RosterNeed::follow;
    if (need == endpoint::RosterNeed::ask && m_reads == 0) {
        for (const InstanceName& name : m_relay.toAsk(now)) {
            ++m_reads;
            m_duty.spawn([this, name] { readFrom(name); });
        }
    }
    return need == endpoint::RosterNeed::follow;
}

std::optional<backing::Revision> RosterWatch::takeOver()
{
    const Revision known = m_relay.listedUpTo();
    const bool isKnown = known != Revision();
    log::info("following endpoints in the store", { { "reason", std::string(m_relay.followReason(m_shared.clock.now())) }, { "from", isKnown ? toText(known) : "the whole list" } });
    m_isFollowing = true;
    m_late.clear();
    m_toldUpTo = m_toldBefore = known;
    return isKnown ? std::optional(known) : std::nullopt;
}

bool RosterWatch::mayTell() const
{
    const SteadyTime now = m_shared.clock.now();
    return m_relay.mayTell(now) && m_roster.isSettled(now);
}

void RosterWatch::noteBehind(bool isBehind)
{
    const SteadyTime now = m_shared.clock.now();
    if (isBehind && !m_behindSince)
        m_behindSince = now;
    if (isBehind || !m_behindSince)
        return;
    const std::chrono::nanoseconds behind = now - *std::exchange(m_behindSince, std::nullopt);
    m_shared.metrics.observe("whinyard_endpoints_behind_seconds", behind);
    if (behind >= worthSaying)
        log::warning("endpoints were behind", { { "behindMs", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(behind).count()) }, { "upTo", toText(m_relay.listedUpTo()) } });
}

// Whoever knows more than the one that asks can answer, whether or not it follows the store.
std::optional<std::string> RosterWatch::told(const std::string& request)
{
    settle();
    const Revision after(numberIn(request, "era"), numberIn(request, "after"));
    const Revision upTo = m_relay.listedUpTo();
    if (upTo <= after || m_roster.holdsLapsed())
        return std::nullopt;
    if (m_encodedUpTo != upTo || m_encoded.size() >= mostEncoded)
        m_encoded.clear();
    m_encodedUpTo = upTo;
    const Revision since = m_history.reachesBackTo(after) ? after : Revision();
    const auto known = m_encoded.find(since);
    return known != m_encoded.end() ? known->second : m_encoded.emplace(since, peer::encodeRoster(listAfter(since))).first->second;
}

peer::RosterList RosterWatch::listAfter(const Revision& after) const
{
    peer::RosterList list { m_shared.settings.instance, m_operators.revision(), after, m_relay.listedUpTo(), {}, {} };
    if (after == Revision()) {
        list.endpoints = m_roster.list();
        return list;
    }
    for (const EndpointName& name : m_history.changedAfter(after)) {
        if (const backing::ListedEndpoint* endpoint = m_roster.find(name))
            list.endpoints.push_back(*endpoint);
        else
            list.gone.push_back(name);
    }
    return list;
}

void RosterWatch::readFrom(const InstanceName& instance)
{
    Failure failure;
    const std::optional<std::string> body = m_exchange.read(instance, targetAfter(m_relay.listedUpTo()), failure);
    --m_reads;
    const std::optional<peer::RosterList> list = body ? peer::decodeRoster(*body, failure) : std::nullopt;
    if (!list) {
        m_relay.noteRefused(instance, failure.retryAfter, m_shared.clock.now()); // Another one is asked.
        return;
    }
    m_operators.hear(list->instance, list->operators);
    const std::size_t rows = list->endpoints.size() + list->gone.size();
    if (m_isFollowing || !m_relay.hearList(list->since, list->upTo, m_shared.clock.now()))
        return;
    log::info("endpoints told", { { "by", list->instance.value }, { "rows", std::to_string(rows) }, { "bytes", std::to_string(body->size()) }, { "since", list->since == Revision() ? "the whole list" : toText(list->since) }, { "upTo", toText(list->upTo) } });
    takeList(*list);
    settle();
    noteBehind(m_relay.isIncomplete());
    handOnHeld();
}

void RosterWatch::takeList(const peer::RosterList& list)
{
    noteEra(list.upTo);
    if (list.since != Revision()) {
        takeChanges(list.endpoints, list.gone, list.upTo);
        return;
    }
    m_roster.replaceByTold(withNewer(list.endpoints, list.upTo));
    m_history.begin(list.upTo);
}

// Takes what is not known as of a newer revision.
void RosterWatch::takeChanges(const std::vector<backing::ListedEndpoint>& changed, const std::vector<EndpointName>& gone, const Revision& at)
{
    for (const backing::ListedEndpoint& endpoint : changed) {
        if (m_history.note(endpoint.name, at))
            m_roster.putByTold(endpoint);
    }
    for (const EndpointName& name : gone) {
        if (m_history.note(name, at))
            m_roster.removeByTold(name);
    }
}

void RosterWatch::takeNotice(const peer::RosterNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    m_operators.hear(notice.teller, notice.operators);
    m_relay.hearTeller(notice.teller, notice.listedUpTo, now);
    const endpoint::RosterStatement statement { notice.instance, notice.life, notice.number, !notice.changed.empty() || !notice.gone.empty(), notice.isCurrent, notice.since, notice.upTo };
    if (m_relay.hasHeard(statement))
        return;
    if (m_relay.hear(statement, now) == endpoint::RelayAction::apply) {
        noteEra(notice.upTo);
        takeChanges(notice.changed, notice.gone, notice.upTo);
        settle();
    }
    noteBehind(m_relay.isIncomplete());
    handOn(notice);
    if (!m_relay.isIncomplete())
        handOnHeld();
}

// One that tells of more than it holds is handed on by those that have it, so that who hears of it can ask them.
void RosterWatch::handOn(peer::RosterNotice notice)
{
    if (!peer::handsOn(m_others))
        return;
    const bool holdsAll = !notice.changed.empty() || !notice.gone.empty() || !notice.isCurrent;
    if (!holdsAll && m_relay.listedUpTo() < notice.since) {
        m_held[notice.instance] = std::move(notice);
        return;
    }
    m_held.erase(notice.instance);
    send(notice, peer::toldNext);
}

void RosterWatch::handOnHeld()
{
    for (auto& [instance, notice] : std::exchange(m_held, {}))
        handOn(std::move(notice));
}

void RosterWatch::send(const peer::RosterNotice& notice, std::size_t most)
{
    peer::RosterNotice told = notice;
    told.teller = m_shared.settings.instance;
    told.listedUpTo = m_relay.listedUpTo();
    told.operators = m_operators.revision();
    m_serving.tellSome(std::move(told), most);
}

void RosterWatch::tell()
{
    settle(); // What didn't return is dropped now: others wait for the list, and 0.2 s are a tenth of the shortest bound.
    if (mayTell())
        send(nextNotice(), peer::firstTold(m_others));
    else if (isFollower())
        tellWithoutList();
    m_toldAt = m_shared.clock.now();
}

void RosterWatch::tellIfDue()
{
    if (m_shared.clock.now() - m_toldAt >= endpoint::relaySettingsFor(m_shared.settings.bounds.drain).tellInterval)
        tell();
}

// Where the list can't be told, a change of the operators' records is as good as ever.
void RosterWatch::tellWithoutList()
{
    const InstanceName& self = m_shared.settings.instance;
    if (m_storeFails)
        send({ self, m_life, ++m_number, {}, {}, false }, peer::firstTold(m_others));
    else
        m_serving.tellSome(peer::RecordsNotice { self, m_operators.revision() }, peer::firstTold(m_others));
}

// Holds what the last notice held as well, where there is room: who missed that one needs to ask nobody.
peer::RosterNotice RosterWatch::nextNotice()
{
    const Revision upTo = m_relay.listedUpTo();
    peer::RosterNotice notice { m_shared.settings.instance, m_life, ++m_number, {}, {}, true, m_history.newest(), upTo };
    if (upTo > m_toldUpTo) {
        for (const EndpointName& name : std::exchange(m_late, {}))
            m_history.note(name, upTo);
    }
    if (!addChanges(notice, m_toldBefore) && !addChanges(notice, m_toldUpTo))
        notice.since = m_history.newest();
    m_toldBefore = std::exchange(m_toldUpTo, upTo);
    return notice;
}

// Returns whether the notice holds everything that changed after a revision.
bool RosterWatch::addChanges(peer::RosterNotice& notice, const Revision& since)
{
    std::vector<EndpointName> names = m_history.changedAfter(since);
    names.insert(names.end(), m_late.begin(), m_late.end());
    if (!m_history.reachesBackTo(since) || names.size() > peer::mostRosterChanges)
        return false;
    for (const EndpointName& name : names) {
        if (const backing::ListedEndpoint* endpoint = m_roster.find(name))
            notice.changed.push_back(*endpoint);
        else
            notice.gone.push_back(name);
    }
    if (!names.empty())
        notice.since = since;
    return true;
}

}
