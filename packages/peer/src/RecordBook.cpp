#include "whinyard/peer/RecordBook.h"

#include "whinyard/base/Log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace whinyard::peer {

RecordBook::RecordBook(StatedVersion statedVersion, const RecordBookSettings& settings)
    : m_statedVersion(std::move(statedVersion))
    , m_settings(settings)
{
}

const backing::Record* RecordBook::inForce(const std::string& key) const
{
    const auto found = m_inForce.find(key);
    return found == m_inForce.end() ? nullptr : &found->second;
}

std::size_t RecordBook::carried() const
{
    return static_cast<std::size_t>(std::count_if(m_entries.begin(), m_entries.end(), [](const auto& entry) { return entry.second.carriedUntil.has_value(); }));
}

// Returns whether a record states an older version than the one in force.
bool RecordBook::statesOlder(const backing::Record& record, const std::string& key) const
{
    const backing::Record* known = inForce(key);
    const std::optional<std::uint64_t> knownVersion = known ? m_statedVersion(*known) : std::nullopt;
    const std::optional<std::uint64_t> version = knownVersion ? m_statedVersion(record) : std::nullopt;
    return version && *version < *knownVersion;
}

void RecordBook::put(const backing::Record& record)
{
    ++m_edition;
    m_inForce[record.key] = record;
    Entry& entry = m_entries[record.key];
    entry = {};
    entry.stored = record.revision;
}

void RecordBook::remove(const std::string& key, SteadyTime now)
{
    ++m_edition;
    Entry& entry = m_entries[key];
    std::optional<backing::Record> removed = std::exchange(entry.removed, std::nullopt);
    if (const backing::Record* known = inForce(key)) {
        removed = *known;
        removed->revision = std::max(entry.stored, known->revision);
    }
    entry = {};
    entry.removed = std::move(removed);
    entry.removedAt = now;
    m_inForce.erase(key);
}

void RecordBook::carry(const std::string& key, const std::optional<backing::Record>& copied, SteadyTime until)
{
    ++m_edition;
    Entry& entry = m_entries[key];
    entry.copied = copied;
    entry.stored = copied ? copied->revision : Revision();
    entry.carriedUntil = until;
}

// A record that is written again is the same one as before: an order isn't begun anew.
void RecordBook::take(const backing::Record& record, SteadyTime now)
{
    const backing::Record* known = inForce(record.key);
    Entry& entry = m_entries[record.key];
    if ((known || entry.carriedUntil) && entry.stored == record.revision)
        return;
    const bool mayBeRewritten = m_rewrittenUntil && now < *m_rewrittenUntil;
    const bool isInDoubt = entry.carriedUntil || mayBeRewritten;
    if (isInDoubt && known && known->value == record.value) {
        ++m_edition;
        entry = {};
        entry.stored = record.revision;
    } else if (isInDoubt && statesOlder(record, record.key)) {
        carry(record.key, record, entry.carriedUntil.value_or(now + m_settings.rewrittenWithin));
    } else {
        put(record);
    }
}

void RecordBook::change(const backing::RecordChange& change, SteadyTime now)
{
    m_revision = std::max(m_revision, change.record.revision);
    if (!change.deleted)
        take(change.record, now);
    else
        remove(change.record.key, now);
}

void RecordBook::replace(const std::vector<backing::Record>& records, const Revision& at, SteadyTime now)
{
    std::map<std::string, backing::Record> stored;
    for (const backing::Record& record : records)
        stored.emplace(record.key, record);
    if (m_revision > Revision() && at.era > m_revision.era) {
        beginEra(stored, at, now);
        return;
    }
    std::set<std::string> gone;
    for (const auto& [key, entry] : m_entries) {
        const bool wasStored = entry.carriedUntil ? entry.copied.has_value() : m_inForce.contains(key);
        if (wasStored && !stored.contains(key))
            gone.insert(key);
    }
    for (const std::string& key : gone)
        remove(key, now);
    // A removal shows in no record: the revision of the read lets other instances hear of it.
    if (!gone.empty())
        m_revision = std::max(m_revision, at);
    for (const auto& [key, record] : stored) {
        m_revision = std::max(m_revision, record.revision);
        const auto entry = m_entries.find(key);
        const bool isCopied = entry != m_entries.end() && entry->second.carriedUntil && entry->second.stored == record.revision;
        if (!isCopied)
            take(record, now);
    }
}

void RecordBook::beginEra(const std::map<std::string, backing::Record>& copy, const Revision& at, SteadyTime now)
{
    std::set<std::string> keys;
    for (const auto& [key, record] : copy)
        keys.insert(key);
    for (const auto& [key, record] : m_inForce)
        keys.insert(key);
    m_rewrittenUntil = now + m_settings.rewrittenWithin;
    m_revision = { at.era, 0 };
    for (const auto& [key, record] : copy)
        m_revision = std::max(m_revision, record.revision);
    for (const std::string& key : keys) {
        const auto copied = copy.find(key);
        compare(key, copied == copy.end() ? std::nullopt : std::optional(copied->second), now);
    }
    log::warning("operators' records were read from an older copy", { { "revision", toText(at) }, { "records", std::to_string(copy.size()) }, { "carried", std::to_string(carried()) } });
}

// Decides on the record of a key, or its absence, of which it isn't known whether it was written before or after the copy was made.
void RecordBook::compare(const std::string& key, const std::optional<backing::Record>& copied, SteadyTime now)
{
    const backing::Record* known = inForce(key);
    Entry& entry = m_entries[key];
    const bool isRemembered = entry.removed && now - entry.removedAt < m_settings.removedFor;
    const SteadyTime until = now + m_settings.rewrittenWithin;
    if (known && copied && known->value == copied->value) {
        ++m_edition;
        entry = {};
        entry.stored = copied->revision;
        return;
    }
    if (!known && !(copied && isRemembered)) {
        if (copied)
            put(*copied);
        return;
    }
    // A copy has no larger number than the last that was known of the store before: this one was written since.
    const Revision inForceSince = known ? known->revision : entry.removed->revision;
    const Revision last = entry.stored == Revision() ? inForceSince : entry.stored;
    const bool isNew = copied && copied->revision.number > last.number && !statesOlder(*copied, key);
    const bool isNewer = known && copied && m_statedVersion(*known) && m_statedVersion(*copied) && !statesOlder(*copied, key);
    if (isNew || isNewer)
        put(*copied);
    else
        carry(key, copied, until);
}

void RecordBook::merge(const RecordSnapshot& snapshot, SteadyTime now)
{
    if (snapshot.revision > m_revision) {
        std::map<std::string, backing::Record> stored;
        for (backing::Record record : snapshot.records) {
            if (const auto renamed = snapshot.storedAs.find(record.key); renamed != snapshot.storedAs.end())
                record.revision = renamed->second;
            stored.emplace(record.key, std::move(record));
        }
        for (const CarriedRecord& carried : snapshot.carried) {
            stored.erase(carried.key);
            if (carried.copied)
                stored.emplace(carried.key, *carried.copied);
        }
        std::vector<backing::Record> records;
        for (auto& [key, record] : stored)
            records.push_back(std::move(record));
        replace(records, snapshot.revision, now);
        m_revision = std::max(m_revision, snapshot.revision);
    }
    takeKnown(snapshot, now);
}

// Takes the records that another instance has in force against the store, or from before its return.
void RecordBook::takeKnown(const RecordSnapshot& snapshot, SteadyTime now)
{
    std::map<std::string, backing::Record> told;
    for (const backing::Record& record : snapshot.records)
        told.emplace(record.key, record);
    const bool isOfEarlierEra = snapshot.revision.era < m_revision.era;
    for (const auto& [key, record] : told) {
        Entry& entry = m_entries[key];
        const backing::Record* known = inForce(key);
        const auto renamed = snapshot.storedAs.find(key);
        if (known && known->value == record.value && renamed != snapshot.storedAs.end() && renamed->second == entry.stored)
            rename(record); // As the others do.
        if (!isOfEarlierEra || entry.removed || (known && known->value == record.value))
            continue;
        const bool isOlder = known && (statesOlder(record, key) || (entry.stored.number > record.revision.number && !m_statedVersion(record)));
        if (isOlder)
            continue;
        const std::optional<backing::Record> copied = entry.carriedUntil ? entry.copied : (known ? std::optional(*known) : std::nullopt);
        m_inForce[key] = record;
        carry(key, copied, entry.carriedUntil.value_or(now + m_settings.rewrittenWithin));
    }
    for (const CarriedRecord& carried : snapshot.carried) {
        Entry& entry = m_entries[carried.key];
        const Revision stored = carried.copied ? carried.copied->revision : Revision();
        if (entry.carriedUntil || entry.stored != stored)
            continue;
        const auto record = told.find(carried.key);
        if (record != told.end() && !statesOlder(record->second, carried.key))
            m_inForce[carried.key] = record->second;
        else if (record == told.end())
            m_inForce.erase(carried.key);
        carry(carried.key, carried.copied, now + std::min(carried.left, m_settings.rewrittenWithin));
    }
}

void RecordBook::rename(const backing::Record& record)
{
    if (m_inForce[record.key].revision == record.revision)
        return;
    ++m_edition;
    m_inForce[record.key].revision = record.revision;
}

std::vector<std::string> RecordBook::settle(SteadyTime now)
{
    std::vector<std::string> changed;
    for (auto& [key, entry] : m_entries) {
        if (!entry.carriedUntil || now < *entry.carriedUntil || entry.isLate)
            continue;
        const backing::Record* known = inForce(key);
        const bool keeps = known && m_statedVersion(*known);
        log::warning(keeps ? "an operators' record was not written again, and stays in force" : "an operators' record was not written again", { { "key", key }, { "revision", known ? toText(known->revision) : "removed" }, { "storeHolds", entry.copied ? toText(entry.copied->revision) : "nothing" } });
        entry.isLate = true;
        if (keeps)
            continue;
        ++m_edition;
        changed.push_back(key);
        if (entry.copied)
            m_inForce[key] = *entry.copied;
        else
            m_inForce.erase(key);
        entry.copied.reset();
        entry.carriedUntil.reset();
        entry.isLate = false;
    }
    std::erase_if(m_entries, [&](const auto& entry) { return entry.second.removed && !entry.second.carriedUntil && !m_inForce.contains(entry.first) && now - entry.second.removedAt >= m_settings.removedFor; });
    return changed;
}

RecordSnapshot RecordBook::snapshot(SteadyTime now) const
{
    RecordSnapshot snapshot { m_revision, {}, {}, {} };
    for (const auto& [key, record] : m_inForce) {
        snapshot.records.push_back(record);
        const auto entry = m_entries.find(key);
        if (entry != m_entries.end() && !entry->second.carriedUntil && entry->second.stored != record.revision)
            snapshot.storedAs.emplace(key, entry->second.stored);
    }
    for (const auto& [key, entry] : m_entries) {
        if (entry.carriedUntil)
            snapshot.carried.push_back({ key, entry.copied, std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(*entry.carriedUntil - now)) });
    }
    return snapshot;
}

}
