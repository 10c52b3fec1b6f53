// The choice of the next call to the store.
#include "whinyard/ledger/PartitionLog.h"

#include "internal/Envelope.h"
#include "internal/PartitionNames.h"

#include <algorithm>
#include <unordered_set>

namespace whinyard::ledger {

namespace {

    constexpr std::size_t headerReserve = 16 * 1024; // Room for the head's first lines.
    constexpr std::size_t bytesPerSegmentInfo = 64;

    std::size_t entryBytes(const IntentHead& head)
    {
        std::size_t bytes = 0;
        for (const EncodedEntry& entry : head.entries)
            bytes += entry.text.size();
        return bytes;
    }

    std::chrono::microseconds newestOf(const std::vector<EncodedEntry>& entries, std::size_t count)
    {
        std::chrono::microseconds newest { 0 };
        for (std::size_t i = 0; i < count; ++i)
            newest = std::max(newest, entries[i].entry.at);
        return newest;
    }

}

std::optional<StoreCall> PartitionLog::nextStoreCall()
{
    expire();
    if (m_inFlight || m_clock.now() < m_backoffUntil)
        return std::nullopt;
    refillTokens();
    auto call = chooseCall();
    if (!call)
        return std::nullopt;
    if (call->kind == StoreCallKind::read)
        ++m_stats.reads;
    else {
        ++m_stats.swaps;
        m_stats.bytesWritten += call->value.size();
    }
    return call;
}

bool PartitionLog::hasDemand() const
{
    return m_probe || !idle();
}

std::optional<StoreCall> PartitionLog::chooseCall()
{
    if (m_corrupt && m_clock.now() < m_probeAt)
        return std::nullopt;
    if (m_swap && !m_swap->conflicted)
        return swapCall();
    if (m_comparison) {
        const Comparison comparison = *m_comparison;
        m_comparison.reset();
        return readCall(comparison.purpose, comparison.key);
    }
    if (hasDemand()) {
        if (auto call = chooseRead())
            return call;
    }
    if (!m_known)
        return std::nullopt;
    if (auto call = chooseWrite()) // Swaps are rare, so they can't keep the fetches from their turn.
        return call;
    if (auto call = chooseFetch())
        return call;
    return chooseMaintenance();
}

StoreCall PartitionLog::readCall(Purpose purpose, std::string key)
{
    StoreCall call;
    call.number = ++m_lastCall;
    call.kind = StoreCallKind::read;
    call.key = std::move(key);
    m_inFlight = { call.number, purpose };
    return call;
}

StoreCall PartitionLog::createCall(Purpose purpose, std::string key, std::string value)
{
    StoreCall call;
    call.number = ++m_lastCall;
    call.kind = StoreCallKind::swap;
    call.key = std::move(key);
    call.value = std::move(value);
    m_inFlight = { call.number, purpose };
    return call;
}

StoreCall PartitionLog::swapCall()
{
    StoreCall call = createCall(Purpose::swapHead, headKey(m_partition), m_swap->value);
    call.expected = m_swap->expected;
    return call;
}

std::optional<StoreCall> PartitionLog::chooseRead()
{
    if (m_known && !m_swap && !m_probe) {
        if (!needsFreshRead() || m_readTokens < 1)
            return std::nullopt;
        m_readTokens -= 1;
    }
    const auto missing = m_state.missingSegment();
    if (missing && !m_known && m_readsKnown == m_readsBegun)
        return readCall(Purpose::loadSegment, recordKeyOf(m_partition, *m_state.recordOf(*missing)));
    ++m_readsBegun;
    return readCall(Purpose::readHead, headKey(m_partition));
}

// Fetches what the answer of a finished call needs: its sealed segment, then the parts of a large body.
std::optional<StoreCall> PartitionLog::chooseFetch()
{
    for (const auto& [ticket, waiting] : m_waiting) {
        const KeySlot* slot = m_state.find(waiting.key);
        if (!slot || waiting.inSwap || slot->status != KeyStatus::finished)
            continue;
        const IntentEntry* entry = finishedEntry(*slot);
        if (!entry) {
            m_fetching = slot->segment;
            return readCall(Purpose::fetchSegment, recordKeyOf(m_partition, *m_state.recordOf(m_fetching)));
        }
        if (!m_answerFetch || m_answerFetch->entry != *entry)
            m_answerFetch = AnswerFetch { *entry, {}, 0 };
        return readCall(Purpose::fetchAnswer, answerKey(m_partition, *entry, m_answerFetch->next));
    }
    return std::nullopt;
}

std::optional<StoreCall> PartitionLog::chooseWrite()
{
    for (const auto& [ticket, outcome] : m_outcomes) {
        if (outcome.partsDurable < outcome.parts.size())
            return createCall(Purpose::createAnswer, answerKey(m_partition, outcome.encoded.entry, static_cast<std::uint32_t>(outcome.partsDurable)), outcome.parts[outcome.partsDurable]);
    }
    if (m_tokens < 1)
        return std::nullopt;
    const IntentHead& head = m_state.head();
    const bool sealed = m_sealed && m_sealed->number == head.nextSegment;
    if (!idle() && !sealed && entryBytes(head) >= m_options.sealBytes)
        return createCall(Purpose::createSegment, segmentKey(m_partition, head.nextSegment), encodeSegment(m_partition, head.nextSegment, head.entries, head.entries.size()));
    if (!buildSwap())
        return std::nullopt;
    m_tokens -= 1;
    return swapCall();
}

// Takes the sealed entries out of the head.
void PartitionLog::takeSealed(IntentHead& head) const
{
    if (m_sealed && m_sealed->number == head.nextSegment) {
        head.segments.push_back({ m_sealed->number, 1, m_sealed->entries, newestOf(head.entries, m_sealed->entries), m_sealed->bytes });
        head.entries.erase(head.entries.begin(), head.entries.begin() + static_cast<std::ptrdiff_t>(m_sealed->entries));
        ++head.nextSegment;
    }
}

bool PartitionLog::wantsSwap() const
{
    return !m_outcomes.empty() || std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto& item) { return !m_state.find(item.second.key); });
}

bool PartitionLog::buildSwap()
{
    PendingSwap swap;
    swap.head = m_state.head();
    swap.expected = m_state.revision();
    takeSealed(swap.head);
    takeMaintenance(swap.head);
    const bool maintains = swap.head.erasing != m_state.head().erasing;
    const std::size_t used = entryBytes(swap.head) + headerReserve + bytesPerSegmentInfo * swap.head.segments.size();
    std::size_t budget = used < backing::largestValue ? std::min(m_options.batchBytes, backing::largestValue - used) : 0;
    addOutcomes(swap, budget);
    addIntents(swap, budget);
    if (swap.intents.empty() && swap.outcomes.empty() && !maintains)
        return false;
    swap.head.writer = m_self;
    swap.head.swap = ++m_lastSwap;
    swap.value = encodeHead(swap.head);
    m_swap = std::move(swap);
    return true;
}

void PartitionLog::addOutcomes(PendingSwap& swap, std::size_t& budget)
{
    for (auto item = m_outcomes.begin(); item != m_outcomes.end();) {
        auto& [ticket, outcome] = *item;
        ++item;
        if (outcome.partsDurable < outcome.parts.size() || outcome.encoded.text.size() > budget)
            continue;
        if (!m_state.isOpen(outcome.encoded.entry)) {
            if (!outcome.reported)
                m_outcomeResults[ticket] = { .failure = Failure { .kind = ErrorKind::outcomeUnknown, .reason = "the intent is older than the retention", .runState = RunState::unknown } };
            m_outcomes.erase(ticket);
            continue;
        }
        budget -= outcome.encoded.text.size();
        swap.head.entries.push_back(outcome.encoded);
        swap.outcomes.push_back(ticket);
    }
}

void PartitionLog::addIntents(PendingSwap& swap, std::size_t& budget)
{
    std::unordered_set<ShortDigest> keys;
    for (auto& [ticket, waiting] : m_waiting) {
        if (m_state.find(waiting.key) || keys.contains(waiting.key))
            continue;
        IntentEntry entry;
        entry.key = waiting.key;
        entry.body = waiting.body;
        entry.request = waiting.request;
        entry.writer = m_self;
        entry.sequence = ++m_lastSequence;
        entry.at = std::chrono::duration_cast<std::chrono::microseconds>(m_clock.wallNow().time_since_epoch());
        EncodedEntry encoded = encode(entry);
        if (encoded.text.size() > budget)
            return;
        keys.insert(waiting.key);
        budget -= encoded.text.size();
        waiting.inSwap = true;
        swap.head.entries.push_back(std::move(encoded));
        swap.intents.push_back({ ticket, std::move(entry) });
    }
}

void PartitionLog::refillTokens()
{
    const SteadyTime now = m_clock.now();
    const double gained = std::chrono::duration<double>(now - m_tokensAt) / std::chrono::duration<double>(m_options.interval);
    m_tokens = std::min<double>(m_options.burst, m_tokens + gained);
    m_readTokens = std::min<double>(m_options.burst, m_readTokens + gained);
    m_tokensAt = now;
}

std::optional<SteadyTime> PartitionLog::nextDue() const
{
    std::optional<SteadyTime> due;
    const auto consider = [&](SteadyTime time) { due = due ? std::min(*due, time) : time; };
    for (const auto& [ticket, waiting] : m_waiting)
        consider(waiting.deadline);
    for (const auto& [ticket, outcome] : m_outcomes) {
        if (!outcome.reported)
            consider(outcome.deadline);
    }
    if (m_inFlight || !hasDemand())
        return due;
    const SteadyTime now = m_clock.now();
    const auto untilToken = [&](double tokens) {
        const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(m_options.interval * std::max(0.0, 1 - tokens));
        return m_tokensAt + wait + std::chrono::microseconds(1);
    };
    SteadyTime next = std::max(now, m_backoffUntil);
    if (m_corrupt)
        next = std::max(next, m_probeAt);
    else if (m_known && !m_swap && !m_probe)
        next = std::max(next, std::min(wantsSwap() ? untilToken(m_tokens) : SteadyTime::max(), needsFreshRead() ? untilToken(m_readTokens) : SteadyTime::max()));
    consider(next);
    return due;
}

}
