// The platform's key-value service as an interface: the only place where anything is agreed or kept.
//
// The ledger, the configuration and the daemon use it. The adapter to a real service and the fakes
// of the tests implement it.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Revision.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::backing {

// The revision of a record: it rises with every write to the record's key, also over a deletion.
// Zero stands for an absent record.
using whinyard::Revision;

// A value's largest size.
inline constexpr std::size_t largestValue = 1'000'000;

// Identifies a lease; records written under it vanish when it lapses. A store that came back from an older copy gives numbers out
// again, so the one of another era may be another instance's.
struct LeaseId {
    std::uint64_t number = 0;
    std::uint64_t era = 0; // In which it was granted, or read.

    auto operator<=>(const LeaseId&) const = default;
};

struct Record {
    std::string key;
    std::string value;
    Revision revision = 0;
    LeaseId lease {}; // Under which it stands; number zero: it lasts, or the service doesn't say.

    bool operator==(const Record&) const = default;
};

// A compare-and-swap: writes `value` only if the record's revision is `expected`.
struct Swap {
    std::string key;
    std::string value;
    Revision expected = 0; // Zero creates the record if it is absent.
    LeaseId lease {}; // Number zero: the record lasts.
};

// The service. A call suspends the calling fiber in production and returns at once in tests.
//
// Failures: notFound (read only), swapConflict (definitely no effect), storeUnavailable (definitely
// no effect), storeUncertain (a write whose reply is missing: it may have taken effect, or may still do so).
class KeyValueStore {
public:
    virtual ~KeyValueStore() = default;

    virtual std::optional<Record> read(const std::string& key, Failure& failure) = 0;

    // Returns the new revision.
    virtual std::optional<Revision> swap(const Swap& swap, Failure& failure) = 0;

    // Deletes the record if its revision is `expected`.
    virtual bool erase(const std::string& key, Revision expected, Failure& failure) = 0;

    // Returns up to `limit` records whose keys start with `prefix` and come after `after`, in order
    // of their keys.
    virtual std::optional<std::vector<Record>> list(const std::string& prefix, const std::string& after, std::size_t limit, Failure& failure) = 0;

    // Waits until the record's revision is higher than `known`, at most for `timeout`, and returns the record;
    // returns nothing with deadlineExceeded when nothing changed. Counts as one call while it waits.
    virtual std::optional<Record> watch(const std::string& key, Revision known, std::chrono::milliseconds timeout, Failure& failure) = 0;

    virtual std::optional<LeaseId> grantLease(std::chrono::milliseconds timeToLive, Failure& failure) = 0;
    virtual bool keepLease(LeaseId lease, Failure& failure) = 0;
};

}
