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
    const bool leads = m_held ? renew(failure) : acquire(failure);
    observeEra();
    return leads && m_held;
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

// A number of the era before may be another instance's by now. What stands of this instance's record shows whether its lease does.
void LeaderLease::observeEra()
{
    if (m_era == m_store.era())
        return;
    m_era = m_store.era();
    m_eraSince = m_clock.now();
    if (!m_held || m_held->lease.era == m_era)
        return;
    m_uncertain = backing::LeaseId { m_held->lease.number, m_era };
    m_held.reset();
}

std::optional<std::chrono::nanoseconds> LeaderLease::eraAge() const
{
    return m_eraSince ? std::optional<std::chrono::nanoseconds>(m_clock.now() - *m_eraSince) : std::nullopt;
}

std::optional<std::uint64_t> LeaderLease::fenceFor(std::chrono::milliseconds duration) const
{
    // Above every revision of a store that makes a million changes a second for ten days.
    constexpr int eraShift = 40;
    const std::optional<std::chrono::nanoseconds> age = eraAge();
    const bool mayEarlierLeaderAct = age && *age < m_settings.timeToLive;
    if (!m_held || m_store.era() != m_held->revision.era || mayEarlierLeaderAct || m_clock.now() + duration > m_provenUntil)
        return std::nullopt;
    return (m_held->revision.era << eraShift) + m_held->revision.number;
}

bool LeaderLease::acquire(Failure& failure)
{
    failure = {};
    const std::optional<backing::Record> standing = read(backing::ReadAge::mayBeOld, failure);
    if (!standing)
        return false;
    observeEra();
    m_leader.value = standing->value;
    const bool isOwn = standing->value == m_self.value;
    if (standing->revision.number > 0 && isOwn && standing->lease == m_uncertain) {
        m_held = { standing->lease, standing->revision };
        return renew(failure);
    }
    if (standing->revision.number > 0 && !(isOwn && m_isMisplaced))
        return false;
    return write(standing->revision, failure);
}

// Writes the record in place of the one with this revision.
bool LeaderLease::write(Revision standing, Failure& failure)
{
    const std::optional<backing::LeaseId> lease = m_store.grantLease(m_settings.timeToLive, failure);
    if (!lease)
        return false;
    const std::optional<Revision> revision = m_store.transact({ .preconditions = { { m_settings.key, standing } }, .puts = { { m_settings.key, m_self.value, *lease } }, .deletes = {} }, failure);
    if (!revision) {
        if (failure.kind == ErrorKind::storeUncertain)
            m_uncertain = lease;
        // The record may hang on a lease that the store has given to another instance, which would keep it standing.
        m_isMisplaced = m_isMisplaced || m_store.era() != lease->era;
        return false;
    }
    m_isMisplaced = false;
    m_held = { *lease, *revision };
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
    observeEra();
    if (!m_held)
        return false;
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
