#include "whinyard/peer/GossipTable.h"

#include "whinyard/peer/Heartbeat.h"

#include <tuple>
#include <utility>

namespace whinyard::peer {

namespace {

    constexpr std::size_t repeatsPerDatagram = 1;
    constexpr std::size_t fixedEntryBytes = 22; // Lengths, incarnation and version.

    bool isNewer(const GossipEntry& entry, Incarnation incarnation, std::uint64_t version)
    {
        return std::tie(entry.incarnation, entry.version) > std::tie(incarnation, version);
    }

    bool isWithinBounds(const GossipEntry& entry)
    {
        return entry.value.size() <= largestGossipValue && entry.topic.size() <= largestName && !entry.topic.empty();
    }

}

std::size_t wireBytes(const GossipEntry& entry)
{
    return fixedEntryBytes + entry.origin.value.size() + entry.topic.size() + entry.value.size();
}

GossipTable::GossipTable(Sender self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_queue(seed)
{
}

bool GossipTable::publish(const std::string& topic, std::string value)
{
    const Key key { m_self.instance, topic };
    const auto found = m_entries.find(key);
    const std::uint64_t version = found == m_entries.end() ? 1 : found->second.version + 1;
    GossipEntry entry { m_self.instance, m_self.incarnation, topic, version, std::move(value) };
    if (!isWithinBounds(entry))
        return false;
    if (found == m_entries.end() && topicCount(m_self.instance) >= largestTopicCount)
        return false;
    store(key, entry);
    return true;
}

bool GossipTable::learn(const GossipEntry& entry)
{
    if (entry.origin == m_self.instance || !isWithinBounds(entry))
        return false;
    const Key key { entry.origin, entry.topic };
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && !isNewer(entry, found->second.incarnation, found->second.version))
        return false;
    if (found == m_entries.end() && (m_entries.size() >= largestEntryTotal || topicCount(entry.origin) >= largestTopicCount))
        return false;
    store(key, entry);
    return true;
}

std::vector<GossipEntry> GossipTable::under(const std::string& topic) const
{
    std::vector<GossipEntry> result;
    for (const auto& [key, entry] : m_entries) {
        if (key.topic == topic)
            result.push_back(entry);
    }
    return result;
}

void GossipTable::forgetBefore(const InstanceName& origin, Incarnation incarnation)
{
    auto entry = m_entries.lower_bound({ origin, {} });
    while (entry != m_entries.end() && entry->first.origin == origin) {
        if (entry->second.incarnation >= incarnation) {
            ++entry;
            continue;
        }
        m_queue.remove(entry->first);
        entry = m_entries.erase(entry);
    }
}

std::vector<GossipEntry> GossipTable::takeForSending(std::size_t bytes, std::uint32_t freshSends)
{
    std::vector<GossipEntry> result;
    std::size_t used = 0;
    m_queue.take(freshSends, repeatsPerDatagram, [&](const Key& key) {
        const GossipEntry& entry = m_entries.at(key);
        used += wireBytes(entry);
        if (result.size() >= largestEntryCount || used > bytes)
            return false;
        result.push_back(entry);
        return true;
    });
    return result;
}

std::vector<GossipDigest> GossipTable::digests() const
{
    std::vector<GossipDigest> result;
    for (const auto& [key, entry] : m_entries)
        result.push_back({ key.origin, entry.incarnation, key.topic, entry.version });
    return result;
}

GossipSyncAnswer GossipTable::newerThan(const std::vector<GossipDigest>& held, std::size_t bytes) const
{
    std::map<Key, const GossipDigest*> heldByKey;
    for (const GossipDigest& digest : held)
        heldByKey[{ digest.origin, digest.topic }] = &digest;
    GossipSyncAnswer answer;
    std::size_t used = 0;
    for (const auto& [key, entry] : m_entries) {
        const auto found = heldByKey.find(key);
        if (found != heldByKey.end() && !isNewer(entry, found->second->incarnation, found->second->version))
            continue;
        used += wireBytes(entry);
        if (used > bytes) {
            answer.more = true;
            break;
        }
        answer.entries.push_back(entry);
    }
    return answer;
}

void GossipTable::store(const Key& key, const GossipEntry& entry)
{
    m_entries.insert_or_assign(key, entry);
    m_queue.renew(key);
}

std::size_t GossipTable::topicCount(const InstanceName& origin) const
{
    std::size_t count = 0;
    for (auto entry = m_entries.lower_bound({ origin, {} }); entry != m_entries.end() && entry->first.origin == origin; ++entry)
        ++count;
    return count;
}

}
