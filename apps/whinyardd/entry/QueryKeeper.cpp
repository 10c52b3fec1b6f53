#include "entry/QueryKeeper.h"

#include "whinyard/base/Log.h"
#include "whinyard/policy/QueryRecords.h"

#include <chrono>
#include <optional>
#include <utility>

namespace whinyard::daemon {

namespace {

    // A record that lapsed before its verdict is over would be taken for one that an operator removed.
    constexpr std::chrono::minutes recordOutlives { 1 };

}

QueryKeeper::QueryKeeper(ServeDuty& serving, backing::WatchableStore& store)
    : m_serving(serving)
    , m_store(store)
{
}

void QueryKeeper::replaced(const std::vector<backing::Record>& records)
{
    const auto now = std::chrono::system_clock::now();
    std::vector<QueryVerdict> stored;
    for (const backing::Record& record : records) {
        const std::optional<RequestDigest> request = parseRequestDigest(std::string_view(record.key).substr(prefix.size()));
        const std::optional<QueryVerdict> verdict = request ? policy::readQueryVerdict(*request, record.value, now) : std::nullopt;
        if (verdict)
            stored.push_back(*verdict);
        else
            log::error("verdict's record not taken", { { "key", record.key } });
    }
    if (std::exchange(m_era, m_store.era()) != m_store.era())
        m_serving.forgetStoredVerdicts();
    m_serving.takeStoredVerdicts(std::move(stored));
}

bool QueryKeeper::turn()
{
    if (!m_serving.hasVerdicts())
        return true;
    for (const RequestDigest& request : m_serving.refutedVerdicts())
        remove(request);
    for (const QueryVerdict& verdict : m_serving.unstoredVerdicts()) {
        if (!write(verdict))
            return false;
        m_serving.noteStoredVerdict(verdict.request);
    }
    return true;
}

// What fails here lapses by itself.
void QueryKeeper::remove(const RequestDigest& request)
{
    backing::Transaction transaction;
    transaction.deletes = { std::string(prefix) + toText(request) };
    Failure failure;
    const bool removed = m_store.transact(transaction, failure).has_value();
    log::info(removed ? "verdict removed from the store" : "verdict not removed from the store", { { "digest", toText(request) }, { "reason", failure.reason } });
}

// Another instance may have written it just before: then it stands there as well.
bool QueryKeeper::write(const QueryVerdict& verdict)
{
    const std::string key = std::string(prefix) + toText(verdict.request);
    Failure failure;
    const std::optional<backing::LeaseId> lease = m_store.grantLease(verdict.left + recordOutlives, failure);
    bool written = false;
    if (lease) {
        backing::Transaction transaction;
        transaction.preconditions = { { key, 0 } };
        transaction.puts = { { key, policy::writeQueryVerdict(verdict, std::chrono::system_clock::now()), *lease } };
        written = m_store.transact(transaction, failure).has_value();
    }
    const bool stands = written || failure.kind == ErrorKind::swapConflict;
    if (stands || !m_fails)
        log::info(stands ? "verdict kept in the store" : "verdict not kept in the store", { { "digest", toText(verdict.request) }, { "service", verdict.service.value }, { "reason", failure.reason } });
    m_fails = !stands;
    return stands;
}

}
