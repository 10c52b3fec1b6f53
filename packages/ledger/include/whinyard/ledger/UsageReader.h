// Adds up the bill from the records: every line once, however often it stands there.
//
// `whinyard bill` and the administration API use it, at any time and on any instance; nothing but
// the key-value service is needed.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/ledger/IntentRecord.h"
#include "whinyard/ledger/UsageLine.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace whinyard::ledger {

// Which lines count. What isn't set doesn't restrict.
struct UsageQuery {
    std::optional<CustomerName> customer;
    std::optional<WallTime> from; // Included; compared with UsageLine::at.
    std::optional<WallTime> until; // Excluded.
};

// What a sum is about.
struct UsageGroup {
    CustomerName customer;
    std::string item; // The version or plain service.
    UsageEnd end = UsageEnd::complete;

    auto operator<=>(const UsageGroup&) const = default;
};

struct UsageSum {
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t billedUnits = 0;
    std::uint64_t innerUnits = 0;
    std::uint64_t attempts = 0;

    bool operator==(const UsageSum&) const = default;
};

struct UsageTotals {
    std::map<UsageGroup, UsageSum> sums;
    std::uint64_t doubles = 0; // Copies that were not counted.
    std::vector<std::string> corrupt; // Keys of records that were not counted, with the reason.
    std::vector<std::string> conflicting; // Identities under which different lines stand.
};

class UsageReader {
public:
    // `store` must outlive the reader; `partitions` is that of the intent ledger.
    UsageReader(backing::KeyValueStore& store, std::uint32_t partitions);

    // Reads all records and adds up. Without every answer of the store there is no total: returns nothing with
    // storeUnavailable then. A corrupt record is listed and doesn't stop the others.
    std::optional<UsageTotals> totals(const UsageQuery& query, Failure& failure);

    // The same as single lines, in the order of their times.
    std::optional<std::vector<UsageLine>> lines(const UsageQuery& query, Failure& failure);

private:
    struct Union {
        std::unordered_map<std::string, UsageLine> lines;
        UsageTotals totals;
    };

    std::optional<Union> collect(const UsageQuery& query, Failure& failure);
    bool collectPartition(std::uint32_t partition, const UsageQuery& query, Union& all, Failure& failure);
    bool collectSegments(std::uint32_t partition, const std::vector<SegmentInfo>& segments, const UsageQuery& query, Union& all, bool& changed, Failure& failure);
    bool collectUsage(const UsageQuery& query, Union& all, Failure& failure);

    backing::KeyValueStore& m_store;
    const std::uint32_t m_partitions;
};

}
