// Several instances that bill requests in virtual time, with the real UsageSegments, UsageMirror and
// MirrorHolder, a faulty store and a faulty network. A seed draws everything.
#pragma once

#include "whinyard/ledger/FakeLiveWriters.h"
#include "whinyard/ledger/MirrorHolder.h"
#include "whinyard/ledger/SlowStore.h"
#include "whinyard/ledger/UsageMirror.h"

#include <memory>

namespace whinyard::ledger {

// Faults beside the kills.
enum class UsageFault : std::uint8_t {
    none,
    storeDown,
    storeSlow,
    lostReply,
    ghostWrite,
    pause,
    networkLoss, // Messages between instances, or their replies, are lost.
    falseSuspicion,
    smallHolders, // Holders have room for few lines.
};

inline constexpr std::size_t usageFaultCount = 9;

// Whom the seed kills.
enum class UsageKill : std::uint8_t {
    nobody,
    origin,
    originAndHolder, // At the same moment.
    holderThenOriginAndHolder, // The first long enough before that it is known.
};

inline constexpr std::size_t usageKillCount = 4;

enum class PlantedUsageFault : std::uint8_t {
    none,
    answerBeforeMirror, // The last piece leaves before the line is safe.
    trustUnsentMirror, // A message that was lost counts as held.
};

struct UsageWorldOptions {
    std::uint64_t seed = 1;
    UsageFault fault = UsageFault::none;
    UsageKill kill = UsageKill::nobody;
    PlantedUsageFault planted = PlantedUsageFault::none;
    UsageMirrorOptions mirror;
};

class UsageWorld {
public:
    explicit UsageWorld(const UsageWorldOptions& options)
        : random(options.seed)
        , store(events, random)
        , m_options(options)
    {
        for (std::size_t i = 0; i < instances; ++i) {
            m_nodes.push_back(std::make_unique<Node>());
            Node& node = *m_nodes.back();
            node.peer.writer = { InstanceName { "instance-" + std::to_string(i) }, Incarnation { 1 } };
            node.peer.zone.value = "zone-" + std::to_string(i % zones);
            m_living.alive.insert(node.peer.writer);
            MirrorHolderOptions holding;
            holding.capacity = options.fault == UsageFault::smallHolders ? 3 : holding.capacity;
            node.segments = std::make_unique<UsageSegments>(node.peer.writer, UsageSegmentsOptions {}, clock);
            node.mirror = std::make_unique<UsageMirror>(options.mirror, clock, m_living, *node.segments);
            node.holder = std::make_unique<MirrorHolder>(holding, clock, m_living, *node.segments);
        }
    }

    // Runs ten seconds with requests and faults, then a quiet time.
    void run()
    {
        for (std::size_t i = 0; i < requests; ++i)
            events.after(std::chrono::milliseconds(below(random, 10'000)), [this] { finishRequest(*m_nodes[below(random, instances)]); });
        for (std::size_t i = 0; i < instances; ++i)
            tick(*m_nodes[i]);
        for (std::size_t i = 0; i < 6; ++i)
            events.after(std::chrono::milliseconds(below(random, 9'000)), [this] { inject(); });
        const auto when = std::chrono::milliseconds(6'000 + below(random, 4'000));
        if (m_options.kill == UsageKill::holderThenOriginAndHolder)
            events.after(when - std::chrono::milliseconds(5'000), [this] { kill(2); });
        if (m_options.kill >= UsageKill::origin) {
            events.after(when, [this] { kill(0); });
            for (std::size_t i = 0; i < requestsAtKill; ++i) // So that every instant of a record meets a kill.
                events.after(when - std::chrono::microseconds(below(random, 6'000)), [this] { finishRequest(*m_nodes[0]); });
        }
        if (m_options.kill >= UsageKill::originAndHolder)
            events.after(when, [this] { kill(1); });
        events.runUntil(events.now() + std::chrono::seconds(13));
        store.faults = {};
        m_loss = 0;
        events.runUntil(events.now() + std::chrono::seconds(30));
    }

    // Returns how many lines the living instances still hold for others.
    std::size_t held() const
    {
        std::size_t lines = 0;
        for (const auto& node : m_nodes)
            lines += node->alive ? node->holder->held() : 0;
        return lines;
    }

    static constexpr std::size_t instances = 6;
    static constexpr std::size_t zones = 4;
    static constexpr std::size_t requests = 120;
    static constexpr std::size_t requestsAtKill = 10; // In the last milliseconds of the origin.

    FakeClock clock;
    EventQueue events { clock };
    Random random;
    SlowStore store;
    std::set<std::string> recorded; // Identities that an instance began to record.
    std::set<std::string> completed; // Identities whose answer left whole.
    std::uint64_t mirrored = 0;
    std::uint64_t durableFirst = 0;
    std::uint64_t kills = 0;
    std::uint64_t messagesLost = 0;

private:
    struct Node {
        MirrorPeer peer;
        bool alive = true;
        SteadyTime pausedUntil {};
        std::optional<SteadyTime> wakesAt;
        std::unique_ptr<UsageSegments> segments;
        std::unique_ptr<UsageMirror> mirror;
        std::unique_ptr<MirrorHolder> holder;
        std::map<std::uint64_t, std::string> recording; // Identities by number.
    };

    void onNode(Node& node, std::chrono::nanoseconds delay, std::function<void()> action)
    {
        events.after(delay, [this, &node, action = std::move(action)] {
            if (node.alive && node.pausedUntil > events.now())
                onNode(node, node.pausedUntil - events.now(), action);
            else if (node.alive)
                action();
        });
    }

    void tick(Node& node)
    {
        node.mirror->tick();
        node.holder->tick();
        drive(node);
        onNode(node, std::chrono::milliseconds(50), [this, &node] { tick(node); });
    }

    void finishRequest(Node& node)
    {
        onNode(node, std::chrono::nanoseconds(0), [this, &node] {
            UsageLine line;
            line.request = { 1, ++m_lastRequest };
            line.identity = toText(line.request);
            line.customer.value = "faculty";
            line.item = "report-7b";
            line.billedUnits = 10;
            line.innerUnits = 13;
            line.attempts = 2;
            recorded.insert(line.identity);
            if (m_options.planted == PlantedUsageFault::answerBeforeMirror)
                completed.insert(line.identity);
            const auto number = node.mirror->record(line, peersOf(node));
            if (number)
                node.recording[*number] = line.identity;
            drive(node);
        });
    }

    std::vector<MirrorPeer> peersOf(const Node& node)
    {
        std::vector<MirrorPeer> peers;
        const std::size_t first = below(random, instances);
        for (std::size_t i = 0; i < instances; ++i) {
            const Node& other = *m_nodes[(first + i) % instances];
            if (other.peer.zone != node.peer.zone && m_living.isAlive(other.peer.writer))
                peers.push_back(other.peer);
        }
        return peers;
    }

    void drive(Node& node)
    {
        while (const auto send = node.mirror->nextSend())
            message(node, *send);
        while (const auto release = node.mirror->nextRelease())
            this->release(node, *release);
        if (const auto call = node.segments->nextStoreCall())
            send(node, *call);
        for (auto item = node.recording.begin(); item != node.recording.end();) {
            const auto result = node.mirror->take(item->first);
            if (!result) {
                ++item;
                continue;
            }
            if (result->how) {
                completed.insert(item->second);
                ++(result->how->starts_with("mirrored") ? mirrored : durableFirst);
            }
            item = node.recording.erase(item);
        }
        wakeWhenDue(node);
    }

    // Drives the node when its mirror says that something is due.
    void wakeWhenDue(Node& node)
    {
        const auto due = node.mirror->nextDue();
        if (!due || (node.wakesAt && *node.wakesAt <= *due))
            return;
        node.wakesAt = due;
        onNode(node, std::max(*due - events.now(), std::chrono::nanoseconds(0)), [this, &node, due] {
            if (node.wakesAt == due)
                node.wakesAt.reset();
            node.mirror->tick();
            drive(node);
        });
    }

    void send(Node& node, const StoreCall& call)
    {
        store.call(call, [this, &node, call](const StoreReply& reply) {
            onNode(node, std::chrono::nanoseconds(0), [this, &node, call, reply] {
                node.segments->onReply(call, reply);
                node.mirror->tick();
                drive(node);
            });
        });
    }

    Node* nodeOf(const MirrorPeer& peer)
    {
        for (const auto& node : m_nodes) {
            if (node->peer == peer)
                return node.get();
        }
        return nullptr;
    }

    bool lost()
    {
        const bool lostNow = m_loss > 0 && uniform(random) < m_loss;
        messagesLost += lostNow ? 1 : 0;
        return lostNow;
    }

    std::chrono::microseconds networkDelay() { return std::chrono::microseconds(500 + below(random, 1'500)); }

    // A lost message or reply is a call that times out.
    void message(Node& from, const MirrorSend& send)
    {
        const auto answer = [this, &from, send](bool held, std::chrono::nanoseconds delay) {
            const bool claimed = held || m_options.planted == PlantedUsageFault::trustUnsentMirror;
            onNode(from, delay, [this, &from, send, claimed] {
                from.mirror->onSent(send, claimed);
                drive(from);
            });
        };
        Node& to = *nodeOf(send.peer);
        if (lost() || !to.alive)
            return answer(false, callTimeout);
        onNode(to, networkDelay(), [this, &from, &to, send, answer] {
            const bool held = to.holder->hold(from.peer.writer, send.lines);
            if (lost())
                answer(false, callTimeout);
            else
                answer(held, networkDelay());
        });
    }

    void release(Node& from, const MirrorRelease& release)
    {
        Node& to = *nodeOf(release.peer);
        if (!lost())
            onNode(to, networkDelay(), [&to, writer = from.peer.writer, through = release.through] { to.holder->release(writer, through); });
    }

    void inject()
    {
        Node& node = *m_nodes[below(random, instances)];
        const auto span = std::chrono::milliseconds(500 + below(random, 3'000));
        const auto spell = [this, span](double& probability, double value) {
            probability = value;
            events.after(span, [&probability] { probability = 0; });
        };
        switch (m_options.fault) {
        case UsageFault::none:
        case UsageFault::smallHolders:
            return;
        case UsageFault::storeDown:
            return spell(store.faults.down, 1);
        case UsageFault::storeSlow:
            store.faults.slow = true;
            return events.after(span, [this] { store.faults.slow = false; });
        case UsageFault::lostReply:
            return spell(store.faults.lostReply, 0.5);
        case UsageFault::ghostWrite:
            return spell(store.faults.ghost, 0.5);
        case UsageFault::pause:
            node.pausedUntil = events.now() + span;
            return;
        case UsageFault::networkLoss:
            return spell(m_loss, 0.4);
        case UsageFault::falseSuspicion:
            m_living.alive.erase(node.peer.writer);
            events.after(span, [this, &node] {
                if (node.alive)
                    m_living.alive.insert(node.peer.writer);
            });
        }
    }

    // The others know of it two seconds later.
    void kill(std::size_t index)
    {
        Node& node = *m_nodes[index];
        node.alive = false;
        ++kills;
        events.after(std::chrono::seconds(2), [this, &node] { m_living.alive.erase(node.peer.writer); });
    }

    static constexpr std::chrono::milliseconds callTimeout { 200 };

    const UsageWorldOptions m_options;
    FakeLiveWriters m_living;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::uint64_t m_lastRequest = 0;
    double m_loss = 0;
};

}
