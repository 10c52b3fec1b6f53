#include "whinyard/ledger/StoredIntentLedger.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    constexpr std::chrono::milliseconds shortestWait { 1 };
    constexpr std::chrono::milliseconds longestWait { 1'000 };

}

// A partition and the fiber that works for it. The fiber holds it as well, so it may outlive the ledger.
struct StoredIntentLedger::Partition {
    Partition(std::uint32_t number, const Writer& self, const PartitionLogOptions& options, const Clock& clock, const LiveWriters& live)
        : log(number, self, options, clock, live)
    {
    }

    PartitionLog log;
    net::Signal changed; // A result may be there.
    net::Signal wanted; // There may be work.
    bool working = false;
    bool stopping = false;
};

StoredIntentLedger::StoredIntentLedger(net::Duty& duty, backing::KeyValueStore& store, const Writer& self, const StoredIntentLedgerOptions& options, const Clock& clock, const LiveWriters& live)
    : m_duty(duty)
    , m_store(store)
    , m_self(self)
    , m_options(options)
    , m_clock(clock)
    , m_live(live)
    , m_partitions(options.partitions)
{
}

StoredIntentLedger::~StoredIntentLedger()
{
    for (const auto& partition : m_partitions) {
        if (!partition)
            continue;
        partition->stopping = true;
        partition->wanted.notify();
    }
}

StoredIntentLedger::Partition& StoredIntentLedger::partition(std::uint32_t number)
{
    auto& found = m_partitions.at(number);
    if (!found)
        found = std::make_shared<Partition>(number, m_self, m_options.log, m_clock, m_live);
    return *found;
}

void StoredIntentLedger::wake(Partition& partition)
{
    partition.wanted.notify();
    if (partition.working)
        return;
    partition.working = true;
    const auto found = std::find_if(m_partitions.begin(), m_partitions.end(), [&](const auto& item) { return item.get() == &partition; });
    m_duty.spawn([this, held = *found] { work(*held); });
}

// Carries out the calls of a partition until nothing waits for the store.
void StoredIntentLedger::work(Partition& partition)
{
    while (!partition.stopping) {
        if (const auto call = partition.log.nextStoreCall()) {
            const StoreReply reply = execute(m_store, *call);
            if (partition.stopping)
                return;
            partition.log.onReply(*call, reply);
            partition.changed.notify();
            continue;
        }
        partition.changed.notify();
        if (partition.log.idle())
            break;
        const auto due = partition.log.nextDue();
        const auto wait = due ? std::chrono::ceil<std::chrono::milliseconds>(*due - m_clock.now()) : longestWait;
        partition.wanted.wait(std::clamp(wait, shortestWait, longestWait));
    }
    partition.working = false;
}

// The worker may wait for a slow store while a bound passes, so whoever waits looks at the bounds too.
void StoredIntentLedger::waitForChange(Partition& partition)
{
    const auto due = partition.log.nextDue();
    const auto wait = due ? std::chrono::ceil<std::chrono::milliseconds>(*due - m_clock.now()) : longestWait;
    partition.changed.wait(std::clamp(wait, shortestWait, longestWait));
    partition.log.expire();
}

std::optional<AdmissionAnswer> StoredIntentLedger::admitOnce(Partition& partition, const CallIdentity& call, const RequestId& request, Failure& failure)
{
    const LogTicket ticket = partition.log.admit(call, request);
    wake(partition);
    for (;;) {
        if (auto result = partition.log.takeAdmission(ticket)) {
            failure = result->failure;
            return std::move(result->answer);
        }
        waitForChange(partition);
    }
}

std::optional<AdmissionAnswer> StoredIntentLedger::admit(const CallIdentity& call, const RequestId& request, Failure& failure)
{
    Partition& target = partition(partitionOf(keyDigest(call), m_options.partitions));
    const SteadyTime waitUntil = m_clock.now() + m_options.runningWait;
    for (;;) {
        auto answer = admitOnce(target, call, request, failure);
        const bool wait = answer && answer->admission == Admission::running && target.log.runsHere(call) && m_clock.now() < waitUntil;
        if (!wait)
            return answer;
        while (target.log.runsHere(call) && m_clock.now() < waitUntil)
            target.changed.wait(std::chrono::ceil<std::chrono::milliseconds>(waitUntil - m_clock.now()));
    }
}

bool StoredIntentLedger::await(Partition& partition, LogTicket ticket, Failure& failure)
{
    wake(partition);
    for (;;) {
        if (const auto result = partition.log.takeOutcome(ticket)) {
            if (result->failure)
                failure = *result->failure;
            return !result->failure;
        }
        waitForChange(partition);
    }
}

bool StoredIntentLedger::finish(const IntentTicket& ticket, const StoredAnswer& answer, const UsageLine& usage, Failure& failure)
{
    Partition& target = partition(ticket.partition);
    return await(target, target.log.finish(ticket, answer, usage), failure);
}

bool StoredIntentLedger::release(const IntentTicket& ticket, Failure& failure)
{
    Partition& target = partition(ticket.partition);
    return await(target, target.log.release(ticket), failure);
}

bool StoredIntentLedger::leaveUnknown(const IntentTicket& ticket, Failure& failure)
{
    Partition& target = partition(ticket.partition);
    return await(target, target.log.leaveUnknown(ticket), failure);
}

bool StoredIntentLedger::drain(std::chrono::milliseconds bound)
{
    const SteadyTime end = m_clock.now() + bound;
    for (const auto& partition : m_partitions) {
        while (partition && !partition->log.idle()) {
            if (m_clock.now() >= end)
                return false;
            partition->changed.wait(std::chrono::ceil<std::chrono::milliseconds>(end - m_clock.now()));
        }
    }
    return true;
}

std::vector<std::string> StoredIntentLedger::corruptRecords() const
{
    std::vector<std::string> reasons;
    for (const auto& partition : m_partitions) {
        if (partition && partition->log.corruptRecord())
            reasons.push_back(*partition->log.corruptRecord());
        if (partition && partition->log.foreignRecord())
            reasons.push_back(*partition->log.foreignRecord());
    }
    return reasons;
}

PartitionLogStats StoredIntentLedger::stats() const
{
    PartitionLogStats sum;
    for (const auto& partition : m_partitions) {
        if (!partition)
            continue;
        const PartitionLogStats& one = partition->log.stats();
        sum.swaps += one.swaps;
        sum.reads += one.reads;
        sum.conflicts += one.conflicts;
        sum.uncertain += one.uncertain;
        sum.bytesWritten += one.bytesWritten;
        sum.granted += one.granted;
        sum.abandoned += one.abandoned;
    }
    return sum;
}

}
