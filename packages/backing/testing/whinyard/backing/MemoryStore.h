// The semantics of the key-value service in memory, without calls that can fail: compare-and-swap,
// revisions and leases.
//
// FakeStore puts faults of calls around it for tests; the platform's stand-in serves it over HTTP.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/base/Clock.h"

#include <algorithm>
#include <map>

namespace whinyard::backing {

class MemoryStore {
public:
    // `clock` times the leases and must outlive the store.
    explicit MemoryStore(const Clock& clock)
        : m_clock(clock)
    {
    }

    std::optional<Record> read(const std::string& key)
    {
        dropLapsed();
        const auto found = m_records.find(key);
        if (found == m_records.end())
            return std::nullopt;
        return Record { key, found->second.value, found->second.revision };
    }

    // Returns the record's revision, zero if it is absent.
    Revision revisionOf(const std::string& key)
    {
        const auto record = read(key);
        return record ? record->revision : 0;
    }

    // Returns the new revision, or nothing when another revision than the expected one stands or
    // the lease is gone.
    std::optional<Revision> swap(const Swap& swap)
    {
        if (revisionOf(swap.key) != swap.expected)
            return std::nullopt;
        if (swap.lease.number != 0 && !m_leases.contains(swap.lease))
            return std::nullopt;
        return write(swap.key, swap.value, swap.lease);
    }

    // Writes whatever stands there.
    Revision put(const std::string& key, const std::string& value) { return write(key, value, {}); }

    // Replaces a value without a new revision, as damage does.
    void corrupt(const std::string& key, const std::string& value) { m_records.at(key).value = value; }

    // Returns false when another revision than the expected one stands.
    bool erase(const std::string& key, Revision expected)
    {
        const Revision present = revisionOf(key);
        if (present == 0 || present != expected)
            return false;
        m_records.erase(key);
        ++m_lastRevision;
        return true;
    }

    std::vector<Record> list(const std::string& prefix, const std::string& after, std::size_t limit)
    {
        dropLapsed();
        std::vector<Record> records;
        for (auto entry = m_records.lower_bound(std::max(prefix, after)); entry != m_records.end() && records.size() < limit; ++entry) {
            if (!entry->first.starts_with(prefix))
                break;
            if (entry->first > after)
                records.push_back({ entry->first, entry->second.value, entry->second.revision });
        }
        return records;
    }

    LeaseId grantLease(std::chrono::milliseconds timeToLive)
    {
        const LeaseId lease { ++m_lastLease };
        m_leases[lease] = { timeToLive, m_clock.now() + timeToLive };
        return lease;
    }

    // Returns false when the lease has lapsed.
    bool keepLease(LeaseId lease)
    {
        dropLapsed();
        const auto found = m_leases.find(lease);
        if (found == m_leases.end())
            return false;
        found->second.end = m_clock.now() + found->second.timeToLive;
        return true;
    }

private:
    struct Entry {
        std::string value;
        Revision revision = 0;
        LeaseId lease;
    };

    struct Lease {
        std::chrono::milliseconds timeToLive { 0 };
        SteadyTime end;
    };

    Revision write(const std::string& key, const std::string& value, LeaseId lease)
    {
        m_records[key] = { value, ++m_lastRevision, lease };
        return m_lastRevision;
    }

    void dropLapsed()
    {
        const SteadyTime now = m_clock.now();
        const auto lapsed = std::erase_if(m_leases, [&](const auto& lease) { return lease.second.end <= now; });
        if (lapsed == 0)
            return;
        std::erase_if(m_records, [&](const auto& record) {
            const LeaseId lease = record.second.lease;
            return lease.number != 0 && !m_leases.contains(lease);
        });
    }

    const Clock& m_clock;
    std::map<std::string, Entry> m_records;
    std::map<LeaseId, Lease> m_leases;
    std::uint64_t m_lastRevision = 0; // One counter over all keys, so that it rises over deletions too.
    std::uint64_t m_lastLease = 0;
};

}
