#include "whinyard/ledger/UsageReader.h"

#include "internal/Envelope.h"
#include "internal/PartitionNames.h"
#include "whinyard/ledger/IntentRecord.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    constexpr std::size_t pageLimit = 16; // Records of one listing; each may be half a megabyte.
    constexpr int partitionAttempts = 5; // Segments may be pruned while a partition is read.

    bool matches(const UsageLine& line, const UsageQuery& query)
    {
        const WallTime at { std::chrono::duration_cast<WallTime::duration>(line.at.physical) };
        if (query.customer && line.customer != *query.customer)
            return false;
        return (!query.from || at >= *query.from) && (!query.until || at < *query.until);
    }

    void addLine(UsageSum& sum, const UsageLine& line)
    {
        ++sum.requests;
        sum.promptTokens += line.promptTokens;
        sum.completionTokens += line.completionTokens;
        sum.billedUnits += line.billedUnits;
        sum.innerUnits += line.innerUnits;
        sum.attempts += line.attempts;
    }

    // Of two different lines under one identity the same one is kept whatever the order of reading.
    void unite(std::unordered_map<std::string, UsageLine>& lines, const UsageLine& line, UsageTotals& totals)
    {
        const auto [known, isNew] = lines.try_emplace(line.identity, line);
        if (isNew)
            return;
        ++totals.doubles;
        if (known->second == line)
            return;
        totals.conflicting.push_back(line.identity);
        if (toJsonLine(line) < toJsonLine(known->second))
            known->second = line;
    }

    std::optional<std::vector<UsageLine>> parseUsageRecord(const backing::Record& record, Failure& failure)
    {
        auto body = unwrapRecord(usageFormat, record.value, failure);
        if (!body) {
            failure.reason = record.key + ": " + failure.reason;
            return std::nullopt;
        }
        std::vector<UsageLine> lines;
        while (!body->empty()) {
            auto line = parseUsageLine(nextLine(*body));
            if (!line) {
                failure = { .kind = ErrorKind::corruptRecord, .reason = record.key + ": a line can't be read" };
                return std::nullopt;
            }
            lines.push_back(std::move(*line));
        }
        return lines;
    }

    bool isAbsent(const Failure& failure)
    {
        return failure.kind == ErrorKind::notFound;
    }

}

UsageReader::UsageReader(backing::KeyValueStore& store, std::uint32_t partitions)
    : m_store(store)
    , m_partitions(partitions)
{
}

// The partitions are read before the segments of `usage/`: a line that is moved from the one to the
// other meanwhile is then seen at least once.
std::optional<UsageReader::Union> UsageReader::collect(const UsageQuery& query, Failure& failure)
{
    Union all;
    for (std::uint32_t partition = 0; partition < m_partitions; ++partition) {
        if (!collectPartition(partition, query, all, failure))
            return std::nullopt;
    }
    if (!collectUsage(query, all, failure))
        return std::nullopt;
    for (const auto& [identity, line] : all.lines)
        addLine(all.totals.sums[{ line.customer, line.item, line.end }], line);
    return all;
}

bool UsageReader::collectPartition(std::uint32_t partition, const UsageQuery& query, Union& all, Failure& failure)
{
    for (int attempt = 0; attempt < partitionAttempts; ++attempt) {
        const auto record = m_store.read(headKey(partition), failure);
        if (!record)
            return isAbsent(failure);
        const auto head = parseHead(partition, record->value, failure);
        if (!head) {
            all.totals.corrupt.push_back(failure.reason);
            return true;
        }
        bool changed = false;
        if (!collectSegments(partition, head->segments, query, all, changed, failure))
            return false;
        for (const EncodedEntry& entry : head->entries) {
            if (entry.entry.usage && matches(*entry.entry.usage, query))
                unite(all.lines, *entry.entry.usage, all.totals);
        }
        if (!changed)
            return true;
    }
    all.totals.corrupt.push_back(headKey(partition) + ": the head lists segments that are absent");
    return true;
}

bool UsageReader::collectSegments(std::uint32_t partition, const std::vector<SegmentInfo>& segments, const UsageQuery& query, Union& all, bool& changed, Failure& failure)
{
    for (const SegmentInfo& segment : segments) {
        const auto record = m_store.read(recordKeyOf(partition, segment), failure);
        if (!record && !isAbsent(failure))
            return false;
        if (!record) {
            changed = true;
            continue;
        }
        const auto entries = parseWhole(partition, segment, record->value, failure);
        if (!entries) {
            all.totals.corrupt.push_back(failure.reason);
            continue;
        }
        for (const EncodedEntry& entry : *entries) {
            if (entry.entry.usage && matches(*entry.entry.usage, query))
                unite(all.lines, *entry.entry.usage, all.totals);
        }
    }
    return true;
}

bool UsageReader::collectUsage(const UsageQuery& query, Union& all, Failure& failure)
{
    std::string after;
    for (;;) {
        const auto page = m_store.list("usage/", after, pageLimit, failure);
        if (!page)
            return false;
        for (const backing::Record& record : *page) {
            const auto lines = parseUsageRecord(record, failure);
            if (!lines)
                all.totals.corrupt.push_back(failure.reason);
            for (const UsageLine& line : lines.value_or(std::vector<UsageLine>())) {
                if (matches(line, query))
                    unite(all.lines, line, all.totals);
            }
        }
        if (page->size() < pageLimit)
            return true;
        after = page->back().key;
    }
}

std::optional<UsageTotals> UsageReader::totals(const UsageQuery& query, Failure& failure)
{
    auto all = collect(query, failure);
    if (!all)
        return std::nullopt;
    return std::move(all->totals);
}

std::optional<std::vector<UsageLine>> UsageReader::lines(const UsageQuery& query, Failure& failure)
{
    auto all = collect(query, failure);
    if (!all)
        return std::nullopt;
    std::vector<UsageLine> sorted;
    for (auto& [identity, line] : all->lines)
        sorted.push_back(std::move(line));
    std::sort(sorted.begin(), sorted.end(), [](const UsageLine& left, const UsageLine& right) { return std::tie(left.at, left.identity) < std::tie(right.at, right.identity); });
    return sorted;
}

}
