// Admissions and outcomes: what is decided from the known state. The calls to the store are chosen
// in PartitionLogCalls.cpp and their replies taken in PartitionLogReplies.cpp.
#include "whinyard/ledger/PartitionLog.h"

#include "internal/Envelope.h"
#include "internal/PartitionNames.h"
#include "whinyard/base/Encoding.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    std::chrono::microseconds wallMicroseconds(const Clock& clock)
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch());
    }

}

PartitionLog::PartitionLog(std::uint32_t partition, Writer self, const PartitionLogOptions& options, const Clock& clock, const LiveWriters& live)
    : m_partition(partition)
    , m_self(std::move(self))
    , m_options(options)
    , m_clock(clock)
    , m_live(live)
    , m_state(partition, m_self)
    , m_tokens(options.burst)
    , m_readTokens(options.burst)
    , m_tokensAt(clock.now())
{
}

LogTicket PartitionLog::admit(const CallIdentity& call, const RequestId& request)
{
    const LogTicket ticket = ++m_lastTicket;
    Waiting waiting;
    waiting.key = keyDigest(call);
    waiting.body = shortDigest(call.bodyDigest);
    waiting.request = request;
    waiting.deadline = m_clock.now() + m_options.admissionBound;
    waiting.readsBefore = m_readsBegun;
    m_waiting.emplace(ticket, waiting);
    if (m_corrupt && m_clock.now() < m_probeAt)
        refuse(ticket, ErrorKind::corruptRecord, *m_corrupt);
    else if (m_waiting.size() > m_options.largestQueue)
        refuse(ticket, ErrorKind::overloaded, "too many calls wait for the intent ledger");
    else if (m_known && decide(ticket, waiting))
        return ticket;
    else if (inOutage()) {
        m_probe = true;
        refuse(ticket, ErrorKind::storeUnavailable, "the key-value service is away, so the call wasn't started");
    }
    return ticket;
}

std::optional<AdmissionResult> PartitionLog::takeAdmission(LogTicket ticket)
{
    const auto found = m_admissionResults.find(ticket);
    if (found == m_admissionResults.end())
        return std::nullopt;
    AdmissionResult result = std::move(found->second);
    m_admissionResults.erase(found);
    return result;
}

std::optional<OutcomeResult> PartitionLog::takeOutcome(LogTicket ticket)
{
    const auto found = m_outcomeResults.find(ticket);
    if (found == m_outcomeResults.end())
        return std::nullopt;
    OutcomeResult result = std::move(found->second);
    m_outcomeResults.erase(found);
    return result;
}

void PartitionLog::answer(LogTicket ticket, AdmissionAnswer answer)
{
    answer.revision = m_state.revision().number;
    m_admissionResults[ticket] = { .answer = std::move(answer), .failure = {} };
    m_waiting.erase(ticket);
}

void PartitionLog::refuse(LogTicket ticket, ErrorKind kind, const std::string& reason)
{
    AdmissionResult result;
    result.failure = { .kind = kind, .reason = reason, .retryAfter = m_options.retryAfter, .runState = RunState::notRun };
    if (kind == ErrorKind::keyReused)
        result.failure.retryAfter = std::chrono::milliseconds(0);
    else if (m_state.find(m_waiting.at(ticket).key)) // An earlier request with this key may have run.
        result.failure.runState = RunState::unknown;
    m_admissionResults[ticket] = std::move(result);
    m_waiting.erase(ticket);
}

void PartitionLog::settle()
{
    if (!m_known)
        return;
    std::vector<LogTicket> tickets;
    for (const auto& [ticket, waiting] : m_waiting) {
        if (!waiting.inSwap)
            tickets.push_back(ticket);
    }
    for (const LogTicket ticket : tickets) {
        const Waiting waiting = m_waiting.at(ticket);
        decide(ticket, waiting);
    }
}

// Returns whether the admission is decided. A free key isn't: only the swap decides that.
bool PartitionLog::decide(LogTicket ticket, const Waiting& waiting)
{
    const KeySlot* slot = m_state.find(waiting.key);
    if (!slot)
        return false;
    if (slot->status == KeyStatus::finished)
        return answerFinished(ticket, waiting, *slot);
    return answerOpen(ticket, waiting, *m_state.openIntent(waiting.key), slot->status);
}

bool PartitionLog::answerFinished(LogTicket ticket, const Waiting& waiting, const KeySlot& slot)
{
    const IntentEntry* entry = finishedEntry(slot);
    if (!entry)
        return false;
    if (entry->body != waiting.body) {
        refuse(ticket, ErrorKind::keyReused, "the idempotency key came before with another body");
        return true;
    }
    AdmissionAnswer result;
    result.admission = Admission::finished;
    result.firstRequest = entry->request;
    result.answer = entry->answer;
    if (entry->parts.count) {
        if (!m_answerFetch || m_answerFetch->entry != *entry || m_answerFetch->next < entry->parts.count)
            return false;
        result.answer.body = m_answerFetch->body;
    }
    answer(ticket, std::move(result));
    return true;
}

// The writer of an open intent may have finished it since this process last looked, so the record
// has to be read once more, after the admission came, before anything is said about it. An intent of
// this process runs until its outcome is enqueued; from then on others may see the outcome before
// this process knows that it is durable, so the admission waits for that.
bool PartitionLog::answerOpen(LogTicket ticket, const Waiting& waiting, const IntentEntry& intent, KeyStatus status)
{
    const bool own = intent.writer == m_self;
    const bool fresh = own ? m_granted.contains(intent.sequence) : m_readsKnown > waiting.readsBefore;
    if (status == KeyStatus::open && !fresh)
        return false;
    if (intent.body != waiting.body) {
        refuse(ticket, ErrorKind::keyReused, "the idempotency key came before with another body");
        return true;
    }
    AdmissionAnswer result;
    result.firstRequest = intent.request;
    const bool running = status == KeyStatus::open && (own || m_live.isAlive(intent.writer));
    result.admission = running ? Admission::running : Admission::unknown;
    answer(ticket, std::move(result));
    return true;
}

const IntentEntry* PartitionLog::finishedEntry(const KeySlot& slot) const
{
    if (const IntentEntry* entry = m_state.inHead(slot))
        return entry;
    if (!m_fetched || m_fetched->number != slot.segment || slot.position >= m_fetched->entries.size())
        return nullptr;
    return &m_fetched->entries[slot.position].entry;
}

bool PartitionLog::needsFreshRead() const
{
    return std::any_of(m_waiting.begin(), m_waiting.end(), [&](const auto& item) {
        const Waiting& waiting = item.second;
        const KeySlot* slot = m_state.find(waiting.key);
        if (!slot || waiting.inSwap || slot->status != KeyStatus::open)
            return false;
        return m_state.openIntent(waiting.key)->writer != m_self && waiting.readsBefore >= m_readsKnown;
    });
}

// Only a recent failure tells of an outage: a call that comes long after the last one tries anew.
bool PartitionLog::inOutage() const
{
    const SteadyTime now = m_clock.now();
    return m_outageSince && now - *m_outageSince >= m_options.admissionBound && now - m_lastFailure < m_options.retryAfter;
}

bool PartitionLog::runsHere(const CallIdentity& call) const
{
    const IntentEntry* intent = m_state.openIntent(keyDigest(call));
    return intent && intent->writer == m_self && intent->kind == EntryKind::intent;
}

bool PartitionLog::idle() const
{
    return m_waiting.empty() && m_outcomes.empty() && !m_swap;
}

std::optional<IntentEntry> PartitionLog::outcomeOf(const IntentTicket& intent, EntryKind kind) const
{
    const auto granted = m_granted.find(intent.sequence);
    if (intent.partition != m_partition || granted == m_granted.end())
        return std::nullopt;
    IntentEntry entry = granted->second;
    entry.kind = kind;
    entry.at = wallMicroseconds(m_clock);
    return entry;
}

LogTicket PartitionLog::failOutcome(ErrorKind kind, const std::string& reason)
{
    const LogTicket ticket = ++m_lastTicket;
    m_outcomeResults[ticket] = { .failure = Failure { .kind = kind, .reason = reason, .runState = RunState::unknown } };
    return ticket;
}

LogTicket PartitionLog::finish(const IntentTicket& intent, const StoredAnswer& stored, const UsageLine& usage)
{
    auto entry = outcomeOf(intent, EntryKind::finished);
    if (!entry)
        return failOutcome(ErrorKind::internalError, "no such intent was granted, or it has an outcome already");
    if (stored.body.size() > m_options.largestAnswer)
        return failOutcome(ErrorKind::bodyTooLarge, "the answer is too large to be kept");
    m_granted.erase(intent.sequence);
    entry->answer = stored;
    entry->usage = usage;
    return enqueueOutcome(std::move(*entry), true);
}

LogTicket PartitionLog::release(const IntentTicket& intent)
{
    return enqueueOutcomeOf(intent, EntryKind::released);
}

LogTicket PartitionLog::leaveUnknown(const IntentTicket& intent)
{
    return enqueueOutcomeOf(intent, EntryKind::unknown);
}

LogTicket PartitionLog::enqueueOutcomeOf(const IntentTicket& intent, EntryKind kind)
{
    auto entry = outcomeOf(intent, kind);
    if (!entry)
        return failOutcome(ErrorKind::internalError, "no such intent was granted, or it has an outcome already");
    m_granted.erase(intent.sequence);
    return enqueueOutcome(std::move(*entry), true);
}

LogTicket PartitionLog::enqueueOutcome(IntentEntry entry, bool tell)
{
    const LogTicket ticket = ++m_lastTicket;
    Outcome outcome;
    outcome.encoded = encode(std::move(entry));
    outcome.deadline = m_clock.now() + m_options.outcomeBound;
    outcome.reported = !tell;
    if (outcome.encoded.text.size() > m_options.inlineAnswerBytes)
        splitAnswer(outcome);
    m_outcomes.emplace(ticket, std::move(outcome));
    return ticket;
}

void PartitionLog::splitAnswer(Outcome& outcome)
{
    IntentEntry entry = outcome.encoded.entry;
    const std::string body = std::move(entry.answer.body);
    entry.answer.body.clear();
    for (std::size_t at = 0; at == 0 || at < body.size(); at += m_options.answerPartBytes)
        outcome.parts.push_back(wrapRecord(answerFormat, encodeBase64(std::string_view(body).substr(at, m_options.answerPartBytes))));
    entry.parts = { static_cast<std::uint32_t>(outcome.parts.size()), sha256Hex(body) };
    outcome.encoded = encode(std::move(entry));
}

void PartitionLog::outcomeDurable(LogTicket ticket)
{
    const auto found = m_outcomes.find(ticket);
    if (!found->second.reported)
        m_outcomeResults[ticket] = { .failure = std::nullopt, .revision = m_state.revision() };
    m_state.forgetOutcome(found->second.encoded.entry.sequence);
    m_outcomes.erase(found);
}

void PartitionLog::expire()
{
    const SteadyTime now = m_clock.now();
    std::vector<LogTicket> late;
    for (const auto& [ticket, waiting] : m_waiting) {
        if (waiting.deadline <= now)
            late.push_back(ticket);
    }
    for (const LogTicket ticket : late)
        refuse(ticket, ErrorKind::storeUnavailable, "the intent couldn't be made durable in time, so the call wasn't started");
    for (auto& [ticket, outcome] : m_outcomes) {
        if (outcome.reported || outcome.deadline > now)
            continue;
        outcome.reported = true;
        const ErrorKind kind = m_corrupt ? ErrorKind::corruptRecord : ErrorKind::storeUnavailable;
        const std::string reason = m_corrupt ? *m_corrupt : "the outcome isn't durable yet; the ledger goes on trying";
        m_outcomeResults[ticket] = { .failure = Failure { .kind = kind, .reason = reason, .retryAfter = m_options.retryAfter, .runState = RunState::unknown } };
    }
}

}
