#include "whinyard/backing/CountedStore.h"

#include <utility>

namespace whinyard::backing {

namespace {

    // What a call costs, in tenths of a full one: reads that may be old and renewals are the cheap ones.
    constexpr std::uint64_t fullCall = 10;
    constexpr std::uint64_t cheapCall = 1;

}

CountedStore::CountedStore(std::unique_ptr<WatchableStore> store, Metrics& metrics)
    : m_store(std::move(store))
    , m_metrics(metrics)
{
}

void CountedStore::count(std::string_view call, const std::string& prefix, std::uint64_t tenths)
{
    m_metrics.add("whinyard_store_call_tenths_total{call=\"" + std::string(call) + "\",prefix=\"" + prefix + "\"}", tenths);
}

std::optional<RecordPage> CountedStore::range(const std::string& prefix, const std::string& after, ReadAge age, Failure& failure)
{
    count("range", prefix, age == ReadAge::mayBeOld ? cheapCall : fullCall);
    return m_store->range(prefix, after, age, failure);
}

std::optional<ChangePage> CountedStore::watch(const std::string& prefix, Revision after, std::chrono::milliseconds wait, Failure& failure)
{
    count("watch", prefix, fullCall);
    return m_store->watch(prefix, after, wait, failure);
}

bool CountedStore::answers(Failure& failure)
{
    count("probe", "", cheapCall);
    return m_store->answers(failure);
}

std::optional<Revision> CountedStore::transact(const Transaction& transaction, Failure& failure)
{
    count("transact", "", fullCall);
    return m_store->transact(transaction, failure);
}

std::optional<LeaseId> CountedStore::grantLease(std::chrono::milliseconds timeToLive, Failure& failure)
{
    count("grant", "", fullCall);
    return m_store->grantLease(timeToLive, failure);
}

bool CountedStore::keepLease(LeaseId lease, Failure& failure)
{
    count("keep", "", cheapCall);
    return m_store->keepLease(lease, failure);
}

bool CountedStore::endLease(LeaseId lease, Failure& failure)
{
    count("end", "", fullCall);
    return m_store->endLease(lease, failure);
}

}
