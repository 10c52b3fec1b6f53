#include "whinyard/endpoint/EndpointRoster.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace whinyard::endpoint {

EndpointRoster::EndpointRoster(const RosterSettings& settings)
    : m_settings(settings)
{
}

namespace {

    // Makes a coldness that is as long as the one before it another one, for who compares them.
    constexpr std::chrono::milliseconds sameAgain { 1 };

}

EndpointRoster::ListedNames EndpointRoster::namesOf(const std::vector<backing::ListedEndpoint>& listed)
{
    ListedNames names;
    names.reserve(listed.size());
    for (const backing::ListedEndpoint& endpoint : listed)
        names.insert(endpoint.name.value);
    return names;
}

void EndpointRoster::noteChange(const EndpointName& name)
{
    m_changed = true;
    m_touched.insert(name);
}

void EndpointRoster::replace(const std::vector<backing::ListedEndpoint>& listed, SteadyTime now)
{
    m_now = now;
    const ListedNames names = namesOf(listed);
    for (const backing::ListedEndpoint& endpoint : listed) {
        if (!isLeftOut(endpoint))
            put(endpoint);
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        const auto next = std::next(entry);
        if (!names.contains(entry->first.value) && !entry->second.goneAt)
            drop(entry, now);
        entry = next;
    }
}

void EndpointRoster::replaceByCopy(const std::vector<backing::ListedEndpoint>& listed, SteadyTime now)
{
    m_now = now;
    for (const backing::ListedEndpoint& endpoint : listed) {
        if (const auto gone = m_gone.find(endpoint.name); gone != m_gone.end()) {
            gone->second = { now + m_settings.goneFor, endpoint };
            continue;
        }
        const backing::ListedEndpoint* known = find(endpoint.name);
        backing::ListedEndpoint taken = endpoint;
        taken.leaving = taken.leaving || (known && known->leaving);
        put(taken);
    }
    const ListedNames names = namesOf(listed);
    for (auto& [name, entry] : m_entries) {
        if (names.contains(name.value) || entry.goneAt)
            continue;
        entry.goneAt = now + m_settings.returnWithin;
        entry.isLackedByCopy = true;
    }
}

bool EndpointRoster::put(const backing::ListedEndpoint& endpoint)
{
    m_gone.erase(endpoint.name);
    Entry& entry = m_entries[endpoint.name];
    const std::chrono::milliseconds coldLeft = std::exchange(entry.saidColdLeft, endpoint.coldLeft);
    backing::ListedEndpoint taken = endpoint;
    if (taken.coldLeft.count() > 0 && taken.coldLeft <= coldLeft)
        taken.coldLeft = entry.endpoint.coldLeft; // It is cold still, as was known.
    else if (taken.coldLeft.count() > 0 && taken.coldLeft == entry.endpoint.coldLeft)
        taken.coldLeft += sameAgain;
    return take(entry, taken);
}

void EndpointRoster::putByTold(const backing::ListedEndpoint& endpoint)
{
    m_gone.erase(endpoint.name);
    Entry& entry = m_entries[endpoint.name];
    entry.saidColdLeft = endpoint.coldLeft;
    take(entry, endpoint);
}

bool EndpointRoster::take(Entry& entry, const backing::ListedEndpoint& endpoint)
{
    entry.goneAt.reset();
    entry.isLackedByCopy = false;
    if (entry.endpoint == endpoint)
        return false;
    entry.endpoint = endpoint;
    noteChange(endpoint.name);
    return true;
}

void EndpointRoster::remove(const EndpointName& endpoint, SteadyTime now)
{
    m_now = now;
    if (const auto gone = m_gone.find(endpoint); gone != m_gone.end())
        gone->second.copied.reset();
    const auto entry = m_entries.find(endpoint);
    if (entry != m_entries.end() && !entry->second.goneAt)
        drop(entry, now);
}

void EndpointRoster::replaceByTold(const std::vector<backing::ListedEndpoint>& listed)
{
    for (const backing::ListedEndpoint& endpoint : listed)
        putByTold(endpoint);
    const ListedNames names = namesOf(listed);
    std::erase_if(m_entries, [&](const auto& entry) {
        const bool isGone = !names.contains(entry.first.value);
        if (isGone)
            noteGone(entry.first);
        return isGone;
    });
}

void EndpointRoster::removeByTold(const EndpointName& endpoint)
{
    if (m_entries.erase(endpoint) > 0)
        noteGone(endpoint);
}

void EndpointRoster::noteGone(const EndpointName& name)
{
    noteChange(name);
    m_gone[name] = { m_now + m_settings.goneFor, std::nullopt };
}

// Returns whether the store still lists no more of an endpoint that has gone than the older copy had.
bool EndpointRoster::isLeftOut(const backing::ListedEndpoint& endpoint) const
{
    const auto gone = m_gone.find(endpoint.name);
    return gone != m_gone.end() && gone->second.copied == endpoint;
}

// An entry that stands for so long is the store's word after all.
void EndpointRoster::settleGone(SteadyTime now)
{
    std::vector<backing::ListedEndpoint> standing;
    std::erase_if(m_gone, [&](const auto& entry) {
        if (now < entry.second.until)
            return false;
        if (entry.second.copied)
            standing.push_back(*entry.second.copied);
        return true;
    });
    for (const backing::ListedEndpoint& endpoint : standing)
        put(endpoint);
}

void EndpointRoster::drop(std::map<EndpointName, Entry>::iterator entry, SteadyTime now)
{
    if (!isStoreComplete(now) && !entry->second.endpoint.leaving) {
        entry->second.goneAt = m_backSince.value_or(now) + m_settings.returnWithin;
        return;
    }
    noteGone(entry->first);
    m_entries.erase(entry);
}

void EndpointRoster::storeFailed()
{
    m_storeFails = true;
}

void EndpointRoster::storeAnswered(SteadyTime now)
{
    if (std::exchange(m_storeFails, false))
        m_backSince = now;
}

bool EndpointRoster::isSettled(SteadyTime now) const
{
    return isStoreComplete(now) && !holdsLapsed();
}

bool EndpointRoster::holdsLapsed() const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.second.goneAt && !entry.second.isLackedByCopy; });
}

bool EndpointRoster::isStoreComplete(SteadyTime now) const
{
    return !m_storeFails && (!m_backSince || now >= *m_backSince + m_settings.returnWithin);
}

bool EndpointRoster::settle(SteadyTime now)
{
    m_now = now;
    std::erase_if(m_entries, [&](const auto& entry) {
        const bool isGone = entry.second.goneAt && now >= *entry.second.goneAt;
        if (isGone)
            noteGone(entry.first);
        return isGone;
    });
    settleGone(now);
    return std::exchange(m_changed, false);
}

RosterChanges EndpointRoster::takeChanges()
{
    RosterChanges changes;
    for (const EndpointName& name : std::exchange(m_touched, {})) {
        if (const backing::ListedEndpoint* endpoint = find(name))
            changes.changed.push_back(*endpoint);
        else
            changes.gone.push_back(name);
    }
    return changes;
}

void EndpointRoster::giveBack(const RosterChanges& changes)
{
    for (const backing::ListedEndpoint& endpoint : changes.changed)
        noteChange(endpoint.name);
    for (const EndpointName& name : changes.gone)
        noteChange(name);
}

const backing::ListedEndpoint* EndpointRoster::find(const EndpointName& name) const
{
    const auto entry = m_entries.find(name);
    return entry == m_entries.end() ? nullptr : &entry->second.endpoint;
}

std::vector<backing::ListedEndpoint> EndpointRoster::list() const
{
    std::vector<backing::ListedEndpoint> endpoints;
    for (const auto& [name, entry] : m_entries)
        endpoints.push_back(entry.endpoint);
    return endpoints;
}

}
