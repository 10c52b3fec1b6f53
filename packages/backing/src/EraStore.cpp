#include "whinyard/backing/EraStore.h"

#include "whinyard/base/Log.h"

#include <utility>

namespace whinyard::backing {

namespace {

    std::nullopt_t failNewEra(const Revision& after, Failure& failure)
    {
        failure = { .kind = ErrorKind::notFound, .reason = "the store came back from an older copy since revision " + toText(after) };
        return std::nullopt;
    }

}

EraStore::EraStore(std::unique_ptr<WatchableStore> store)
    : m_store(std::move(store))
{
}

// Notes the era of the answer that has just come. Returns false with `late` for one of an earlier era, which has arrived late.
bool EraStore::noteEra(ErrorKind late, Failure& failure)
{
    const std::uint64_t stated = m_store->era();
    if (stated < m_era) {
        failure = { .kind = late, .reason = "an answer of the store's era " + std::to_string(stated) + " came in era " + std::to_string(m_era) };
        return false;
    }
    if (std::exchange(m_wasAnswered, true) && stated > m_era)
        log::warning("the store came back from an older copy", { { "era", std::to_string(stated) }, { "before", std::to_string(m_era) } });
    m_era = stated;
    return true;
}

// Return whether the numbers that are named mean what they meant; fill `failure` otherwise.
bool EraStore::isOfEra(LeaseId lease, Failure& failure) const
{
    if (lease.number == 0 || lease.era >= m_era)
        return true;
    failure = { .kind = ErrorKind::notFound, .reason = "the lease is of the store's era " + std::to_string(lease.era) };
    return false;
}

bool EraStore::isOfEra(const Transaction& transaction, Failure& failure) const
{
    for (const Put& put : transaction.puts) {
        if (!isOfEra(put.lease, failure))
            return false;
    }
    for (const Precondition& precondition : transaction.preconditions) {
        if (precondition.revision.number == 0 || precondition.revision.era >= m_era)
            continue;
        failure = { .kind = ErrorKind::swapConflict, .reason = "the revision " + toText(precondition.revision) + " of a precondition is of an earlier era" };
        return false;
    }
    return true;
}

std::optional<RecordPage> EraStore::range(const std::string& prefix, const std::string& after, ReadAge age, Failure& failure)
{
    std::optional<RecordPage> page = m_store->range(prefix, after, age, failure);
    return page && noteEra(ErrorKind::storeUnavailable, failure) ? std::move(page) : std::nullopt;
}

std::optional<ChangePage> EraStore::watch(const std::string& prefix, Revision after, std::chrono::milliseconds wait, Failure& failure)
{
    if (after.era < m_era)
        return failNewEra(after, failure);
    std::optional<ChangePage> page = m_store->watch(prefix, after, wait, failure);
    if (!page || !noteEra(ErrorKind::storeUnavailable, failure))
        return std::nullopt;
    if (after.era < m_era)
        return failNewEra(after, failure);
    return page;
}

bool EraStore::answers(Failure& failure)
{
    const bool answers = m_store->answers(failure);
    Failure ignored;
    if (answers)
        noteEra(ErrorKind::storeUnavailable, ignored);
    return answers;
}

std::optional<Revision> EraStore::transact(const Transaction& transaction, Failure& failure)
{
    if (!isOfEra(transaction, failure))
        return std::nullopt;
    const std::optional<Revision> revision = m_store->transact(transaction, failure);
    if (!revision || !noteEra(ErrorKind::storeUncertain, failure))
        return std::nullopt;
    if (isOfEra(transaction, failure))
        return revision;
    // It was accepted by a number that may be another's.
    if (failure.kind != ErrorKind::notFound)
        failure.kind = ErrorKind::storeUncertain;
    return std::nullopt;
}

std::optional<LeaseId> EraStore::grantLease(std::chrono::milliseconds timeToLive, Failure& failure)
{
    const std::optional<LeaseId> lease = m_store->grantLease(timeToLive, failure);
    return lease && noteEra(ErrorKind::storeUncertain, failure) ? lease : std::nullopt;
}

// Refusals by the service state an era too: a lease that has ended may have been lost.
bool EraStore::keepLease(LeaseId lease, Failure& failure)
{
    if (!isOfEra(lease, failure))
        return false;
    const bool stands = m_store->keepLease(lease, failure);
    if (!stands && failure.kind != ErrorKind::notFound)
        return false;
    return noteEra(ErrorKind::storeUncertain, failure) && isOfEra(lease, failure) && stands;
}

bool EraStore::endLease(LeaseId lease, Failure& failure)
{
    if (!isOfEra(lease, failure))
        return false;
    return m_store->endLease(lease, failure) && noteEra(ErrorKind::storeUncertain, failure);
}

}
