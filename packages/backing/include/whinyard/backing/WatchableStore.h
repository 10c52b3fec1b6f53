// A key-value service with one revision counter over all keys, as an interface: reads by prefix, watches from a
// revision on, transactions over several keys, and leases.
//
// The service may come back from an older copy: what it had accepted since is gone, leases too, and it gives the numbers of
// revisions and leases out again. Each such return begins a new era, which revisions and leases name.
//
// Instances that keep their shared state in a store of this kind use it; PrefixFollower keeps a copy of a prefix up
// to date through it. The adapter to a real service and the fakes of the tests implement it.
#pragma once

#include "whinyard/backing/KeyValueStore.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::backing {

// A part of the records under a prefix, in the order of their keys.
struct RecordPage {
    std::vector<Record> records;
    bool hasMore = false; // Further pages begin after the last key of this one. Pages are no snapshot.
    Revision storeRevision = 0; // Of the store when the page was read.
};

// A record as it was written, or its deletion.
struct RecordChange {
    Record record; // Without a value when it was deleted.
    bool deleted = false;
};

// What happened under a prefix after a revision.
struct ChangePage {
    std::vector<RecordChange> changes; // In the order of their revisions.
    Revision storeRevision = 0; // Where the next watch continues.
    bool hasMore = false; // The answer holds no more than this, and further changes stand already.
};

// What a watch may take beyond its wait before its connection counts as silent: a slow service answers within some hundred
// milliseconds.
inline constexpr std::chrono::milliseconds watchSlack { 600 };

// How current a read must be.
enum class ReadAge : std::uint8_t {
    newest, // Linearizable.
    mayBeOld, // May show a state that is seconds old, at a fraction of the price.
};

// A write that is part of a transaction.
struct Put {
    std::string key;
    std::string value;
    LeaseId lease {}; // Number zero: the record lasts.
};

// What a record's revision must be for a transaction to happen; zero: the record is absent.
struct Precondition {
    std::string key;
    Revision revision = 0;
};

struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Put> puts;
    std::vector<std::string> deletes;
};

// The service. A call suspends the calling fiber in production and returns at once in tests.
//
// Failures: storeUnavailable (definitely no effect), storeUncertain (a write whose reply is missing: it may have taken
// effect, or may still do so), corruptRecord (the reply can't be understood).
class WatchableStore {
public:
    virtual ~WatchableStore() = default;

    // Returns the era that the latest answer has stated; 0 before the first, and for a service that states none. EraStore returns the
    // newest, by which its callers go.
    virtual std::uint64_t era() const = 0;

    // Reads the records whose keys start with `prefix` and come after `after`.
    virtual std::optional<RecordPage> range(const std::string& prefix, const std::string& after, ReadAge age, Failure& failure) = 0;

    // Waits for changes under `prefix` after revision `after`, at most for `wait`; without any the page is empty.
    // Fails with notFound when the service has dropped the history that it would take, or has begun a new era: read the range again.
    virtual std::optional<ChangePage> watch(const std::string& prefix, Revision after, std::chrono::milliseconds wait, Failure& failure) = 0;

    // Ends every range and watch of whose answer nothing has come yet, with storeUnavailable.
    virtual void interruptReads() = 0;

    // Returns whether the service answers, by its cheapest call.
    virtual bool answers(Failure& failure) = 0;

    // Does all of a transaction or nothing, and returns its revision. Fails with swapConflict when a precondition
    // doesn't hold, and with notFound when a lease has ended. By EraStore a revision or a lease of an earlier era counts as one that is
    // gone; where the new era shows only by the answer, the transaction has happened, and fails with storeUncertain, or with
    // notFound when it names a lease.
    virtual std::optional<Revision> transact(const Transaction& transaction, Failure& failure) = 0;

    virtual std::optional<LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) = 0;

    // Returns false with notFound when the lease has ended.
    virtual bool keepLease(LeaseId lease, Failure& failure) = 0;

    // Ends a lease; its records vanish at once.
    virtual bool endLease(LeaseId lease, Failure& failure) = 0;
};

// Reads all pages of a prefix as one. The revision is that of the first page: a watch from there on tells what changed
// between them. Fails with storeUnavailable where a new era began between them.
std::optional<RecordPage> readAll(WatchableStore& store, const std::string& prefix, ReadAge age, Failure& failure);

}
