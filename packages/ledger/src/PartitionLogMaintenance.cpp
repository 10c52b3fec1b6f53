// Sealed segments: small ones are copied into bundles; old ones are dropped and erased once their bill
// lines are kept.
#include "whinyard/ledger/PartitionLog.h"

#include "internal/Envelope.h"
#include "internal/PartitionNames.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    std::string encodeUsage(const std::vector<EncodedEntry>& entries)
    {
        std::string body;
        for (const EncodedEntry& entry : entries) {
            if (entry.entry.usage)
                body += toJsonLine(*entry.entry.usage) + '\n';
        }
        return wrapRecord(usageFormat, body);
    }

}

// Every step may be repeated and may be done by anybody; only the process that wrote the head last
// does it, so that two seldom do the same.
std::optional<StoreCall> PartitionLog::chooseMaintenance()
{
    if (!m_ownHead || m_swap || m_foreign)
        return std::nullopt;
    if (auto call = chooseErasure())
        return call;
    if (auto call = choosePruning())
        return call;
    return chooseBundling();
}

// Takes what maintenance has prepared into the next head.
void PartitionLog::takeMaintenance(IntentHead& head) const
{
    std::erase_if(head.erasing, [&](const Erasure& erasure) { return m_erased.contains(erasure); });
    if (m_bundling && m_bundling->ready)
        takeBundle(head);
    if (m_pruning && m_pruning->ready && !head.segments.empty() && head.segments.front() == m_pruning->record) {
        head.segments.erase(head.segments.begin());
        head.erasing.push_back({ m_pruning->record.isBundle() ? ErasureKind::droppedBundle : ErasureKind::droppedSegment, m_pruning->record.number });
    }
}

// Lists the bundle in place of its segments, if all of them still stand there.
void PartitionLog::takeBundle(IntentHead& head) const
{
    const auto first = std::find(head.segments.begin(), head.segments.end(), m_bundling->records.front());
    const auto count = static_cast<std::ptrdiff_t>(m_bundling->records.size());
    if (head.segments.end() - first < count || !std::equal(m_bundling->records.begin(), m_bundling->records.end(), first))
        return;
    SegmentInfo bundle { first->number, m_bundling->records.size(), 0, {}, m_bundling->value.size() };
    for (const SegmentInfo& record : m_bundling->records) {
        bundle.entries += record.entries;
        bundle.newest = std::max(bundle.newest, record.newest);
        head.erasing.push_back({ ErasureKind::copiedSegment, record.number });
    }
    *first = bundle;
    head.segments.erase(first + 1, first + count);
}

std::optional<StoreCall> PartitionLog::chooseErasure()
{
    if (m_erasing) {
        const auto& key = m_erasing->keys.front();
        if (!m_erasing->listed)
            return readCall(Purpose::readDropped, key);
        if (m_erasing->revision == backing::Revision())
            return readCall(Purpose::readForErase, key);
        StoreCall call = createCall(Purpose::erase, key, {});
        call.kind = StoreCallKind::erase;
        call.expected = m_erasing->revision;
        return call;
    }
    for (const Erasure& erasure : m_state.head().erasing) {
        if (m_erased.contains(erasure))
            continue;
        m_erasing = Erasing { erasure, { erasureKey(m_partition, erasure) }, 0, false };
        return chooseErasure();
    }
    return std::nullopt;
}

// The oldest record goes in steps: its bill lines are made durable, the head drops it, it is erased.
std::optional<StoreCall> PartitionLog::choosePruning()
{
    const auto& records = m_state.head().segments;
    if (records.empty() || (m_pruning && m_pruning->ready) || (m_bundling && m_bundling->ready))
        return std::nullopt;
    const SegmentInfo& oldest = records.front();
    if (m_pruning && m_pruning->usage)
        return createCall(Purpose::createOldUsage, sealedUsageKey(m_partition, oldest.number), *m_pruning->usage);
    if (oldest.newest + m_options.retention > m_clock.wallNow().time_since_epoch())
        return std::nullopt;
    for (std::uint64_t segment = oldest.number; segment < oldest.number + oldest.count; ++segment) {
        const auto open = m_state.openIn(segment);
        if (std::any_of(open.begin(), open.end(), [&](const IntentEntry* entry) { return entry->kind == EntryKind::intent && (entry->writer == m_self || m_live.isAlive(entry->writer)); }))
            return std::nullopt;
    }
    m_bundling.reset();
    m_pruning = Pruning { oldest, std::nullopt, false };
    return readCall(Purpose::readOldSegment, recordKeyOf(m_partition, oldest));
}

// Segments go into bundles in the order of their numbers, as many as there is room for, once the
// next one wouldn't fit: so everybody makes the same bundles.
std::optional<StoreCall> PartitionLog::chooseBundling()
{
    if (m_pruning || (m_bundling && m_bundling->ready))
        return std::nullopt;
    if (!m_bundling && !findBundle())
        return std::nullopt;
    if (m_bundling->segments.size() < m_bundling->records.size())
        return readCall(Purpose::copySegment, recordKeyOf(m_partition, m_bundling->records[m_bundling->segments.size()]));
    return createCall(Purpose::createBundle, bundleKey(m_partition, m_bundling->records.front().number), m_bundling->value);
}

bool PartitionLog::findBundle()
{
    std::vector<SegmentInfo> run;
    std::uint64_t bytes = 0;
    for (const SegmentInfo& record : m_state.head().segments) {
        const bool fits = !record.isBundle() && bytes + record.bytes <= m_options.bundleBytes;
        if (!fits && run.size() > 1) {
            m_bundling = Bundling { std::move(run), {}, {}, false };
            return true;
        }
        if (!fits) {
            run.clear();
            bytes = 0;
        }
        if (record.isBundle())
            continue;
        run.push_back(record);
        bytes += record.bytes;
    }
    return false;
}

void PartitionLog::onCopiedSegment(const StoreReply& reply)
{
    const SegmentInfo record = m_bundling->records[m_bundling->segments.size()];
    if (!reply.record) {
        m_bundling.reset();
        return lostRecord(recordKeyOf(m_partition, record));
    }
    Failure failure;
    if (!parseSegment(m_partition, record.number, reply.record->value, failure))
        return becomeCorrupt(failure.reason);
    m_bundling->segments.push_back(reply.record->value);
    if (m_bundling->segments.size() == m_bundling->records.size())
        m_bundling->value = encodeBundle(m_partition, m_bundling->records.front().number, m_bundling->segments);
}

void PartitionLog::onBundle(Purpose purpose, const StoreCall& call, const StoreReply& reply)
{
    if (purpose == Purpose::createBundle && reply.failure) {
        m_comparison = Comparison { Purpose::compareBundle, call.key };
        return;
    }
    if (purpose == Purpose::compareBundle) {
        if (!reply.record)
            return;
        if (reply.record->value != m_bundling->value)
            return stopMaintenance(call.key + ": the record isn't the bundle of the segments that the head lists");
    }
    m_bundling->ready = true;
}

void PartitionLog::onOldSegment(const StoreReply& reply)
{
    const SegmentInfo record = m_pruning->record;
    if (!reply.record) {
        m_pruning.reset();
        return lostRecord(recordKeyOf(m_partition, record));
    }
    Failure failure;
    const auto entries = parseWhole(m_partition, record, reply.record->value, failure);
    if (!entries)
        return becomeCorrupt(failure.reason);
    const bool bills = std::any_of(entries->begin(), entries->end(), [](const EncodedEntry& entry) { return entry.entry.usage.has_value(); });
    m_pruning->usage = encodeUsage(*entries);
    m_pruning->ready = !bills;
}

void PartitionLog::onOldUsage(Purpose purpose, const StoreCall& call, const StoreReply& reply)
{
    if (purpose == Purpose::createOldUsage && reply.failure) {
        m_comparison = Comparison { Purpose::compareOldUsage, call.key };
        return;
    }
    if (purpose == Purpose::compareOldUsage) {
        if (!reply.record)
            return;
        if (reply.record->value != m_pruning->usage)
            return stopMaintenance(call.key + ": the record doesn't hold the bill lines of its segment");
    }
    m_pruning->ready = true;
}

// No call depends on what maintenance writes, so calls go on; the record stays as it is.
void PartitionLog::stopMaintenance(const std::string& reason)
{
    m_foreign = reason;
    m_bundling.reset();
    m_pruning.reset();
    m_erasing.reset();
}

void PartitionLog::onDropped(Purpose purpose, const StoreReply& reply)
{
    if (purpose == Purpose::readDropped && reply.record)
        listDropped(reply);
    else if (purpose == Purpose::readForErase && reply.record)
        m_erasing->revision = reply.record->revision;
    else {
        m_erasing->keys.pop_front();
        m_erasing->revision = 0;
    }
    if (!m_erasing || !m_erasing->keys.empty())
        return;
    m_erased.insert(m_erasing->erasure);
    m_erasing.reset();
}

// Lists what goes: the parts of the answers in a dropped record, then itself. A record that can't be
// read isn't ours to erase: it stays, and is reported.
void PartitionLog::listDropped(const StoreReply& reply)
{
    Failure failure;
    const Erasure& erasure = m_erasing->erasure;
    SegmentInfo record;
    record.number = erasure.number;
    record.count = erasure.kind == ErasureKind::droppedBundle ? 2 : 1;
    const auto entries = parseWhole(m_partition, record, reply.record->value, failure);
    m_erasing->listed = true;
    if (!entries) {
        return stopMaintenance(failure.reason);
    }
    if (erasure.kind == ErasureKind::copiedSegment)
        return;
    for (const EncodedEntry& entry : *entries) {
        for (std::uint32_t part = 0; part < entry.entry.parts.count; ++part)
            m_erasing->keys.push_front(answerKey(m_partition, entry.entry, part));
    }
}

}
