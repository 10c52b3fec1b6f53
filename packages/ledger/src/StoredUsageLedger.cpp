#include "whinyard/ledger/StoredUsageLedger.h"

#include <algorithm>

namespace whinyard::ledger {

namespace {

    constexpr std::chrono::milliseconds shortestWait { 1 };

    std::chrono::milliseconds until(std::optional<SteadyTime> due, const Clock& clock, std::chrono::milliseconds longest)
    {
        if (!due)
            return longest;
        return std::clamp(std::chrono::ceil<std::chrono::milliseconds>(*due - clock.now()), shortestWait, longest);
    }

}

struct StoredUsageLedger::State {
    State(net::Duty& usedDuty, backing::KeyValueStore& usedStore, MirrorChannel& usedChannel, const Writer& self, const StoredUsageLedgerOptions& chosen, const Clock& usedClock, const LiveWriters& live)
        : duty(usedDuty)
        , store(usedStore)
        , channel(usedChannel)
        , options(chosen)
        , clock(usedClock)
        , segments(self, chosen.segments, usedClock)
        , mirror(chosen.mirror, usedClock, live, segments)
        , holder(chosen.holder, usedClock, live, segments)
    {
    }

    net::Duty& duty;
    backing::KeyValueStore& store;
    MirrorChannel& channel;
    const StoredUsageLedgerOptions options;
    const Clock& clock;
    UsageSegments segments;
    UsageMirror mirror;
    MirrorHolder holder;
    net::Signal changed; // A result may be there.
    net::Signal wanted; // The segments may have work.
    bool stopping = false;
};

StoredUsageLedger::StoredUsageLedger(net::Duty& duty, backing::KeyValueStore& store, MirrorChannel& channel, const Writer& self, const StoredUsageLedgerOptions& options, const Clock& clock, const LiveWriters& live)
    : m_state(std::make_shared<State>(duty, store, channel, self, options, clock, live))
{
    duty.spawn([state = m_state] { writeSegments(state); });
    duty.spawn([state = m_state] { lookAround(state); });
}

StoredUsageLedger::~StoredUsageLedger()
{
    m_state->stopping = true;
    m_state->wanted.notify();
    m_state->changed.notify();
}

void StoredUsageLedger::writeSegments(const std::shared_ptr<State>& state)
{
    while (!state->stopping) {
        const auto call = state->segments.nextStoreCall();
        if (!call) {
            state->wanted.wait(until(state->segments.nextDue(), state->clock, state->options.segments.flushInterval));
            continue;
        }
        const StoreReply reply = execute(state->store, *call);
        if (state->stopping)
            return;
        state->segments.onReply(*call, reply);
        state->mirror.tick();
        sendAll(state);
        state->changed.notify();
    }
}

void StoredUsageLedger::lookAround(const std::shared_ptr<State>& state)
{
    while (!state->stopping) {
        state->mirror.tick();
        state->holder.tick();
        sendAll(state);
        state->changed.notify();
        state->wanted.notify();
        net::sleepFor(state->options.tick);
    }
}

// Sends what is to be sent, each message in a fiber of its own.
void StoredUsageLedger::sendAll(const std::shared_ptr<State>& state)
{
    while (const auto send = state->mirror.nextSend()) {
        state->duty.spawn([state, send = *send] {
            Failure failure;
            const bool held = state->channel.hold(send.peer, send.lines, state->options.callTimeout, failure);
            if (state->stopping)
                return;
            state->mirror.onSent(send, held);
            sendAll(state);
            state->changed.notify();
            state->wanted.notify();
        });
    }
    while (const auto release = state->mirror.nextRelease()) {
        state->duty.spawn([state, release = *release] {
            Failure failure;
            state->channel.release(release.peer, release.through, state->options.callTimeout, failure);
        });
    }
}

std::optional<std::string> StoredUsageLedger::record(const UsageLine& line, Failure& failure)
{
    const auto state = m_state;
    const auto number = state->mirror.record(line, state->channel.peers());
    if (!number) {
        failure = { .kind = ErrorKind::overloaded, .reason = "too many bill lines wait for the key-value service" };
        return std::nullopt;
    }
    sendAll(state);
    state->wanted.notify();
    for (;;) {
        if (auto result = state->mirror.take(*number)) {
            failure = result->failure;
            return std::move(result->how);
        }
        if (state->stopping) {
            failure = { .kind = ErrorKind::shuttingDown, .reason = "the usage ledger stopped" };
            return std::nullopt;
        }
        state->changed.wait(until(state->mirror.nextDue(), state->clock, state->options.mirror.recordBound));
        state->mirror.tick();
        sendAll(state);
        state->wanted.notify();
    }
}

bool StoredUsageLedger::hold(const Writer& origin, const std::vector<NumberedLine>& lines)
{
    return m_state->holder.hold(origin, lines);
}

std::uint64_t StoredUsageLedger::release(const Writer& origin, std::uint64_t through)
{
    return m_state->holder.release(origin, through);
}

bool StoredUsageLedger::drain(std::chrono::milliseconds bound)
{
    const auto state = m_state;
    const SteadyTime end = state->clock.now() + bound;
    state->segments.flush();
    state->wanted.notify();
    while (state->segments.waiting() && state->clock.now() < end)
        state->changed.wait(until(end, state->clock, bound));
    return state->segments.waiting() == 0;
}

std::size_t StoredUsageLedger::waitingLines() const
{
    return m_state->segments.waiting();
}

std::size_t StoredUsageLedger::heldLines() const
{
    return m_state->holder.held();
}

std::optional<std::string> StoredUsageLedger::foreignRecord() const
{
    return m_state->segments.foreignRecord();
}

}
