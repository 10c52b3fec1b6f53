// A key-value service in virtual time whose calls take time and fail as a seed draws: down, slow,
// replies lost after the effect, and writes that take effect long after their caller gave up.
#pragma once

#include "whinyard/backing/FakeStore.h"
#include "whinyard/base/Random.h"
#include "whinyard/ledger/EventQueue.h"
#include "whinyard/ledger/StoreCall.h"

namespace whinyard::ledger {

// How often a call meets a fault, from 0 to 1.
struct StoreFaults {
    double down = 0; // No effect, and said so.
    double lostReply = 0; // The effect, but no reply.
    double ghost = 0; // No reply, and the effect seconds later or never.
    bool slow = false; // Calls take a hundred times longer.
};

class SlowStore {
public:
    using Answer = std::function<void(const StoreReply&)>;

    SlowStore(EventQueue& events, Random& random)
        : m_events(events)
        , m_random(random)
        , m_store(events.clock())
    {
    }

    StoreFaults faults;
    std::uint64_t injected = 0; // Faults so far.
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    backing::MemoryStore& memory() { return m_store.memory(); }

    // The same contents without time and faults, for readers.
    backing::KeyValueStore& contents() { return m_store; }

    // Carries out `call` and tells `answer` after a drawn time.
    void call(const StoreCall& call, const Answer& answer)
    {
        ++(call.kind == StoreCallKind::read ? reads : writes);
        if (draw(faults.down))
            return tell(answer, failed(ErrorKind::storeUnavailable), delay());
        if (call.kind != StoreCallKind::read && draw(faults.ghost)) {
            if (below(m_random, 3))
                m_events.after(std::chrono::milliseconds(below(m_random, 6'000)), [this, call] { apply(call); });
            return tell(answer, failed(ErrorKind::storeUncertain), callTimeout);
        }
        const bool lost = draw(faults.lostReply);
        m_events.after(delay(), [this, call, answer, lost] {
            const StoreReply reply = apply(call);
            if (lost)
                return tell(answer, failed(call.kind == StoreCallKind::read ? ErrorKind::storeUnavailable : ErrorKind::storeUncertain), callTimeout);
            tell(answer, reply, delay());
        });
    }

private:
    static constexpr std::chrono::milliseconds callTimeout { 500 };

    bool draw(double probability)
    {
        const bool fault = probability > 0 && uniform(m_random) < probability;
        injected += fault ? 1 : 0;
        return fault;
    }

    std::chrono::microseconds delay() { return std::chrono::microseconds((200 + below(m_random, 1'500)) * (faults.slow ? 100 : 1)); }

    static StoreReply failed(ErrorKind kind) { return { .record = std::nullopt, .revision = 0, .failure = Failure { .kind = kind, .reason = "fault" } }; }

    void tell(const Answer& answer, const StoreReply& reply, std::chrono::nanoseconds delay)
    {
        m_events.after(delay, [answer, reply] { answer(reply); });
    }

    StoreReply apply(const StoreCall& call)
    {
        StoreReply reply;
        if (call.kind == StoreCallKind::read) {
            reply.record = m_store.memory().read(call.key);
            return reply.record ? reply : failed(ErrorKind::notFound);
        }
        if (call.kind == StoreCallKind::erase)
            return m_store.memory().erase(call.key, call.expected) ? reply : failed(ErrorKind::swapConflict);
        const auto revision = m_store.memory().swap({ .key = call.key, .value = call.value, .expected = call.expected, .lease = {} });
        if (!revision)
            return failed(ErrorKind::swapConflict);
        reply.revision = *revision;
        return reply;
    }

    EventQueue& m_events;
    Random& m_random;
    backing::FakeStore m_store;
};

}
