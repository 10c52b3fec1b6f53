#include "entry/ShiftKeeper.h"

#include "Shared.h"
#include "platform/Rollouts.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    constexpr std::string_view recordPrefix = ShiftKeeper::prefix;

    // Bad answers are told soon; without new ones the counts are told at leisure, so that the others know of good answers
    // too.
    constexpr std::chrono::milliseconds badEvidenceInterval { 500 };
    constexpr std::chrono::milliseconds evidenceInterval { 3'000 };

    // Within which instances write a record that all of them come to.
    constexpr std::chrono::milliseconds writeSpread { 1'200 };
    constexpr std::chrono::milliseconds verdictSpread { 300 };

    constexpr std::uint32_t noticeRepeats = 2; // One datagram in some hundred is lost, more on a link that is full.

}

ShiftKeeper::ShiftKeeper(EntryShared& shared, ServeDuty& serving, backing::WatchableStore& store)
    : m_shared(shared)
    , m_serving(serving)
    , m_store(store)
    , m_random(seededRandom())
{
}

void ShiftKeeper::replaced(const std::vector<backing::Record>& records)
{
    m_read = true;
    for (const backing::Record& record : records)
        take(record);
}

void ShiftKeeper::take(const backing::Record& record)
{
    const std::string_view key = record.key;
    if (key.starts_with(recordPrefix)) {
        const ServiceName service { std::string(key.substr(recordPrefix.size())) };
        if (record.revision <= m_revisions[service])
            return;
        m_revisions[service] = record.revision;
        const std::optional<policy::ShiftRecord> read = policy::readShiftRecord(record.value);
        if (!read) {
            log::error("roll-out record not taken", { { "key", record.key } });
            return;
        }
        log::info("roll-out record", { { "service", service.value }, { "state", std::string(toText(read->state)) }, { "elapsedMs", std::to_string(read->elapsed.count()) }, { "reason", read->reason }, { "revision", std::to_string(record.revision) } });
        m_serving.postToShifts([service, read = *read, now = m_shared.clock.now()](policy::VersionShifts& shifts) { shifts.takeRecord(service, read, now); });
    }
}

void ShiftKeeper::turn()
{
    struct Due {
        policy::ShiftOrder order;
        std::optional<policy::ShiftRecord> record;
        std::optional<policy::ShiftEvidence> evidence;
    };
    repeatNotices();
    if (!m_read)
        return;
    const SteadyTime now = m_shared.clock.now();
    const auto due = m_serving.askShifts([now](policy::VersionShifts& shifts) {
        std::vector<Due> list;
        for (const ServiceName& service : shifts.services())
            list.push_back({ *shifts.order(service), shifts.due(service, now), shifts.evidence(service) });
        return list;
    });
    if (!due)
        return;
    for (const Due& one : *due) {
        if (!one.record)
            m_writeAt.erase(one.order.service);
        else if (isTimeToWrite(one.order.service, *one.record, now))
            writeRecord(one.order, *one.record);
        if (one.evidence && isWorthTelling(one.order.service, *one.evidence, now)) {
            m_serving.broadcast(peer::EvidenceNotice { one.order.service, m_shared.settings.instance, policy::writeShiftEvidence(*one.evidence) });
            m_told[one.order.service] = { *one.evidence, now };
        }
    }
}

// Every instance comes to the same record at about the same time, and one write is enough: each waits for a time of its
// own, and the first tells the others. A verdict and a completion, for which the period leaves little time, wait for less.
bool ShiftKeeper::isTimeToWrite(const ServiceName& service, const policy::ShiftRecord& record, SteadyTime now)
{
    const std::chrono::milliseconds spread = record.state == policy::ShiftState::running ? writeSpread : verdictSpread;
    const auto [at, isNew] = m_writeAt.try_emplace(service, now);
    if (isNew)
        at->second = now + std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(spread.count())));
    return now >= at->second;
}

// A notice may be lost, and an instance that misses a verdict goes on sending requests to a bad version.
void ShiftKeeper::tell(const peer::ShiftNotice& notice)
{
    m_serving.broadcast(notice);
    m_repeated.push_back({ notice, noticeRepeats });
}

void ShiftKeeper::repeatNotices()
{
    for (Repeated& repeated : m_repeated) {
        m_serving.broadcast(repeated.notice);
        --repeated.left;
    }
    std::erase_if(m_repeated, [](const Repeated& repeated) { return repeated.left == 0; });
}

void ShiftKeeper::takeNotice(const peer::ShiftNotice& notice)
{
    take({ std::string(recordPrefix) + notice.service.value, notice.record, notice.revision });
}

bool ShiftKeeper::isWorthTelling(const ServiceName& service, const policy::ShiftEvidence& evidence, SteadyTime now) const
{
    const auto told = m_told.find(service);
    if (told == m_told.end() || told->second.evidence.order != evidence.order)
        return evidence.failures.total() > 0;
    const auto age = now - told->second.at;
    const policy::ShiftEvidence& before = told->second.evidence;
    const bool isBad = evidence.failures.bad > before.failures.bad || evidence.slowness.bad > before.slowness.bad;
    return age >= (isBad ? badEvidenceInterval : evidenceInterval) && !(told->second.evidence == evidence);
}

void ShiftKeeper::writeRecord(const policy::ShiftOrder& order, const policy::ShiftRecord& record)
{
    const std::string key = std::string(recordPrefix) + order.service.value;
    const auto known = m_revisions.find(order.service);
    backing::Transaction transaction;
    transaction.preconditions = { { key, known == m_revisions.end() ? 0 : known->second } };
    transaction.puts = { { key, policy::writeShiftRecord(record) }, { platform::statusKey(order.service), platform::writeStatus(order, record.state) } };
    Failure failure;
    const std::optional<backing::Revision> revision = m_store.transact(transaction, failure);
    log::info(revision ? "roll-out record written" : "roll-out record not written", { { "service", order.service.value }, { "state", std::string(toText(record.state)) }, { "elapsedMs", std::to_string(record.elapsed.count()) }, { "reason", revision ? record.reason : failure.reason } });
    if (!revision)
        return; // A conflict is resolved by the record that the watch brings.
    m_revisions[order.service] = *revision;
    m_writeAt.erase(order.service);
    tell({ order.service, policy::writeShiftRecord(record), *revision });
    m_serving.postToShifts([service = order.service, record, now = m_shared.clock.now()](policy::VersionShifts& shifts) { shifts.takeRecord(service, record, now); });
}

}
