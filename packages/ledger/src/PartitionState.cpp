#include "whinyard/ledger/PartitionState.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    std::uint64_t oldestSegment(const IntentHead& head)
    {
        return head.segments.empty() ? head.nextSegment : head.segments.front().number;
    }

    bool segmentsFollowEachOther(const IntentHead& head)
    {
        std::uint64_t expected = oldestSegment(head);
        for (const SegmentInfo& segment : head.segments) {
            if (segment.number != expected || segment.count == 0)
                return false;
            expected += segment.count;
        }
        return expected == head.nextSegment;
    }

}

PartitionState::PartitionState(std::uint32_t partition, Writer own)
    : m_partition(partition)
    , m_own(std::move(own))
{
    m_head.partition = partition;
}

bool PartitionState::contradicts(const IntentHead& head, backing::Revision revision) const
{
    if (revision < m_revision || head.nextSegment < m_head.nextSegment || !segmentsFollowEachOther(head))
        return true;
    if (head.nextSegment > m_head.nextSegment)
        return false;
    if (head.entries.size() < m_head.entries.size())
        return true;
    return !std::equal(m_head.entries.begin(), m_head.entries.end(), head.entries.begin(), [](const EncodedEntry& known, const EncodedEntry& read) { return known.text == read.text; });
}

bool PartitionState::adopt(IntentHead head, backing::Revision revision, Failure& failure)
{
    if (contradicts(head, revision)) {
        failure = { .kind = ErrorKind::corruptRecord, .reason = headKey(m_partition) + ": the head contradicts revision " + toText(m_revision) + " that was read before" };
        return false;
    }
    m_head = std::move(head);
    m_revision = revision;
    dropOldSegments();
    if (complete())
        applyHead();
    return true;
}

void PartitionState::advance(IntentHead head, backing::Revision revision)
{
    const std::uint64_t sealedBefore = m_head.nextSegment;
    m_head = std::move(head);
    m_revision = revision;
    if (m_head.nextSegment > sealedBefore)
        closeSegment(m_head.segments.back().entries);
    dropOldSegments();
    applyHead();
}

std::optional<std::uint64_t> PartitionState::missingSegment() const
{
    if (m_next.segment >= m_head.nextSegment)
        return std::nullopt;
    return m_next.segment;
}

const SegmentInfo* PartitionState::recordOf(std::uint64_t segment) const
{
    const auto& records = m_head.segments;
    const auto next = std::upper_bound(records.begin(), records.end(), segment, [](std::uint64_t number, const SegmentInfo& record) { return number < record.number; });
    if (next == records.begin() || segment >= std::prev(next)->number + std::prev(next)->count)
        return nullptr;
    return &*std::prev(next);
}

void PartitionState::load(const std::vector<EncodedEntry>& entries)
{
    while (m_next.position < entries.size()) {
        apply(entries[m_next.position].entry);
        ++m_next.position;
    }
    closeSegment(entries.size());
    if (complete())
        applyHead();
}

// A segment may hold fewer entries than the head had when it was sealed: then the rest of them,
// already applied, belongs to the next segment.
void PartitionState::closeSegment(std::uint64_t entries)
{
    const std::uint64_t rest = m_next.position - entries;
    if (rest) {
        for (auto& [key, slot] : m_index) {
            if (slot.segment != m_next.segment || slot.position < entries)
                continue;
            ++slot.segment;
            slot.position -= static_cast<std::uint32_t>(entries);
        }
    }
    m_next = { m_next.segment + 1, rest };
}

void PartitionState::dropOldSegments()
{
    const std::uint64_t oldest = oldestSegment(m_head);
    if (m_next.segment < oldest)
        m_next = { oldest, 0 };
    if (oldest == m_oldest)
        return;
    m_oldest = oldest;
    std::erase_if(m_index, [&](const auto& item) {
        if (item.second.segment >= oldest)
            return false;
        m_open.erase(item.first);
        return true;
    });
}

void PartitionState::reindex()
{
    m_index.clear();
    m_open.clear();
    m_next = { oldestSegment(m_head), 0 };
    if (complete())
        applyHead();
}

void PartitionState::applyHead()
{
    while (m_next.position < m_head.entries.size()) {
        apply(m_head.entries[m_next.position].entry);
        ++m_next.position;
    }
}

void PartitionState::apply(const IntentEntry& entry)
{
    const KeySlot slot { KeyStatus::open, static_cast<std::uint32_t>(m_next.segment), static_cast<std::uint32_t>(m_next.position) };
    if (entry.kind != EntryKind::intent) {
        applyOutcome(entry, slot);
        return;
    }
    if (m_index.try_emplace(entry.key, slot).second)
        m_open.emplace(entry.key, entry);
}

void PartitionState::applyOutcome(const IntentEntry& entry, const KeySlot& slot)
{
    if (entry.writer == m_own)
        m_ownOutcomes.insert(entry.sequence);
    const auto intent = m_open.find(entry.key);
    const bool known = intent != m_open.end() && belongsTo(entry, intent->second);
    const bool free = !m_index.contains(entry.key); // The segment with its intent was dropped.
    if (!known && !free)
        return;
    switch (entry.kind) {
    case EntryKind::finished:
        m_index[entry.key] = { KeyStatus::finished, slot.segment, slot.position };
        m_open.erase(entry.key);
        break;
    case EntryKind::released:
        m_index.erase(entry.key);
        m_open.erase(entry.key);
        break;
    case EntryKind::unknown:
        m_index[entry.key] = { KeyStatus::unknown, slot.segment, slot.position };
        m_open.insert_or_assign(entry.key, entry);
        break;
    case EntryKind::intent:
        break;
    }
}

const KeySlot* PartitionState::find(const ShortDigest& key) const
{
    const auto found = m_index.find(key);
    return found == m_index.end() ? nullptr : &found->second;
}

const IntentEntry* PartitionState::openIntent(const ShortDigest& key) const
{
    const auto found = m_open.find(key);
    return found == m_open.end() ? nullptr : &found->second;
}

const IntentEntry* PartitionState::inHead(const KeySlot& slot) const
{
    if (slot.segment != m_head.nextSegment || slot.position >= m_head.entries.size())
        return nullptr;
    return &m_head.entries[slot.position].entry;
}

bool PartitionState::isOpen(const IntentEntry& intent) const
{
    const KeySlot* slot = find(intent.key);
    const IntentEntry* open = openIntent(intent.key);
    return slot && open && slot->status == KeyStatus::open && belongsTo(intent, *open);
}

std::vector<const IntentEntry*> PartitionState::openIn(std::uint64_t segment) const
{
    std::vector<const IntentEntry*> entries;
    for (const auto& [key, entry] : m_open) {
        const KeySlot* slot = find(key);
        if (slot && slot->segment == segment)
            entries.push_back(&entry);
    }
    return entries;
}

}
