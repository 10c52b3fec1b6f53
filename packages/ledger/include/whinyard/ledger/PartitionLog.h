// The protocol of one partition of the intent ledger as a state machine without input or output.
//
// A driver asks nextStoreCall() what to call, carries it out and hands the reply to onReply();
// admissions and outcomes are enqueued and their results taken by ticket. StoredIntentLedger drives
// it on the store duty, the tests drive it with faults.
//
// Why a granted intent is the only one: it was absent from every entry up to the revision that the
// swap expected, and the swap succeeded, so nothing came between. A swap without reply is tried
// again with the same content and the same expected revision until it succeeds or conflicts; after
// either, no earlier attempt can take effect any more, and the record itself says what did.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/ledger/LiveWriters.h"
#include "whinyard/ledger/PartitionState.h"
#include "whinyard/ledger/StoreCall.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace whinyard::ledger {

struct PartitionLogOptions {
    std::chrono::milliseconds interval { 200 }; // Mean least time between two swaps of the head.
    std::uint32_t burst = 2; // How many swaps an idle partition may do at once.
    std::chrono::milliseconds admissionBound { 2'000 }; // An admission is decided or refused by then.
    std::chrono::milliseconds outcomeBound { 5'000 }; // An outcome is durable or reported as late by then.
    std::chrono::milliseconds retryAfter { 1'000 }; // Told to callers who are refused.
    std::chrono::milliseconds backoff { 50 }; // After a call that the store didn't answer well.
    std::chrono::milliseconds probeInterval { 2'000 }; // Between looks at a corrupt record.
    std::chrono::hours retention { 24 }; // Keys are known at least so long.
    std::size_t sealBytes = 64 * 1024; // Entries of the head that are sealed into a segment.
    std::size_t bundleBytes = 800 * 1024; // Segments that are copied into one record.
    std::size_t batchBytes = 384 * 1024; // Entries added by one swap.
    std::size_t inlineAnswerBytes = 64 * 1024; // Larger entries have their answer in records of its own.
    std::size_t answerPartBytes = 700'000; // Of the body, before base64.
    std::size_t largestAnswer = 16 * 1024 * 1024;
    std::size_t largestQueue = 10'000; // Admissions waiting at once.
};

// Names an admission or outcome that was enqueued.
using LogTicket = std::uint64_t;

struct AdmissionResult {
    std::optional<AdmissionAnswer> answer;
    Failure failure; // Only without an answer.
};

struct OutcomeResult {
    std::optional<Failure> failure; // Nothing: the outcome is durable.
    backing::Revision revision = 0;
};

// What the log has done so far, for metrics and figures.
struct PartitionLogStats {
    std::uint64_t swaps = 0; // Calls that write, of every kind.
    std::uint64_t reads = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t uncertain = 0;
    std::uint64_t bytesWritten = 0;
    std::uint64_t granted = 0;
    std::uint64_t abandoned = 0; // Intents that became durable after their caller was refused.
};

class PartitionLog {
public:
    // `clock` and `live` must outlive the log.
    PartitionLog(std::uint32_t partition, Writer self, const PartitionLogOptions& options, const Clock& clock, const LiveWriters& live);

    // Asks whether a call may run; takeAdmission() gives the result within admissionBound.
    LogTicket admit(const CallIdentity& call, const RequestId& request);

    // Returns and forgets the result of an admission once there is one.
    std::optional<AdmissionResult> takeAdmission(LogTicket ticket);

    // Enqueue the outcome of a granted intent. A result with a failure says only that the outcome
    // isn't durable yet: the log goes on trying.
    LogTicket finish(const IntentTicket& intent, const StoredAnswer& answer, const UsageLine& usage);
    LogTicket release(const IntentTicket& intent);
    LogTicket leaveUnknown(const IntentTicket& intent);

    // Returns and forgets the result of an outcome once there is one.
    std::optional<OutcomeResult> takeOutcome(LogTicket ticket);

    // Returns the call to carry out now, if any. At most one call is in flight.
    std::optional<StoreCall> nextStoreCall();

    // Takes the reply to the call in flight; a reply to any other call is ignored.
    void onReply(const StoreCall& call, const StoreReply& reply);

    // Refuses what has waited too long. Also done by the two functions above.
    void expire();

    // Returns when nextStoreCall() or expire() may have something to do although nothing else happens.
    std::optional<SteadyTime> nextDue() const;

    // Returns whether an intent of this process for the same key has no outcome yet.
    bool runsHere(const CallIdentity& call) const;

    // Returns whether no work waits for the store.
    bool idle() const;

    // Returns the reason, beginning with the key, for which the partition is refused now.
    const std::optional<std::string>& corruptRecord() const { return m_corrupt; }

    // Returns the reason, beginning with the key, why segments are neither bundled nor pruned any more: a
    // record that somebody else wrote stands where maintenance would write or erase, and was left alone.
    const std::optional<std::string>& foreignRecord() const { return m_foreign; }

    const PartitionState& state() const { return m_state; }
    const PartitionLogStats& stats() const { return m_stats; }

private:
    enum class Purpose : std::uint8_t {
        readHead,
        loadSegment,
        fetchSegment,
        fetchAnswer,
        createAnswer,
        createSegment,
        compareSegment,
        swapHead,
        copySegment,
        createBundle,
        compareBundle,
        readOldSegment,
        createOldUsage,
        compareOldUsage,
        readDropped,
        readForErase,
        erase,
    };

    struct CallInFlight {
        std::uint64_t number = 0;
        Purpose purpose = Purpose::readHead;
    };

    struct Waiting {
        ShortDigest key;
        ShortDigest body;
        RequestId request;
        SteadyTime deadline;
        std::uint64_t readsBefore = 0; // Reads of the head that had begun when it came.
        bool inSwap = false;
    };

    struct Outcome {
        EncodedEntry encoded;
        std::vector<std::string> parts; // Records of a large answer, in order.
        std::size_t partsDurable = 0;
        SteadyTime deadline;
        bool reported = false; // Its ticket has a result already.
    };

    struct PendingIntent {
        LogTicket ticket = 0;
        IntentEntry entry;
    };

    // A swap of the head whose effect isn't known yet.
    struct PendingSwap {
        std::string value;
        backing::Revision expected = 0;
        IntentHead head;
        std::vector<PendingIntent> intents;
        std::vector<LogTicket> outcomes;
        bool uncertain = false; // An attempt without reply may still take effect.
        bool conflicted = false; // No attempt can take effect any more; the record says what did.
    };

    struct Sealed {
        std::uint64_t number = 0;
        std::size_t entries = 0;
        std::size_t bytes = 0;
    };

    // A segment fetched for the answers in it.
    struct Fetched {
        std::uint64_t number = 0;
        std::vector<EncodedEntry> entries;
    };

    // A record to read because one of its name stood there already.
    struct Comparison {
        Purpose purpose = Purpose::compareSegment;
        std::string key;
    };

    // A large answer that is being read.
    struct AnswerFetch {
        IntentEntry entry;
        std::string body;
        std::uint32_t next = 0;
    };

    // Segments that are being copied into a bundle.
    struct Bundling {
        std::vector<SegmentInfo> records;
        std::vector<std::string> segments; // Those that are read.
        std::string value; // The bundle, once all are read.
        bool ready = false; // The bundle is durable.
    };

    // The oldest listed record, older than the retention, on its way out.
    struct Pruning {
        SegmentInfo record;
        std::optional<std::string> usage; // Record of its bill lines, once known.
        bool ready = false; // The bill lines are durable.
    };

    // Records that are being erased.
    struct Erasing {
        Erasure erasure;
        std::deque<std::string> keys;
        backing::Revision revision = 0; // Of the first key, once read.
        bool listed = false;
    };

    // Decisions on admissions.
    void settle();
    bool decide(LogTicket ticket, const Waiting& waiting);
    bool answerFinished(LogTicket ticket, const Waiting& waiting, const KeySlot& slot);
    bool answerOpen(LogTicket ticket, const Waiting& waiting, const IntentEntry& intent, KeyStatus status);
    void answer(LogTicket ticket, AdmissionAnswer answer);
    void refuse(LogTicket ticket, ErrorKind kind, const std::string& reason);
    const IntentEntry* finishedEntry(const KeySlot& slot) const;
    bool needsFreshRead() const;
    bool inOutage() const;

    // Outcomes.
    LogTicket enqueueOutcome(IntentEntry entry, bool tell);
    LogTicket enqueueOutcomeOf(const IntentTicket& intent, EntryKind kind);
    std::optional<IntentEntry> outcomeOf(const IntentTicket& intent, EntryKind kind) const;
    LogTicket failOutcome(ErrorKind kind, const std::string& reason);
    void outcomeDurable(LogTicket ticket);
    void splitAnswer(Outcome& outcome);

    // Choice of the next call.
    std::optional<StoreCall> chooseCall();
    std::optional<StoreCall> chooseRead();
    std::optional<StoreCall> chooseFetch();
    std::optional<StoreCall> chooseWrite();
    std::optional<StoreCall> chooseMaintenance();
    std::optional<StoreCall> chooseErasure();
    std::optional<StoreCall> choosePruning();
    std::optional<StoreCall> chooseBundling();
    bool findBundle();
    StoreCall readCall(Purpose purpose, std::string key);
    StoreCall createCall(Purpose purpose, std::string key, std::string value);
    StoreCall swapCall();
    bool hasDemand() const;
    bool buildSwap();
    void takeSealed(IntentHead& head) const;
    void takeMaintenance(IntentHead& head) const;
    void takeBundle(IntentHead& head) const;
    void addOutcomes(PendingSwap& swap, std::size_t& budget);
    void addIntents(PendingSwap& swap, std::size_t& budget);
    bool wantsSwap() const;
    void refillTokens();

    // Replies.
    void handle(Purpose purpose, const StoreCall& call, const StoreReply& reply);
    void onHead(const StoreReply& reply);
    void onLoadedSegment(const StoreReply& reply);
    void onFetchedSegment(const StoreReply& reply);
    void onFetchedAnswer(const StoreCall& call, const StoreReply& reply);
    void onCreatedAnswer(const StoreReply& reply);
    void onCreatedSegment(const StoreCall& call, const StoreReply& reply);
    void onComparedSegment(const StoreReply& reply);
    void onSwap(const StoreReply& reply);
    void onCopiedSegment(const StoreReply& reply);
    void onBundle(Purpose purpose, const StoreCall& call, const StoreReply& reply);
    void onOldSegment(const StoreReply& reply);
    void onOldUsage(Purpose purpose, const StoreCall& call, const StoreReply& reply);
    void onDropped(Purpose purpose, const StoreReply& reply);
    void listDropped(const StoreReply& reply);
    void stopMaintenance(const std::string& reason);
    void known();
    void swapLanded(backing::Revision revision);
    void resolveSwap();
    void intentDurable(const PendingIntent& intent, backing::Revision revision);
    void dissolveSwap();
    void becomeCorrupt(const std::string& reason);
    void lostRecord(const std::string& key);
    void noteStoreFailure(const Failure& failure);

    const std::uint32_t m_partition;
    const Writer m_self;
    const PartitionLogOptions m_options;
    const Clock& m_clock;
    const LiveWriters& m_live;

    PartitionState m_state;
    bool m_known = false; // The state is complete as of its revision.
    bool m_ownHead = false; // The head that is known was written by this process.
    std::uint64_t m_readsBegun = 0;
    std::uint64_t m_readsKnown = 0; // The number of the latest read that the state holds.
    std::optional<std::string> m_corrupt;
    SteadyTime m_probeAt {};

    LogTicket m_lastTicket = 0;
    std::map<LogTicket, Waiting> m_waiting;
    std::unordered_map<LogTicket, AdmissionResult> m_admissionResults;
    std::map<LogTicket, Outcome> m_outcomes;
    std::unordered_map<LogTicket, OutcomeResult> m_outcomeResults;
    std::map<std::uint64_t, IntentEntry> m_granted; // By sequence: intents of this process without outcome.
    std::uint64_t m_lastSequence = 0;

    std::uint64_t m_lastCall = 0;
    std::optional<CallInFlight> m_inFlight;
    std::optional<PendingSwap> m_swap;
    std::uint64_t m_lastSwap = 0;
    std::optional<Sealed> m_sealed;
    std::optional<std::uint64_t> m_mismatched; // A segment that differs from what the head says.
    std::optional<std::string> m_missing; // The key of a listed record that wasn't there.
    std::optional<Comparison> m_comparison;
    std::optional<Fetched> m_fetched;
    std::uint64_t m_fetching = 0; // The segment that is being fetched.
    std::optional<AnswerFetch> m_answerFetch;
    std::optional<Bundling> m_bundling;
    std::optional<Pruning> m_pruning;
    std::optional<Erasing> m_erasing;
    std::set<Erasure> m_erased; // What the head may forget.
    std::optional<std::string> m_foreign;

    double m_tokens = 0;
    double m_readTokens = 0;
    SteadyTime m_tokensAt {};
    SteadyTime m_backoffUntil {};
    std::optional<SteadyTime> m_outageSince; // The first of the failures that nothing interrupted.
    SteadyTime m_lastFailure {};
    bool m_probe = false; // A refused admission asks whether the store is back.
    PartitionLogStats m_stats;
};

}
