#include "whinyard/leadership/LeaderLease.h"

namespace whinyard::leadership {

LeaderLease::LeaderLease(backing::WatchableStore& store, const Clock& clock, InstanceName self, LeaderLeaseSettings settings)
    : m_store(store)
    , m_clock(clock)
    , m_self(std::move(self))
    , m_settings(std::move(settings))
{
}

bool LeaderLease::turn(Failure& failure)
{
    return m_held ? renew(failure) : acquire(failure);
}

bool LeaderLease::keep(Failure& failure)
{
    return m_held && renew(failure);
}

void LeaderLease::resign()
{
    m_held.reset();
    m_uncertain.reset();
}

std::optional<std::uint64_t> LeaderLease::fenceFor(std::chrono::milliseconds duration) const
{
    if (!m_held || m_clock.now() + duration > m_provenUntil)
        return std::nullopt;
    return m_held->fence;
}

bool LeaderLease::acquire(Failure& failure)
{
    failure = {};
    const std::optional<backing::Record> standing = read(backing::ReadAge::mayBeOld, failure);
    if (!standing)
        return false;
    m_leader.value = standing->value;
    if (standing->revision > 0) {
        if (standing->lease != m_uncertain)
            return false;
        m_held = { standing->lease, standing->revision };
        return renew(failure);
    }
    const std::optional<backing::LeaseId> lease = m_store.grantLease(m_settings.timeToLive, failure);
    if (!lease)
        return false;
    std::optional<std::uint64_t> fence = m_store.transact({ .preconditions = { { m_settings.key, 0 } }, .puts = { { m_settings.key, m_self.value, *lease } }, .deletes = {} }, failure);
    if (!fence) {
        if (failure.kind == ErrorKind::storeUncertain)
            m_uncertain = lease;
        return false;
    }
    m_held = { *lease, *fence };
    m_leader = m_self;
    // The lease was granted before the record of the last leader lapsed, and may end soon. Renewed now, it outlasts that leader's last
    // action by a whole time to live.
    return renew(failure);
}

bool LeaderLease::renew(Failure& failure)
{
    const SteadyTime sentAt = m_clock.now();
    if (m_store.keepLease(m_held->lease, failure)) {
        m_provenUntil = sentAt + m_settings.timeToLive - m_settings.clockMargin;
        m_uncertain.reset();
        return true;
    }
    if (failure.kind != ErrorKind::notFound)
        return m_clock.now() < m_provenUntil;
    resign();
    return false;
}

// Returns the record, with revision zero where there is none; nothing where the store failed.
std::optional<backing::Record> LeaderLease::read(backing::ReadAge age, Failure& failure)
{
    const std::optional<backing::RecordPage> page = m_store.range(m_settings.key, {}, age, failure);
    if (!page)
        return std::nullopt;
    for (const backing::Record& record : page->records) {
        if (record.key == m_settings.key)
            return record;
    }
    return backing::Record {};
}

}
