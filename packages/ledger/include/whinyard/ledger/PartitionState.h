// What one instance knows of a partition: its head as of a revision, and an index of every key in
// the head and the sealed segments.
//
// PartitionLog keeps it up to date and decides from it. It does no input or output.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/ledger/IntentRecord.h"

#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace whinyard::ledger {

// What the record says of a key.
enum class KeyStatus : std::uint8_t {
    open, // An intent without outcome.
    finished,
    unknown, // Its writer recorded that nobody knows the outcome.
};

// Where the latest entry of a key stands. The segment that the head will seal next has the number
// IntentHead::nextSegment.
struct KeySlot {
    KeyStatus status = KeyStatus::open;
    std::uint32_t segment = 0;
    std::uint32_t position = 0;
};

class PartitionState {
public:
    // `own` is the writer whose outcomes hasOutcome() tells.
    PartitionState(std::uint32_t partition, Writer own);

    const IntentHead& head() const { return m_head; }
    backing::Revision revision() const { return m_revision; }

    // Takes a head that was read. Returns false with corruptRecord when it contradicts what is known;
    // the state is unchanged then. Afterwards missingSegment() tells what to load.
    bool adopt(IntentHead head, backing::Revision revision, Failure& failure);

    // Takes the head that this instance has just written over the one that it knew.
    void advance(IntentHead head, backing::Revision revision);

    // Returns the first segment of the head that isn't indexed yet.
    std::optional<std::uint64_t> missingSegment() const;

    // Indexes the segment that missingSegment() names.
    void load(const std::vector<EncodedEntry>& entries);

    // Returns the listed record that holds a segment, or null.
    const SegmentInfo* recordOf(std::uint64_t segment) const;

    // Forgets the index, so that every segment is loaded anew; the head is kept to be compared with.
    void reindex();

    // Returns whether all segments are indexed, so that an absent key is a new one.
    bool complete() const { return !missingSegment(); }

    // Returns where the latest entry of `key` stands, or null for a key that is free.
    const KeySlot* find(const ShortDigest& key) const;

    // Returns the intent of a key that is open or unknown, or null.
    const IntentEntry* openIntent(const ShortDigest& key) const;

    // Returns the entry in a slot of the head; null when a sealed segment holds it.
    const IntentEntry* inHead(const KeySlot& slot) const;

    // Returns whether `writer`'s intent stands in the record without an outcome.
    bool isOpen(const IntentEntry& intent) const;

    // Returns whether an outcome that the own writer wrote for this intent was seen in the record.
    bool hasOutcome(std::uint64_t sequence) const { return m_ownOutcomes.contains(sequence); }

    // Forgets such an outcome, which nobody asks for any more.
    void forgetOutcome(std::uint64_t sequence) { m_ownOutcomes.erase(sequence); }

    // Returns the open intents, and those left unknown, whose latest entry stands in a segment.
    std::vector<const IntentEntry*> openIn(std::uint64_t segment) const;

    std::size_t keys() const { return m_index.size(); }

private:
    // The place of an entry in the sequence of all entries: segments in order, then the head.
    struct Cursor {
        std::uint64_t segment = 0;
        std::uint64_t position = 0;
    };

    bool contradicts(const IntentHead& head, backing::Revision revision) const;
    void apply(const IntentEntry& entry);
    void applyOutcome(const IntentEntry& entry, const KeySlot& slot);
    void applyHead();
    void closeSegment(std::uint64_t entries);
    void dropOldSegments();

    std::uint32_t m_partition = 0;
    Writer m_own;
    std::set<std::uint64_t> m_ownOutcomes;
    std::uint64_t m_oldest = 0; // Slots of segments below it are dropped.
    IntentHead m_head;
    backing::Revision m_revision = 0;
    Cursor m_next; // The next entry to apply.
    std::unordered_map<ShortDigest, KeySlot> m_index;
    std::unordered_map<ShortDigest, IntentEntry> m_open;
};

}
