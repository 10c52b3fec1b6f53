#include "entry/QueryKeeper.h"

#include "whinyard/base/Log.h"
#include "whinyard/policy/QueryRecords.h"

#include <chrono>
#include <optional>

namespace whinyard::daemon {

QueryKeeper::QueryKeeper(ServeDuty& serving, backing::WatchableStore& store)
    : m_serving(serving)
    , m_store(store)
{
}

void QueryKeeper::replaced(const std::vector<backing::Record>& records)
{
    const auto now = std::chrono::system_clock::now();
    m_stored.clear();
    for (const backing::Record& record : records) {
        const std::optional<RequestDigest> request = parseRequestDigest(std::string_view(record.key).substr(prefix.size()));
        const std::optional<QueryVerdict> verdict = request ? policy::readQueryVerdict(*request, record.value, now) : std::nullopt;
        if (verdict)
            m_stored.push_back(*verdict);
        else
            log::error("verdict's record not taken", { { "key", record.key } });
    }
    m_serving.takeStoredVerdicts(m_stored);
}

bool QueryKeeper::turn()
{
    for (const RequestDigest& request : m_serving.refutedVerdicts())
        remove(request);
    for (const QueryVerdict& verdict : m_serving.unstoredVerdicts()) {
        if (!write(verdict))
            return false;
        m_stored.push_back(verdict);
        m_serving.takeStoredVerdicts(m_stored);
    }
    return true;
}

// What fails here lapses by itself.
void QueryKeeper::remove(const RequestDigest& request)
{
    std::erase_if(m_stored, [&](const QueryVerdict& verdict) { return verdict.request == request; });
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
    const std::optional<backing::LeaseId> lease = m_store.grantLease(verdict.left, failure);
    if (!lease)
        return false;
    backing::Transaction transaction;
    transaction.preconditions = { { key, 0 } };
    transaction.puts = { { key, policy::writeQueryVerdict(verdict, std::chrono::system_clock::now()), *lease } };
    const bool written = m_store.transact(transaction, failure).has_value();
    log::info(written ? "verdict kept in the store" : "verdict not kept in the store", { { "digest", toText(verdict.request) }, { "service", verdict.service.value }, { "reason", failure.reason } });
    return written || failure.kind == ErrorKind::swapConflict;
}

}
