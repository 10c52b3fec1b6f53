// The intent ledger over the key-value service: drives a PartitionLog for each partition with fibers
// of the store duty.
//
// The daemon makes one. All functions are called on the store duty; the router gets there with
// net::callOn().
#pragma once

#include "whinyard/ledger/IntentLedger.h"
#include "whinyard/ledger/PartitionLog.h"
#include "whinyard/net/Duty.h"

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace whinyard::ledger {

struct StoredIntentLedgerOptions {
    std::uint32_t partitions = 32; // The same on every instance, for ever.
    std::chrono::milliseconds runningWait { 1'000 }; // How long a retry waits for a call that runs in this process.
    PartitionLogOptions log;
};

class StoredIntentLedger final : public IntentLedger {
public:
    // All references must outlive the object. `live` is asked on the store duty.
    StoredIntentLedger(net::Duty& duty, backing::KeyValueStore& store, const Writer& self, const StoredIntentLedgerOptions& options, const Clock& clock, const LiveWriters& live);
    ~StoredIntentLedger() override;

    std::optional<AdmissionAnswer> admit(const CallIdentity& call, const RequestId& request, Failure& failure) override;
    bool finish(const IntentTicket& ticket, const StoredAnswer& answer, const UsageLine& usage, Failure& failure) override;
    bool release(const IntentTicket& ticket, Failure& failure) override;
    bool leaveUnknown(const IntentTicket& ticket, Failure& failure) override;

    // Waits until every outcome is durable, at most for `bound`; false when some are not. For a
    // graceful shutdown, after the last request.
    bool drain(std::chrono::milliseconds bound);

    // Returns the reasons, each beginning with a key, for which records aren't trusted now.
    std::vector<std::string> corruptRecords() const;

    // Returns the sum over the partitions.
    PartitionLogStats stats() const;

private:
    struct Partition;

    Partition& partition(std::uint32_t number);
    void wake(Partition& partition);
    void work(Partition& partition);
    std::optional<AdmissionAnswer> admitOnce(Partition& partition, const CallIdentity& call, const RequestId& request, Failure& failure);
    bool await(Partition& partition, LogTicket ticket, Failure& failure);
    void waitForChange(Partition& partition);

    net::Duty& m_duty;
    backing::KeyValueStore& m_store;
    const Writer m_self;
    const StoredIntentLedgerOptions m_options;
    const Clock& m_clock;
    const LiveWriters& m_live;
    std::vector<std::shared_ptr<Partition>> m_partitions; // Null before the first use.
};

}
