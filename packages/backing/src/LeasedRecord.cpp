#include "whinyard/backing/LeasedRecord.h"

namespace whinyard::backing {

LeasedRecord::LeasedRecord(WatchableStore& store, std::string key, std::string value, std::chrono::milliseconds timeToLive)
    : m_store(store)
    , m_key(std::move(key))
    , m_value(std::move(value))
    , m_timeToLive(timeToLive)
{
}

bool LeasedRecord::turn(Failure& failure)
{
    m_isTurning = true;
    const bool stands = turnOnce(failure);
    m_isTurning = false;
    return stands;
}

bool LeasedRecord::turnOnce(Failure& failure)
{
    if (isInDoubt() && !confirm(failure))
        return false;
    if (!m_lease)
        return write(failure);
    if (m_store.keepLease(*m_lease, failure))
        return true;
    if (failure.kind != ErrorKind::notFound)
        return false;
    if (isInDoubt())
        return turnOnce(failure); // The answer stated a new era.
    m_lease.reset();
    return write(failure);
}

// In the new era the number of the lease is this process's own only where the record stands under it.
bool LeasedRecord::confirm(Failure& failure)
{
    const std::optional<RecordPage> page = m_store.range(m_key, {}, ReadAge::mayBeOld, failure);
    if (!page)
        return false;
    const std::uint64_t number = m_lease ? m_lease->number : 0;
    m_lease.reset();
    for (const Record& record : page->records) {
        if (number > 0 && record.lease.number == number)
            adopt(record);
    }
    return true;
}

void LeasedRecord::adopt(const Record& record)
{
    if (!m_lease && record.key == m_key && record.value == m_value && record.lease.number > 0)
        m_lease = record.lease;
}

// The key is this process's own, so an earlier life's record is replaced without a condition. A write whose reply is
// lost is made again under another lease; the first one lapses without a record.
bool LeasedRecord::write(Failure& failure)
{
    const std::optional<LeaseId> lease = m_store.grantLease(m_timeToLive, failure);
    if (!lease || !m_store.transact({ .preconditions = {}, .puts = { { m_key, m_value, *lease } }, .deletes = {} }, failure))
        return false;
    m_lease = lease;
    return true;
}

void LeasedRecord::end()
{
    Failure ignored; // It lapses by itself.
    if (m_lease)
        m_store.endLease(*m_lease, ignored);
    m_lease.reset();
}

}
