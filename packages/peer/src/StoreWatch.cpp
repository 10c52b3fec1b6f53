#include "whinyard/peer/StoreWatch.h"

#include <optional>
#include <utility>

namespace whinyard::peer {

StoreWatch::StoreWatch(backing::KeyValueStore& store, ConfigurationKeeper& keeper, const Clock& clock)
    : m_store(store)
    , m_keeper(keeper)
    , m_clock(clock)
{
}

StoreWatch::Turn StoreWatch::turn(std::chrono::milliseconds timeout, Failure& failure)
{
    if (!m_keeper.takeStoreCall())
        return Turn::idle;
    const SteadyTime startedAt = m_clock.now();
    const std::optional<backing::Record> record = m_store.watch(configurationKey, m_knownRecord, timeout, failure);
    if (record && take(*record, startedAt, failure))
        return Turn::reached;
    if (!record && failure.kind == ErrorKind::deadlineExceeded) {
        m_keeper.storeUnchanged(startedAt, m_revision);
        return Turn::reached;
    }
    m_keeper.storeFailed();
    return Turn::failed;
}

bool StoreWatch::take(const backing::Record& record, SteadyTime startedAt, Failure& failure)
{
    std::optional<config::Configuration> parsed = config::parseRecord(record.value, failure);
    if (!parsed) {
        failure.kind = ErrorKind::corruptRecord;
        failure.reason = record.key + " can't be read: " + failure.reason;
        return false;
    }
    m_knownRecord = record.revision;
    m_revision = parsed->revision;
    m_keeper.storeAnswered(startedAt, { std::make_shared<const config::Configuration>(std::move(*parsed)), record.value });
    return true;
}

}
