// A watchable store in memory, for tests: it can be away, lose replies, drop its history, come back from an older copy and be
// written to by others.
#pragma once

#include "whinyard/backing/WatchableStore.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::backing {

class FakeWatchableStore final : public WatchableStore {
public:
    bool isAway = false; // Every call fails without effect.
    bool isSilent = false; // Watches hear nothing although records change.
    bool losesReplies = false; // Writes are done and not answered.
    std::size_t pageSize = 500;
    std::size_t calls = 0;
    std::function<void()> beforeTransaction; // Runs once, before the next transaction: another writer.

    // Writes as somebody else would.
    Revision write(const std::string& key, std::string value, LeaseId lease = {})
    {
        m_records[key] = { { key, std::move(value), next(), lease }, lease };
        m_history.push_back({ m_records[key].record, false });
        return m_revision;
    }

    void erase(const std::string& key)
    {
        if (m_records.erase(key) > 0)
            m_history.push_back({ { key, {}, next(), {} }, true });
    }

    // Forgets what led to the present records.
    void compact()
    {
        m_history.clear();
        m_oldest = m_revision;
    }

    // Keeps a copy of all that stands now.
    void keepCopy() { m_copy = { m_records, m_revision, m_lastLease }; }

    // Comes back from the copy in a new era, and gives the numbers since then out again.
    void returnToCopy()
    {
        m_records = m_copy.records;
        m_revision = { m_revision.era + 1, m_copy.revision.number };
        m_lastLease = m_copy.lastLease;
        for (auto& [key, held] : m_records) {
            held.record.revision.era = m_revision.era;
            held.record.lease.era = m_revision.era;
        }
        m_history.clear();
        m_oldest = m_revision;
    }

    std::uint64_t era() const override { return m_revision.era; }

    const Record* find(const std::string& key) const
    {
        const auto found = m_records.find(key);
        return found == m_records.end() ? nullptr : &found->second.record;
    }

    std::optional<RecordPage> range(const std::string& prefix, const std::string& after, ReadAge, Failure& failure) override
    {
        if (!reached(failure))
            return std::nullopt;
        RecordPage page;
        page.storeRevision = m_revision;
        for (const auto& [key, held] : m_records) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            if (page.records.size() == pageSize) {
                page.hasMore = true;
                break;
            }
            page.records.push_back(held.record);
        }
        return page;
    }

    std::optional<ChangePage> watch(const std::string& prefix, Revision after, std::chrono::milliseconds, Failure& failure) override
    {
        if (!reached(failure))
            return std::nullopt;
        if (after < m_oldest) {
            failure = { .kind = ErrorKind::notFound, .reason = "the history is gone" };
            return std::nullopt;
        }
        ChangePage page;
        page.storeRevision = m_revision;
        for (const RecordChange& change : m_history) {
            if (isSilent || change.record.revision <= after || !change.record.key.starts_with(prefix))
                continue;
            page.hasMore = page.changes.size() == pageSize;
            if (page.hasMore)
                break;
            page.changes.push_back(change);
        }
        return page;
    }

    void interruptReads() override { }
    bool answers(Failure& failure) override { return reached(failure); }

    std::optional<Revision> transact(const Transaction& transaction, Failure& failure) override
    {
        if (beforeTransaction)
            std::exchange(beforeTransaction, nullptr)();
        if (!reached(failure))
            return std::nullopt;
        for (const Precondition& precondition : transaction.preconditions) {
            const Record* record = find(precondition.key);
            if ((record ? record->revision : Revision()) != precondition.revision) {
                failure = { .kind = ErrorKind::swapConflict, .reason = precondition.key + " has another revision" };
                return std::nullopt;
            }
        }
        for (const Put& put : transaction.puts) {
            if (put.lease.number == 0 || put.lease.era == era())
                continue;
            failure = { .kind = ErrorKind::notFound, .reason = "the lease is of an earlier era" };
            return std::nullopt;
        }
        for (const Put& put : transaction.puts)
            write(put.key, put.value, put.lease);
        for (const std::string& key : transaction.deletes)
            erase(key);
        if (losesReplies) {
            failure = { .kind = ErrorKind::storeUncertain, .reason = "no reply", .runState = RunState::unknown };
            return std::nullopt;
        }
        return m_revision;
    }

    std::optional<LeaseId> grantLease(std::chrono::milliseconds, Failure& failure) override
    {
        if (!reached(failure))
            return std::nullopt;
        return LeaseId { ++m_lastLease, era() };
    }

    bool keepLease(LeaseId lease, Failure& failure) override
    {
        if (!reached(failure))
            return false;
        if (lease.era != era() || lease.number <= m_endedLeases) {
            failure = { .kind = ErrorKind::notFound, .reason = "the lease has ended" };
            return false;
        }
        return true;
    }

    bool endLease(LeaseId lease, Failure& failure) override
    {
        if (!reached(failure))
            return false;
        std::erase_if(m_records, [&](const auto& entry) { return entry.second.lease == lease; });
        return true;
    }

    // Ends all leases granted so far, with their records.
    void lapseLeases()
    {
        std::vector<std::string> lapsed;
        for (const auto& [key, held] : m_records) {
            if (held.lease.number > 0)
                lapsed.push_back(key);
        }
        for (const std::string& key : lapsed)
            erase(key);
        m_endedLeases = m_lastLease;
    }

private:
    struct Held {
        Record record;
        LeaseId lease;
    };

    struct Copy {
        std::map<std::string, Held> records;
        Revision revision;
        std::uint64_t lastLease = 0;
    };

    Revision next()
    {
        ++m_revision.number;
        return m_revision;
    }

    bool reached(Failure& failure)
    {
        ++calls;
        if (isAway)
            failure = { .kind = ErrorKind::storeUnavailable, .reason = "away" };
        return !isAway;
    }

    Copy m_copy;
    std::map<std::string, Held> m_records;
    std::vector<RecordChange> m_history;
    Revision m_revision = 0;
    Revision m_oldest = 0;
    std::uint64_t m_lastLease = 0;
    std::uint64_t m_endedLeases = 0;
};

}
