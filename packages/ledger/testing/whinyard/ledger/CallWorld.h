// Several instances that race for the same keys in virtual time, with the real PartitionLog, a
// faulty store and an endpoint that runs what is dispatched. A seed draws everything.
#pragma once

#include "whinyard/ledger/CallHistory.h"
#include "whinyard/ledger/FakeLiveWriters.h"
#include "whinyard/ledger/PartitionLog.h"
#include "whinyard/ledger/SlowStore.h"

#include <memory>

namespace whinyard::ledger {

// Faults that a seed may draw, alone or in pairs.
enum class CallFault : std::uint8_t {
    kill,
    pause,
    storeDown,
    storeSlow,
    lostReply,
    ghostWrite,
    falseSuspicion, // Living instances are taken for dead and dead ones for living.
};

inline constexpr std::size_t callFaultCount = 7;

// A fault of whinyard itself that is planted to see the checker complain.
enum class PlantedFault : std::uint8_t {
    none,
    dispatchBeforeIntent,
    trustLostReply,
    ignoreConflict,
    rerunUnknown,
    overwriteCorrupt,
};

struct CallWorldOptions {
    std::uint64_t seed = 1;
    std::set<CallFault> faults;
    PlantedFault planted = PlantedFault::none;
    std::size_t instances = 4;
    std::size_t keys = 6;
    std::size_t triesPerKey = 6;
    std::optional<std::chrono::milliseconds> foreignHeadAt; // Somebody overwrites the head then.
    PartitionLogOptions log;
};

class CallWorld {
public:
    explicit CallWorld(const CallWorldOptions& options)
        : random(options.seed)
        , store(events, random)
        , m_options(options)
    {
        for (std::size_t i = 0; i < options.instances; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->writer.instance.value = "instance-" + std::to_string(i);
            start(*m_nodes.back());
        }
    }

    static constexpr std::uint32_t partition = 3;
    static constexpr std::chrono::milliseconds faultySpan { 12'000 };

    // Runs the drawn traffic and faults, then a quiet time in which every instance lives.
    void run()
    {
        drawTries();
        drawFaults();
        events.runUntil(events.now() + faultySpan);
        calm();
        events.runUntil(events.now() + std::chrono::seconds(20));
    }

    // Tries every key once more, in the quiet time.
    void tryAllAgain()
    {
        for (std::size_t key = 0; key < m_options.keys; ++key)
            events.after(std::chrono::milliseconds(50 * key), [this, key] { beginTry(key, key % m_nodes.size()); });
        events.runUntil(events.now() + std::chrono::seconds(20));
    }

    FakeClock clock;
    EventQueue events { clock };
    Random random;
    SlowStore store;
    CallHistory history;
    std::uint64_t kills = 0;
    std::uint64_t pauses = 0;
    std::map<RequestId, UsageLine> bills; // What complete answers are to cost.
    static constexpr std::string_view foreignText = "someone else's record";

private:
    struct Call {
        RequestId request;
        std::string key;
        LogTicket ticket = 0;
        IntentTicket intent;
        std::string answer;
        bool finishing = false;
    };

    struct Node {
        Writer writer;
        std::uint64_t life = 0;
        bool alive = false;
        SteadyTime pausedUntil {};
        std::unique_ptr<PartitionLog> log;
        std::map<RequestId, Call> calls;
        SteadyTime wakeAt {};
    };

    // Runs `action` on the node: later if it is paused, never if this life has ended.
    void onNode(Node& node, std::chrono::nanoseconds delay, std::function<void()> action)
    {
        events.after(delay, [this, &node, life = node.life, action = std::move(action)] {
            if (!node.alive || node.life != life)
                return;
            if (node.pausedUntil > events.now())
                onNode(node, node.pausedUntil - events.now(), action);
            else
                action();
        });
    }

    void start(Node& node)
    {
        ++node.life;
        node.alive = true;
        node.writer.incarnation.number = node.life;
        m_living.alive.insert(node.writer);
        node.log = std::make_unique<PartitionLog>(partition, node.writer, m_options.log, clock, m_living);
        node.calls.clear();
        node.pausedUntil = {};
        node.wakeAt = {};
    }

    void kill(Node& node)
    {
        if (!node.alive)
            return;
        ++kills;
        node.alive = false;
        m_living.alive.erase(node.writer);
        events.after(std::chrono::milliseconds(below(random, 4'000)), [this, &node] {
            if (!node.alive)
                start(node);
        });
    }

    void beginTry(std::size_t keyNumber, std::size_t nodeNumber)
    {
        Node& node = *m_nodes[nodeNumber];
        if (!node.alive)
            return;
        const RequestId request { 1, ++m_lastRequest };
        const std::string key = "key-" + std::to_string(keyNumber);
        history.tries[request] = { key, request, events.now(), events.now(), TryEnd::none, {} };
        onNode(node, std::chrono::microseconds(below(random, 500)), [this, &node, request, key] {
            Call call { request, key, 0, {}, {}, false };
            call.ticket = node.log->admit(identityOf(key), request);
            if (m_options.planted == PlantedFault::dispatchBeforeIntent)
                dispatch(node, call);
            node.calls[request] = call;
            poll(node);
        });
    }

    static CallIdentity identityOf(const std::string& key)
    {
        return { CustomerName { "cooperative" }, ServiceName { "reservations" }, key, "body of " + key };
    }

    // Drives the log as its owner does: calls go out one at a time, results are taken.
    void poll(Node& node)
    {
        node.log->expire();
        takeResults(node);
        if (const auto call = node.log->nextStoreCall())
            send(node, *call);
        takeResults(node);
        const auto due = node.log->nextDue();
        if (!due || (node.wakeAt > events.now() && node.wakeAt <= *due))
            return;
        node.wakeAt = std::max(*due, events.now() + std::chrono::milliseconds(1));
        onNode(node, node.wakeAt - events.now(), [this, &node] { poll(node); });
    }

    void send(Node& node, const StoreCall& call)
    {
        store.call(call, [this, &node, call, life = node.life](const StoreReply& reply) {
            if (node.life != life)
                return;
            onNode(node, std::chrono::nanoseconds(0), [this, &node, call, reply] {
                node.log->onReply(call, distort(call, reply));
                poll(node);
            });
        });
    }

    // What a faulty instance would make of the reply.
    StoreReply distort(const StoreCall& call, const StoreReply& reply)
    {
        if (m_options.planted == PlantedFault::trustLostReply && reply.failedWith(ErrorKind::storeUncertain))
            return { .record = std::nullopt, .revision = call.expected.number + 1, .failure = std::nullopt };
        if (m_options.planted == PlantedFault::ignoreConflict && reply.failedWith(ErrorKind::swapConflict))
            return { .record = std::nullopt, .revision = store.memory().revisionOf(call.key), .failure = std::nullopt };
        if (m_options.planted == PlantedFault::overwriteCorrupt && reply.record && reply.record->value == foreignText) {
            store.memory().put(call.key, encodeHead({ .partition = partition, .writer = {}, .swap = 0, .nextSegment = 0, .segments = {}, .erasing = {}, .entries = {} }));
            return { .record = store.memory().read(call.key), .revision = 0, .failure = std::nullopt };
        }
        return reply;
    }

    void takeResults(Node& node)
    {
        std::vector<RequestId> requests;
        for (const auto& [request, call] : node.calls)
            requests.push_back(request);
        for (const RequestId& request : requests) {
            Call& call = node.calls.at(request);
            if (call.finishing)
                takeOutcome(node, call);
            else if (const auto result = node.log->takeAdmission(call.ticket))
                onAdmission(node, call, *result);
        }
    }

    void onAdmission(Node& node, Call& call, const AdmissionResult& result)
    {
        call.ticket = 0;
        if (!result.answer) {
            const bool notRun = result.failure.runState == RunState::notRun && result.failure.kind != ErrorKind::keyReused;
            return end(node, call, notRun ? TryEnd::notRun : TryEnd::otherwise, {});
        }
        if (result.answer->admission == Admission::finished)
            return end(node, call, TryEnd::answered, result.answer->answer.body);
        if (result.answer->admission == Admission::running)
            return end(node, call, TryEnd::running, {});
        const bool granted = result.answer->admission == Admission::granted;
        if (!granted && m_options.planted != PlantedFault::rerunUnknown)
            return end(node, call, TryEnd::unknown, {});
        call.intent = result.answer->ticket;
        onNode(node, std::chrono::microseconds(below(random, 3'000)), [this, &node, request = call.request] {
            if (node.calls.contains(request))
                dispatch(node, node.calls.at(request));
        });
    }

    // One call in eight provably doesn't reach the endpoint; of the others one reply in eight is lost.
    void dispatch(Node& node, const Call& call)
    {
        const std::string answer = "confirmed by " + std::to_string(call.request.sequence);
        const bool reached = m_calm || below(random, 8) > 0;
        const bool lost = !m_calm && reached && below(random, 8) == 0;
        if (reached)
            history.dispatches.push_back({ call.key, call.request, answer });
        onNode(node, std::chrono::milliseconds(1 + below(random, 400)), [this, &node, request = call.request, answer, reached, lost] {
            const auto found = node.calls.find(request);
            if (found == node.calls.end() || found->second.finishing)
                return;
            Call& mine = found->second;
            mine.finishing = true;
            mine.answer = reached && !lost ? answer : std::string();
            if (!reached)
                mine.ticket = node.log->release(mine.intent);
            else if (lost)
                mine.ticket = node.log->leaveUnknown(mine.intent);
            else
                mine.ticket = node.log->finish(mine.intent, { 200, "text/plain", answer }, billOf(mine));
            poll(node);
        });
    }

    UsageLine billOf(const Call& call)
    {
        UsageLine line;
        line.identity = toText(call.request);
        line.request = call.request;
        line.customer.value = "cooperative";
        line.item = "reservations";
        line.billedUnits = 1'000;
        line.attempts = 1;
        bills[call.request] = line;
        return line;
    }

    void takeOutcome(Node& node, Call& call)
    {
        const auto result = node.log->takeOutcome(call.ticket);
        if (!result)
            return;
        if (call.answer.empty())
            return end(node, call, history.dispatches.empty() || !ranAtEndpoint(call.request) ? TryEnd::notRun : TryEnd::unknown, {});
        end(node, call, result->failure ? TryEnd::otherwise : TryEnd::answered, result->failure ? std::string() : call.answer);
    }

    bool ranAtEndpoint(const RequestId& request) const
    {
        return std::any_of(history.dispatches.begin(), history.dispatches.end(), [&](const Dispatch& dispatch) { return dispatch.request == request; });
    }

    void end(Node& node, const Call& call, TryEnd outcome, const std::string& answer)
    {
        const RequestId request = call.request;
        CallTry& entry = history.tries.at(request);
        entry.end = events.now();
        entry.outcome = outcome;
        entry.answer = answer;
        node.calls.erase(request);
    }

    void drawTries()
    {
        for (std::size_t key = 0; key < m_options.keys; ++key) {
            const auto first = std::chrono::milliseconds(below(random, 8'000));
            for (std::size_t i = 0; i < m_options.triesPerKey; ++i) {
                const auto later = std::chrono::milliseconds(i == 0 ? 0 : below(random, 1U << (2 * i + 1)));
                events.after(first + later, [this, key] { beginTry(key, below(random, m_nodes.size())); });
            }
        }
        if (m_options.foreignHeadAt)
            events.after(*m_options.foreignHeadAt, [this] { store.memory().put(headKey(partition), std::string(foreignText)); });
    }

    void drawFaults()
    {
        for (const CallFault fault : m_options.faults) {
            for (std::size_t i = 0; i < 6; ++i)
                events.after(std::chrono::milliseconds(below(random, 10'000)), [this, fault] { inject(fault); });
        }
    }

    void inject(CallFault fault)
    {
        Node& node = *m_nodes[below(random, m_nodes.size())];
        const auto span = std::chrono::milliseconds(100 + below(random, 3'000));
        switch (fault) {
        case CallFault::kill:
            return kill(node);
        case CallFault::pause:
            ++pauses;
            node.pausedUntil = events.now() + span;
            return;
        case CallFault::storeDown:
            return spell(store.faults.down, 1, span);
        case CallFault::storeSlow:
            store.faults.slow = true;
            return events.after(span, [this] { store.faults.slow = false; });
        case CallFault::lostReply:
            return spell(store.faults.lostReply, 0.4, span);
        case CallFault::ghostWrite:
            return spell(store.faults.ghost, 0.4, span);
        case CallFault::falseSuspicion:
            if (!m_living.alive.erase(node.writer))
                m_living.alive.insert(node.writer);
        }
    }

    void spell(double& probability, double value, std::chrono::milliseconds span)
    {
        probability = value;
        events.after(span, [&probability] { probability = 0; });
    }

    void calm()
    {
        m_calm = true;
        store.faults = {};
        for (const auto& node : m_nodes) {
            if (!node->alive)
                start(*node);
            m_living.alive.insert(node->writer);
        }
    }

    const CallWorldOptions m_options;
    FakeLiveWriters m_living;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::uint64_t m_lastRequest = 0;
    bool m_calm = false;
};

}
