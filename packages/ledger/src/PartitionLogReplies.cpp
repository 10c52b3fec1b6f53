// What the replies of the store change.
#include "whinyard/ledger/PartitionLog.h"

#include "internal/Envelope.h"
#include "internal/PartitionNames.h"
#include "whinyard/base/Encoding.h"

#include <algorithm>
#include <numeric>

namespace whinyard::ledger {

namespace {

    // Returns whether `prefix` begins `whole`.
    bool isPrefix(const std::vector<EncodedEntry>& prefix, const std::vector<EncodedEntry>& whole)
    {
        return prefix.size() <= whole.size() && std::equal(prefix.begin(), prefix.end(), whole.begin(), [](const EncodedEntry& left, const EncodedEntry& right) { return left.text == right.text; });
    }

    bool holdsNoEffect(const Failure& failure)
    {
        return failure.kind == ErrorKind::storeUnavailable || failure.kind == ErrorKind::swapConflict;
    }

}

void PartitionLog::onReply(const StoreCall& call, const StoreReply& reply)
{
    if (!m_inFlight || m_inFlight->number != call.number)
        return;
    const Purpose purpose = m_inFlight->purpose;
    m_inFlight.reset();
    expire();
    const bool answered = !reply.failure || reply.failedWith(ErrorKind::notFound) || reply.failedWith(ErrorKind::swapConflict);
    if (!answered) {
        noteStoreFailure(*reply.failure);
        if (purpose == Purpose::swapHead)
            onSwap(reply);
        return;
    }
    m_outageSince.reset();
    handle(purpose, call, reply);
}

void PartitionLog::noteStoreFailure(const Failure& failure)
{
    const SteadyTime now = m_clock.now();
    if (!m_outageSince)
        m_outageSince = now;
    m_lastFailure = now;
    if (!holdsNoEffect(failure))
        ++m_stats.uncertain;
    m_backoffUntil = now + m_options.backoff;
    m_probe = false;
}

void PartitionLog::handle(Purpose purpose, const StoreCall& call, const StoreReply& reply)
{
    switch (purpose) {
    case Purpose::readHead:
        return onHead(reply);
    case Purpose::loadSegment:
        return onLoadedSegment(reply);
    case Purpose::fetchSegment:
        return onFetchedSegment(reply);
    case Purpose::fetchAnswer:
        return onFetchedAnswer(call, reply);
    case Purpose::createAnswer:
        return onCreatedAnswer(reply);
    case Purpose::createSegment:
        return onCreatedSegment(call, reply);
    case Purpose::compareSegment:
        return onComparedSegment(reply);
    case Purpose::swapHead:
        return onSwap(reply);
    case Purpose::copySegment:
        return onCopiedSegment(reply);
    case Purpose::createBundle:
    case Purpose::compareBundle:
        return onBundle(purpose, call, reply);
    case Purpose::readOldSegment:
        return onOldSegment(reply);
    case Purpose::createOldUsage:
    case Purpose::compareOldUsage:
        return onOldUsage(purpose, call, reply);
    case Purpose::readDropped:
    case Purpose::readForErase:
    case Purpose::erase:
        return onDropped(purpose, reply);
    }
}

void PartitionLog::onHead(const StoreReply& reply)
{
    m_probe = false;
    Failure failure;
    IntentHead head;
    head.partition = m_partition;
    if (reply.record) {
        auto parsed = parseHead(m_partition, reply.record->value, failure);
        if (!parsed)
            return becomeCorrupt(failure.reason);
        head = std::move(*parsed);
    }
    const backing::Revision revision = reply.record ? reply.record->revision : 0;
    const bool listsMissing = m_missing && std::any_of(head.segments.begin(), head.segments.end(), [&](const SegmentInfo& segment) { return recordKeyOf(m_partition, segment) == *m_missing; });
    if (listsMissing) {
        const std::string key = *m_missing;
        m_missing.reset();
        return becomeCorrupt(key + ": the head lists this record, but it is absent");
    }
    m_missing.reset();
    m_ownHead = m_ownHead && revision == m_state.revision();
    if (!m_state.adopt(std::move(head), revision, failure))
        return becomeCorrupt(failure.reason);
    m_corrupt.reset();
    m_readsKnown = m_readsBegun;
    m_known = false;
    known();
}

// Goes on once the state is complete.
void PartitionLog::known()
{
    if (!m_state.complete())
        return;
    m_known = true;
    if (m_swap && m_swap->conflicted)
        resolveSwap();
    settle();
}

void PartitionLog::onLoadedSegment(const StoreReply& reply)
{
    const std::uint64_t wanted = *m_state.missingSegment();
    const SegmentInfo record = *m_state.recordOf(wanted);
    const std::string key = recordKeyOf(m_partition, record);
    if (!reply.record)
        return lostRecord(key);
    Failure failure;
    std::optional<std::vector<std::vector<EncodedEntry>>> segments;
    if (record.isBundle())
        segments = parseBundle(m_partition, record.number, reply.record->value, failure);
    else if (auto entries = parseSegment(m_partition, record.number, reply.record->value, failure))
        segments.emplace().push_back(std::move(*entries));
    if (!segments)
        return becomeCorrupt(failure.reason);
    const auto count = std::accumulate(segments->begin(), segments->end(), std::size_t { 0 }, [](std::size_t sum, const auto& entries) { return sum + entries.size(); });
    if (segments->size() != record.count || count != record.entries)
        return becomeCorrupt(key + ": the record isn't the one that the head lists");
    for (std::size_t place = wanted - record.number; place < segments->size(); ++place)
        m_state.load((*segments)[place]);
    known();
}

// A record that isn't there was dropped from a newer head, or is lost: the head tells.
void PartitionLog::lostRecord(const std::string& key)
{
    m_missing = key;
    m_known = false;
    m_readsKnown = 0;
}

void PartitionLog::onFetchedSegment(const StoreReply& reply)
{
    const SegmentInfo record = *m_state.recordOf(m_fetching);
    if (!reply.record)
        return lostRecord(recordKeyOf(m_partition, record));
    Failure failure;
    auto entries = parseListed(m_partition, record, m_fetching, reply.record->value, failure);
    if (!entries)
        return becomeCorrupt(failure.reason);
    m_fetched = Fetched { m_fetching, std::move(*entries) };
    settle();
}

void PartitionLog::onFetchedAnswer(const StoreCall& call, const StoreReply& reply)
{
    Failure failure;
    if (!reply.record)
        return becomeCorrupt(call.key + ": the answer of a finished call is absent");
    const auto text = unwrapRecord(answerFormat, reply.record->value, failure);
    const auto body = text ? decodeBase64(*text) : std::nullopt;
    if (!body)
        return becomeCorrupt(call.key + ": the answer of a finished call can't be read");
    m_answerFetch->body += *body;
    ++m_answerFetch->next;
    if (m_answerFetch->next == m_answerFetch->entry.parts.count && sha256Hex(m_answerFetch->body) != m_answerFetch->entry.parts.digest)
        return becomeCorrupt(call.key + ": the answer's parts don't match the digest in its entry");
    settle();
}

// The name holds writer and sequence, so a record that is there already is an earlier attempt of
// ours; whoever reads the answer compares its digest.
void PartitionLog::onCreatedAnswer(const StoreReply&)
{
    for (auto& [ticket, outcome] : m_outcomes) {
        if (outcome.partsDurable == outcome.parts.size())
            continue;
        ++outcome.partsDurable;
        return;
    }
}

void PartitionLog::onCreatedSegment(const StoreCall& call, const StoreReply& reply)
{
    const IntentHead& head = m_state.head();
    if (!reply.failure) {
        m_sealed = Sealed { head.nextSegment, head.entries.size(), call.value.size() };
        return;
    }
    m_comparison = Comparison { Purpose::compareSegment, segmentKey(m_partition, head.nextSegment) };
}

// Somebody sealed this number before and then lost the swap of the head: what stands there has to
// begin the head, which only grows until the segment is listed.
void PartitionLog::onComparedSegment(const StoreReply& reply)
{
    const IntentHead& head = m_state.head();
    if (!reply.record)
        return;
    Failure failure;
    const auto entries = parseSegment(m_partition, head.nextSegment, reply.record->value, failure);
    if (!entries)
        return becomeCorrupt(failure.reason);
    if (!entries->empty() && isPrefix(*entries, head.entries)) {
        m_mismatched.reset();
        m_sealed = Sealed { head.nextSegment, entries->size(), reply.record->value.size() };
        return;
    }
    if (m_mismatched == head.nextSegment) {
        m_mismatched.reset();
        return becomeCorrupt(segmentKey(m_partition, head.nextSegment) + ": the segment isn't the beginning of the head");
    }
    m_mismatched = head.nextSegment; // The head that we know may be an old one: read it anew.
    m_known = false;
    m_readsKnown = 0;
}

void PartitionLog::onSwap(const StoreReply& reply)
{
    if (!reply.failure)
        return swapLanded(reply.revision);
    if (reply.failedWith(ErrorKind::swapConflict)) {
        ++m_stats.conflicts;
        m_swap->conflicted = true;
        m_known = false;
        m_ownHead = false;
        m_readsKnown = 0;
        return;
    }
    if (!holdsNoEffect(*reply.failure))
        m_swap->uncertain = true;
    if (!m_swap->uncertain)
        dissolveSwap();
}

// No attempt took effect or can: the work goes back to the queues.
void PartitionLog::dissolveSwap()
{
    for (const PendingIntent& intent : m_swap->intents) {
        const auto waiting = m_waiting.find(intent.ticket);
        if (waiting != m_waiting.end())
            waiting->second.inSwap = false;
    }
    m_swap.reset();
}

void PartitionLog::swapLanded(backing::Revision revision)
{
    PendingSwap swap = std::move(*m_swap);
    m_swap.reset();
    m_state.advance(std::move(swap.head), revision);
    m_ownHead = true;
    m_known = true;
    if (m_pruning && m_pruning->ready)
        m_pruning.reset();
    if (m_bundling && m_bundling->ready)
        m_bundling.reset();
    std::erase_if(m_erased, [&](const Erasure& erasure) {
        const auto& erasing = m_state.head().erasing;
        return std::find(erasing.begin(), erasing.end(), erasure) == erasing.end();
    });
    for (const LogTicket ticket : swap.outcomes)
        outcomeDurable(ticket);
    for (const PendingIntent& intent : swap.intents)
        intentDurable(intent, revision);
    settle();
}

// The swap conflicted: the record, read after that, says which of its entries took effect.
void PartitionLog::resolveSwap()
{
    const PendingSwap swap = std::move(*m_swap);
    m_swap.reset();
    m_pruning.reset();
    m_bundling.reset();
    for (const LogTicket ticket : swap.outcomes) {
        if (m_state.hasOutcome(m_outcomes.at(ticket).encoded.entry.sequence))
            outcomeDurable(ticket);
    }
    for (const PendingIntent& intent : swap.intents) {
        const auto waiting = m_waiting.find(intent.ticket);
        if (waiting != m_waiting.end())
            waiting->second.inSwap = false;
        if (m_state.isOpen(intent.entry))
            intentDurable(intent, m_state.revision());
    }
}

void PartitionLog::intentDurable(const PendingIntent& intent, backing::Revision revision)
{
    if (m_waiting.contains(intent.ticket)) {
        AdmissionAnswer result;
        result.admission = Admission::granted;
        result.ticket = { m_partition, intent.entry.sequence };
        result.firstRequest = intent.entry.request;
        m_granted.emplace(intent.entry.sequence, intent.entry);
        ++m_stats.granted;
        answer(intent.ticket, std::move(result));
        m_admissionResults[intent.ticket].answer->revision = revision.number;
        return;
    }
    // Its caller was told "not run", so it is never dispatched; the key becomes free again.
    ++m_stats.abandoned;
    IntentEntry released = intent.entry;
    released.kind = EntryKind::released;
    enqueueOutcome(std::move(released), false);
}

void PartitionLog::becomeCorrupt(const std::string& reason)
{
    m_corrupt = reason;
    m_probeAt = m_clock.now() + m_options.probeInterval;
    m_known = false;
    m_readsKnown = 0;
    m_fetched.reset();
    m_answerFetch.reset();
    m_sealed.reset();
    m_pruning.reset();
    m_bundling.reset();
    m_erasing.reset();
    while (!m_waiting.empty())
        refuse(m_waiting.begin()->first, ErrorKind::corruptRecord, reason);
    m_state.reindex();
}

}
