#include "whinyard/backing/PrefixFollower.h"

#include <algorithm>

namespace whinyard::backing {

PrefixFollower::PrefixFollower(WatchableStore& store, const Clock& clock, std::string prefix, std::chrono::milliseconds wait, PrefixObserver& observer)
    : m_store(store)
    , m_clock(clock)
    , m_prefix(std::move(prefix))
    , m_wait(wait)
    , m_observer(observer)
{
}

bool PrefixFollower::turn()
{
    m_isBehind = false;
    return m_placed ? watchOnce() : readAll();
}

bool PrefixFollower::readAll()
{
    const SteadyTime startedAt = m_clock.now();
    Failure failure;
    const std::optional<RecordPage> all = backing::readAll(m_store, m_prefix, ReadAge::newest, failure);
    if (!all) {
        m_observer.failed(failure);
        return false;
    }
    m_revision = all->storeRevision;
    m_placed = true;
    m_observer.replaced(all->records, all->storeRevision);
    m_observer.proven(startedAt);
    return true;
}

bool PrefixFollower::watchOnce()
{
    const SteadyTime startedAt = m_clock.now();
    Failure failure;
    const std::optional<ChangePage> page = m_store.watch(m_prefix, m_revision, m_wait, failure);
    if (!page) {
        if (failure.kind == ErrorKind::notFound) {
            m_placed = false;
            return readAll();
        }
        m_observer.failed(failure);
        return false;
    }
    // The place is the last change told, not the store's revision: a watch that was silent over changes whose history
    // was then dropped is found out by that, at the price of one range read for each span of history without a change.
    for (const RecordChange& change : page->changes)
        m_revision = std::max(m_revision, change.record.revision);
    m_isBehind = page->hasMore;
    if (!page->changes.empty())
        m_observer.changed(page->changes);
    m_observer.proven(startedAt);
    return true;
}

}
