// The records of a partition of the intent ledger and their text form.
//
//   intents/<partition>                     the head: the newest entries and the list of segments
//   intents/<partition>/segment/<number>    a sealed segment: entries that left the head
//   intents/<partition>/bundle/<number>     the sealed segments from that number on, copied into one record
//   intents/<partition>/answer/<writer>/<n> a part of an answer that is too large for an entry
//   usage/sealed/<partition>/<number>       the bill lines of a segment that is about to go
//
// PartitionLog writes and folds them; UsageReader adds up their bill lines.
#pragma once

#include "whinyard/ledger/IntentLedger.h"
#include "whinyard/ledger/LiveWriters.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::ledger {

// The first 128 bits of a SHA-256.
struct ShortDigest {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ShortDigest&) const = default;
};

ShortDigest shortDigest(std::string_view bytes);

// Returns the identity of a call's key: a digest over customer, service and key.
ShortDigest keyDigest(const CallIdentity& call);

// Returns the partition of `partitions` that a key belongs to; the same on every instance.
std::uint32_t partitionOf(const ShortDigest& key, std::uint32_t partitions);

enum class EntryKind : std::uint8_t {
    intent, // The writer may dispatch the call.
    finished, // It ran; the answer stands in the entry or is referred to.
    released, // It has certainly not run.
    unknown, // Nobody knows whether it ran.
};

// Where the body of an answer stands that is too large for an entry.
struct AnswerParts {
    std::uint32_t count = 0; // Zero: the body stands in the entry.
    std::string digest; // SHA-256 of the whole body.

    bool operator==(const AnswerParts&) const = default;
};

// One entry. An outcome repeats what identifies its intent, so that it can be read without it.
struct IntentEntry {
    EntryKind kind = EntryKind::intent;
    ShortDigest key;
    ShortDigest body; // Digest of CallIdentity::bodyDigest.
    RequestId request; // The request that was granted the intent.
    Writer writer;
    std::uint64_t sequence = 0; // Numbers the intents of the writer; an outcome has its intent's.
    std::chrono::microseconds at { 0 }; // The writer's wall clock.
    StoredAnswer answer; // Only for finished.
    AnswerParts parts; // Only for finished.
    std::optional<UsageLine> usage; // Only for finished.

    bool operator==(const IntentEntry&) const = default;
};

// Returns whether `outcome` belongs to `intent`.
bool belongsTo(const IntentEntry& outcome, const IntentEntry& intent);

// An entry and its text form, kept together so that a head is written without encoding it anew.
struct EncodedEntry {
    IntentEntry entry;
    std::string text; // One line, with its end.
};

EncodedEntry encode(IntentEntry entry);

// What the head lists of a record: of one sealed segment, or of a bundle of several.
struct SegmentInfo {
    std::uint64_t number = 0; // Of its first segment.
    std::uint64_t count = 1; // Of segments; a bundle has more than one.
    std::uint64_t entries = 0; // In all of them.
    std::chrono::microseconds newest { 0 }; // The latest time of an entry.
    std::uint64_t bytes = 0; // Of the record.

    bool isBundle() const { return count > 1; }
    bool operator==(const SegmentInfo&) const = default;
};

// What a record is that the head doesn't need any more.
enum class ErasureKind : std::uint8_t {
    droppedSegment, // With the parts of its answers.
    droppedBundle, // With the parts of its answers.
    copiedSegment, // A bundle holds it: only the record itself goes.
};

// A record that is to be erased.
struct Erasure {
    ErasureKind kind = ErasureKind::droppedSegment;
    std::uint64_t number = 0;

    auto operator<=>(const Erasure&) const = default;
};

// The head of a partition.
struct IntentHead {
    std::uint32_t partition = 0;
    Writer writer; // Of the latest swap.
    std::uint64_t swap = 0; // Numbers the swaps of that writer.
    std::uint64_t nextSegment = 0; // The number that the next sealed segment gets.
    std::vector<SegmentInfo> segments; // Oldest first.
    std::vector<Erasure> erasing;
    std::vector<EncodedEntry> entries;
};

std::string headKey(std::uint32_t partition);
std::string segmentKey(std::uint32_t partition, std::uint64_t number);
std::string bundleKey(std::uint32_t partition, std::uint64_t number);

// Returns the key of the record that the head lists.
std::string recordKeyOf(std::uint32_t partition, const SegmentInfo& segment);
std::string erasureKey(std::uint32_t partition, const Erasure& erasure);
std::string answerKey(std::uint32_t partition, const IntentEntry& entry, std::uint32_t part);
std::string sealedUsageKey(std::uint32_t partition, std::uint64_t number);

std::string encodeHead(const IntentHead& head);

// Reads a head; corruptRecord, with the key, for anything that isn't the head of this partition.
std::optional<IntentHead> parseHead(std::uint32_t partition, std::string_view text, Failure& failure);

// Writes the first `count` entries of `entries` as a segment.
std::string encodeSegment(std::uint32_t partition, std::uint64_t number, const std::vector<EncodedEntry>& entries, std::size_t count);

std::optional<std::vector<EncodedEntry>> parseSegment(std::uint32_t partition, std::uint64_t number, std::string_view text, Failure& failure);

// Copies the records of segments that follow each other from `number` on into one.
std::string encodeBundle(std::uint32_t partition, std::uint64_t number, const std::vector<std::string>& segments);

// Reads a bundle: the entries of its segments in order.
std::optional<std::vector<std::vector<EncodedEntry>>> parseBundle(std::uint32_t partition, std::uint64_t number, std::string_view text, Failure& failure);

// Reads all entries of a record that the head lists.
std::optional<std::vector<EncodedEntry>> parseWhole(std::uint32_t partition, const SegmentInfo& segment, std::string_view text, Failure& failure);

// Reads the segment `number` from the record that holds it.
std::optional<std::vector<EncodedEntry>> parseListed(std::uint32_t partition, const SegmentInfo& record, std::uint64_t number, std::string_view text, Failure& failure);

}

template <>
struct std::hash<whinyard::ledger::ShortDigest> {
    std::size_t operator()(const whinyard::ledger::ShortDigest& digest) const noexcept { return digest.low; }
};
