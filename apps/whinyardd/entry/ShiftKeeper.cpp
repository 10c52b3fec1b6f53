#include "entry/ShiftKeeper.h"

#include "Shared.h"
#include "platform/Rollouts.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    constexpr std::string_view recordPrefix = ShiftKeeper::prefix;

    // Answers of the target are told soon, whether they are good or bad: told by their outcome, the bad ones would be counted
    // before the good ones of the same second. Those of the other versions alone are told less often.
    constexpr std::chrono::milliseconds targetInterval { 500 };
    constexpr std::chrono::milliseconds othersInterval { 1'000 };
    constexpr std::chrono::milliseconds decidingInterval { 150 }; // While the verdict is due.
    // For each instance, where that is longer, up to the second: each tells all the others, and is told by them.
    constexpr std::chrono::milliseconds intervalPerInstance { 5 };
    constexpr std::chrono::milliseconds longestInterval { 3'000 };

    std::string countsText(const policy::RatedCounts& counts)
    {
        return std::to_string(counts.bad) + " of " + std::to_string(counts.total());
    }

    constexpr std::uint32_t noticeRepeats = 2; // One datagram in some hundred is lost, more on a link that is full.

}

ShiftKeeper::ShiftKeeper(EntryShared& shared, ServeDuty& serving, backing::WatchableStore& store, std::function<std::size_t()> instances)
    : m_shared(shared)
    , m_serving(serving)
    , m_store(store)
    , m_instances(std::move(instances))
    , m_writes(seededRandom())
{
}

void ShiftKeeper::replaced(const std::vector<backing::Record>& records)
{
    m_read = true;
    const bool wasAsked = m_writes.noteRead();
    for (const backing::Record& record : records) {
        // Whoever wrote it hasn't told, or not to all.
        if (take(record) && wasAsked)
            tell({ ServiceName { record.key.substr(recordPrefix.size()) }, record.value, record.revision });
    }
    std::erase_if(m_revisions, [this](const auto& known) {
        if (known.second.era >= m_store.era())
            return false;
        log::warning("roll-out record is gone from the store", { { "service", known.first.value }, { "revision", toText(known.second) } });
        m_serving.postToShifts([service = known.first](policy::VersionShifts& shifts) { shifts.forgetRecord(service); });
        return true;
    });
}

bool ShiftKeeper::isInDoubt() const
{
    return std::any_of(m_revisions.begin(), m_revisions.end(), [this](const auto& known) { return known.second.era < m_store.era(); });
}

bool ShiftKeeper::take(const backing::Record& record)
{
    const std::string_view key = record.key;
    if (key.starts_with(recordPrefix)) {
        const ServiceName service { std::string(key.substr(recordPrefix.size())) };
        if (record.revision.era < m_store.era() || record.revision <= m_revisions[service])
            return false; // A notice from before the store came back may be repeated after it.
        m_revisions[service] = record.revision;
        m_writes.noteKnown(service);
        const std::optional<policy::ShiftRecord> read = policy::readShiftRecord(record.value);
        if (!read) {
            log::error("roll-out record not taken", { { "key", record.key } });
            return false;
        }
        log::info("roll-out record", { { "service", service.value }, { "state", std::string(toText(read->state)) }, { "elapsedMs", std::to_string(read->elapsed.count()) }, { "reason", read->reason }, { "revision", toText(record.revision) } });
        m_serving.postToShifts([service, read = *read, now = m_shared.clock.now()](policy::VersionShifts& shifts) { shifts.takeRecord(service, read, now); });
        return true;
    }
    return false;
}

void ShiftKeeper::turn()
{
    struct Due {
        policy::ShiftOrder order;
        std::optional<policy::ShiftRecord> record;
        std::optional<policy::ShiftEvidence> evidence;
        std::optional<policy::ShiftFindings> findings;
        bool isDeciding = false;
        std::chrono::milliseconds elapsed { 0 };
    };
    repeatNotices();
    if (!m_read)
        return;
    const SteadyTime now = m_shared.clock.now();
    m_writes.beginTurn(); // A record may be learnt while the question is under way.
    const auto due = m_serving.askShifts([now](policy::VersionShifts& shifts) {
        std::vector<Due> list;
        for (const ServiceName& service : shifts.services())
            list.push_back({ *shifts.order(service), shifts.due(service, now), shifts.evidence(service), shifts.findings(service), shifts.isDeciding(service, now), shifts.elapsed(service, now) });
        return list;
    });
    if (!due)
        return;
    for (const Due& one : *due) {
        if (!one.record)
            m_writes.drop(one.order.service);
        else if (m_writes.isTime(one.order.service, one.record->state, now))
            writeRecord(one.order, *one.record, one.findings.value_or(policy::ShiftFindings()));
        if (one.evidence && isWorthTelling(one.order.service, *one.evidence, one.isDeciding, now)) {
            m_told[one.order.service] = { *one.evidence, now };
            policy::ShiftEvidence told = *one.evidence;
            told.elapsed = one.elapsed;
            m_serving.broadcast(peer::EvidenceNotice { one.order.service, m_shared.settings.instance, policy::writeShiftEvidence(told) });
        }
    }
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

bool ShiftKeeper::isWorthTelling(const ServiceName& service, const policy::ShiftEvidence& evidence, bool isDeciding, SteadyTime now)
{
    const auto [told, isNew] = m_told.try_emplace(service);
    if (isNew || told->second.evidence.order != evidence.order)
        told->second = { { .order = evidence.order }, now - (othersInterval - targetInterval) };
    const policy::ShiftEvidence& before = told->second.evidence;
    if (before == evidence)
        return false;
    const bool hasTargets = evidence.failures.total() > before.failures.total();
    const std::chrono::milliseconds least = isDeciding ? decidingInterval : targetInterval;
    const std::chrono::milliseconds interval = std::max(least, std::min(longestInterval, intervalPerInstance * static_cast<int>(m_instances())));
    return now - told->second.at >= (hasTargets || isDeciding ? interval : std::max(interval, othersInterval));
}

void ShiftKeeper::writeRecord(const policy::ShiftOrder& order, const policy::ShiftRecord& record, const policy::ShiftFindings& findings)
{
    const std::string key = std::string(recordPrefix) + order.service.value;
    const auto known = m_revisions.find(order.service);
    if (known != m_revisions.end() && known->second.era < m_store.era())
        return; // It is read anew first.
    backing::Transaction transaction;
    transaction.preconditions = { { key, known == m_revisions.end() ? Revision() : known->second } };
    transaction.puts = { { key, policy::writeShiftRecord(record) }, { platform::statusKey(order.service), platform::writeStatus(order, record.state) } };
    Failure failure;
    const std::optional<backing::Revision> revision = m_store.transact(transaction, failure);
    log::info(revision ? "roll-out record written" : "roll-out record not written", { { "service", order.service.value }, { "state", std::string(toText(record.state)) }, { "elapsedMs", std::to_string(record.elapsed.count()) }, { "reason", revision ? record.reason : failure.reason } });
    log::info("roll-out findings", { { "service", order.service.value }, { "failed", countsText(findings.failures) }, { "slow", countsText(findings.slowness) }, { "evidence", std::to_string(findings.evidence) }, { "evidenceOfAll", std::to_string(findings.evidenceOfAll) }, { "byEndpoint", findings.byEndpoint }, { "others", findings.others }, { "slowOthers", findings.slowOthers }, { "byKind", findings.byKind }, { "slowByEndpoint", findings.slowByEndpoint } });
    if (!revision) {
        m_writes.noteFailed(order.service, failure.kind);
        return;
    }
    m_revisions[order.service] = *revision;
    m_writes.noteWritten(order.service);
    tell({ order.service, policy::writeShiftRecord(record), *revision });
    m_serving.postToShifts([service = order.service, record, now = m_shared.clock.now()](policy::VersionShifts& shifts) { shifts.takeRecord(service, record, now); });
}

}
