// A fleet of instances on a FakeNetwork: the real Membership and ConfigurationSpread of each, on a steady clock of
// its own, and a store that can be cut off. Tests and the bench of the membership use it.
#pragma once

#include "whinyard/base/Metrics.h"
#include "whinyard/peer/Acceptance.h"
#include "whinyard/peer/Codec.h"
#include "whinyard/peer/ConfigurationSpread.h"
#include "whinyard/peer/FakeNetwork.h"
#include "whinyard/peer/Membership.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::peer {

struct FleetOptions {
    std::size_t size = 6;
    std::size_t zones = 4;
    bool doesSeal = false; // Whether datagrams pass the codec, or go as they are.
    std::chrono::milliseconds watchTimeout { 500 };
    std::chrono::milliseconds callTimeout { 500 };
    MembershipOptions membership;
    SpreadOptions spread;
};

class FakeFleet {
public:
    struct Node {
        std::size_t index = 0;
        InstanceName name;
        Incarnation incarnation;
        std::chrono::microseconds clockOffset { 0 };
        std::unique_ptr<HybridClock> hybridClock;
        std::unique_ptr<ConfigurationSpread> spread;
        std::unique_ptr<Membership> membership;
        std::unique_ptr<Codec> codec;
        std::shared_ptr<const MembershipView> view; // That the spread knows.
        std::uint64_t timer = 0;
        bool isRunning = false;
        std::uint64_t datagrams = 0; // Sent.
        std::uint64_t bytes = 0; // Sent, if they pass the codec.
    };

    FakeFleet(const FleetOptions& options, std::uint64_t seed)
        : network(clock, seed)
        , m_options(options)
        , m_random(seed * 2 + 1)
        , m_nodes(options.size)
    {
        for (std::size_t index = 0; index < options.size; ++index) {
            m_nodes[index].index = index;
            m_nodes[index].name = { "entry-" + std::to_string(1'000 + index) };
            m_indices[m_nodes[index].name] = index;
        }
        for (std::size_t index = 0; index < options.size; ++index)
            start(index);
    }

    FakeClock clock;
    FakeNetwork network;
    Metrics metrics;
    bool isStoreUp = true;
    std::set<std::size_t> cutFromStore;
    std::uint64_t storeCalls = 0;
    std::function<void(const Node&)> afterStep; // Called after each thing that a node did.

    std::size_t size() const { return m_nodes.size(); }
    Node& node(std::size_t index) { return m_nodes[index]; }
    std::uint64_t storeRevision() const { return m_storeRevision; }
    SteadyTime localNow(const Node& node) const { return clock.now() + node.clockOffset; }
    Standing standing(std::size_t index) { return m_nodes[index].spread->standing(localNow(m_nodes[index])); }

    // Starts or restarts an instance, which then knows nothing but its seeds: six, as settings name them.
    void start(std::size_t index)
    {
        network.kill(index);
        network.revive(index);
        Node& node = m_nodes[index];
        node.incarnation = { static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(clock.wallNow().time_since_epoch()).count()) + index + 1 };
        node.clockOffset = std::chrono::microseconds(below(m_random, 1'000'000'000));
        node.hybridClock = std::make_unique<HybridClock>(clock);
        node.spread = std::make_unique<ConfigurationSpread>(node.name, zoneOf(index), m_options.spread, m_random(), localNow(node));
        const MemberUpdate self { node.name, node.incarnation, 0, Liveness::alive, false, zoneOf(index), addressOf(index), 0 };
        node.membership = std::make_unique<Membership>(self, m_options.membership, m_random(), *node.spread, *node.hybridClock);
        if (m_options.doesSeal)
            node.codec = std::make_unique<Codec>(Sender { node.name, node.incarnation }, std::vector<PeerKey> { { 1, "a key of this fleet" } }, clock, metrics);
        std::vector<Contact> seeds;
        for (std::size_t seed = 0; seed < std::min<std::size_t>(6, m_nodes.size()); ++seed)
            seeds.push_back({ m_nodes[seed].name, addressOf(seed) });
        node.membership->setContacts(seeds);
        std::vector<InstanceName> instances;
        for (const Node& other : m_nodes)
            instances.push_back(other.name);
        node.spread->setInstances(instances);
        node.isRunning = true;
        for (const auto after : { std::chrono::milliseconds(500), std::chrono::milliseconds(5'500), std::chrono::milliseconds(35'500) })
            network.at(clock.now() + after, index, [this, &node] { copyMembers(node); });
        schedule(node);
    }

    void kill(std::size_t index)
    {
        network.kill(index);
        m_nodes[index].isRunning = false;
    }

    void leave(std::size_t index)
    {
        std::vector<Outgoing> out;
        m_nodes[index].membership->leave(localNow(m_nodes[index]), out);
        send(m_nodes[index], out);
    }

    // Writes a new revision to the store.
    void commit()
    {
        ++m_storeRevision;
        const std::vector<std::function<void()>> waiting = std::move(m_watches);
        m_watches.clear();
        for (const auto& wake : waiting)
            wake();
    }

    // Asks all instances again and again, from node `asker`, until the revision is accepted or `asker` stops;
    // then calls `accepted`.
    void confirm(std::size_t asker, std::uint64_t revision, const std::function<void()>& accepted)
    {
        std::vector<InstanceName> instances;
        for (const Node& node : m_nodes)
            instances.push_back(node.name);
        auto tracker = std::make_shared<AcceptanceTracker>(revision, instances);
        askAll(asker, revision, tracker, accepted);
    }

    // Returns how many of the running nodes see `index` in `state`; nothing stands for not at all.
    std::size_t countSeeing(std::size_t index, std::optional<MemberState> state)
    {
        std::size_t count = 0;
        for (Node& node : m_nodes) {
            if (!node.isRunning || node.index == index)
                continue;
            const Member* member = findMember(*node.membership->view(), m_nodes[index].name);
            count += (member ? std::optional(member->state) : std::nullopt) == state ? 1 : 0;
        }
        return count;
    }

    std::size_t running() const
    {
        return static_cast<std::size_t>(std::count_if(m_nodes.begin(), m_nodes.end(), [](const Node& node) { return node.isRunning; }));
    }

    // Returns whether every running node sees all running nodes and no others.
    bool isSettled()
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [this](Node& node) {
            if (!node.isRunning)
                return true;
            const auto view = node.membership->view();
            const auto isRight = [this](const Member& member) { return member.state == MemberState::alive && m_nodes[m_indices.at(member.name)].isRunning; };
            return view->members.size() == running() && std::all_of(view->members.begin(), view->members.end(), isRight);
        });
    }

    // Returns whether every running node sees all running nodes, suspects included, and no others.
    bool isComplete()
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [this](Node& node) {
            if (!node.isRunning)
                return true;
            const auto view = node.membership->view();
            const auto runs = [this](const Member& member) { return m_nodes[m_indices.at(member.name)].isRunning; };
            return view->members.size() == running() && std::all_of(view->members.begin(), view->members.end(), runs);
        });
    }

    // Runs until `condition` holds, looking every `step`; returns the time it took, or nothing after `limit`.
    std::optional<std::chrono::milliseconds> runUntil(const std::function<bool()>& condition, std::chrono::milliseconds limit, std::chrono::milliseconds step = std::chrono::milliseconds(50))
    {
        for (std::chrono::milliseconds passed { 0 }; passed <= limit; passed += step) {
            if (condition())
                return passed;
            network.runFor(step);
        }
        return std::nullopt;
    }

private:
    static constexpr std::chrono::microseconds storeDelay { 1'500 }; // One way.

    ZoneName zoneOf(std::size_t index) const { return { "zone-" + std::to_string(index % m_options.zones) }; }
    static net::Address addressOf(std::size_t index) { return { "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1), 4000 }; }

    void schedule(Node& node)
    {
        const std::uint64_t timer = ++node.timer;
        const SteadyTime due = std::max(node.membership->due() - node.clockOffset, clock.now());
        network.at(due, node.index, [this, &node, timer] {
            if (timer == node.timer)
                tick(node);
        });
    }

    void tick(Node& node)
    {
        std::vector<Outgoing> out;
        node.membership->tick(localNow(node), out);
        send(node, out);
        act(node);
        schedule(node);
    }

    void receive(Node& node, const Sender& sender, const Heartbeat& heartbeat)
    {
        std::vector<Outgoing> out;
        node.membership->receive(sender, heartbeat, localNow(node), out);
        send(node, out);
        act(node);
    }

    void act(Node& node)
    {
        const auto view = node.membership->view();
        if (view != node.view) {
            node.view = view;
            node.spread->setView(*view);
        }
        if (node.spread->takeStoreCall(localNow(node)))
            callStore(node);
        if (const std::optional<InstanceName> from = node.spread->takeFetch(localNow(node)))
            fetch(node, *from);
        if (afterStep)
            afterStep(node);
    }

    void send(Node& node, const std::vector<Outgoing>& out)
    {
        const Sender sender { node.name, node.incarnation };
        for (const Outgoing& outgoing : out) {
            ++node.datagrams;
            Node& target = m_nodes[m_indices.at(outgoing.recipient)];
            if (!node.codec) {
                network.send(node.index, target.index, [this, &target, sender, heartbeat = outgoing.heartbeat] { receive(target, sender, heartbeat); });
                continue;
            }
            const std::optional<std::string> bytes = node.codec->seal(outgoing.recipient, outgoing.heartbeat);
            if (!bytes) {
                metrics.add("unsealed");
                continue;
            }
            node.bytes += bytes->size();
            network.send(node.index, target.index, [this, &target, bytes = *bytes] {
                if (const auto opened = target.codec->openHeartbeat(bytes))
                    receive(target, opened->sender, opened->heartbeat);
            });
        }
    }

    // A watch: answers when the store has more than the node holds, or when its timeout passes.
    void callStore(Node& node)
    {
        ++storeCalls;
        const SteadyTime startedAt = localNow(node);
        auto isDone = std::make_shared<bool>(false);
        const Incarnation life = node.incarnation;
        const auto answer = [this, &node, startedAt, isDone, life] {
            if (*isDone || node.incarnation != life)
                return;
            *isDone = true;
            const std::uint64_t revision = m_storeRevision;
            network.at(clock.now() + storeDelay, node.index, [this, &node, startedAt, revision] {
                if (reachesStore(node))
                    node.spread->storeAnswered(startedAt, revision, recordOf(revision), localNow(node));
                else
                    node.spread->storeFailed(localNow(node));
                act(node);
            });
        };
        if (!reachesStore(node)) {
            network.at(clock.now() + m_options.callTimeout, node.index, [this, &node] {
                node.spread->storeFailed(localNow(node));
                act(node);
            });
            return;
        }
        if (m_storeRevision > node.spread->held()) {
            answer();
            return;
        }
        m_watches.push_back(answer);
        network.at(clock.now() + m_options.watchTimeout, node.index, answer);
    }

    bool reachesStore(const Node& node) const { return isStoreUp && !cutFromStore.contains(node.index); }
    static std::string recordOf(std::uint64_t revision) { return revision == 0 ? std::string() : "record " + std::to_string(revision); }

    // Calls `answer` with what `target` returned, or with nothing after the timeout.
    void call(Node& node, std::size_t target, const FetchConfiguration& request, const std::function<void(const FetchConfigurationAnswer*)>& answer)
    {
        auto isDone = std::make_shared<bool>(false);
        const auto finish = [answer, isDone](const FetchConfigurationAnswer* result) {
            if (!*isDone)
                answer(result);
            *isDone = true;
        };
        network.at(clock.now() + m_options.callTimeout, node.index, [finish] { finish(nullptr); });
        if (!network.connects(node.index, target))
            return;
        network.at(clock.now() + network.delay(), target, [this, &node, target, request, finish] {
            Node& other = m_nodes[target];
            const FetchConfigurationAnswer result = other.spread->answer(request, other.incarnation, localNow(other));
            if (other.isRunning && network.connects(node.index, target))
                network.at(clock.now() + network.delay(), node.index, [finish, result] { finish(&result); });
        });
    }

    // Copies the member table of another instance, as PeerService does.
    void copyMembers(Node& node)
    {
        const auto members = node.membership->view()->members;
        const std::size_t target = members.empty() ? node.index : m_indices.at(members[below(m_random, members.size())].name);
        if (target == node.index || !network.connects(node.index, target))
            return;
        network.at(clock.now() + network.delay(), target, [this, &node, target] {
            network.at(clock.now() + network.delay(), node.index, [this, &node, updates = m_nodes[target].membership->updates()] {
                node.membership->copy(updates, localNow(node));
                act(node);
            });
        });
    }

    void fetch(Node& node, const InstanceName& from)
    {
        const SteadyTime startedAt = localNow(node);
        call(node, m_indices.at(from), { node.spread->held() }, [this, &node, from, startedAt](const FetchConfigurationAnswer* answer) {
            if (answer)
                node.spread->fetched(from, startedAt, *answer, localNow(node));
            else
                node.spread->fetchFailed(from, localNow(node));
            act(node);
        });
    }

    void askAll(std::size_t asker, std::uint64_t revision, const std::shared_ptr<AcceptanceTracker>& tracker, const std::function<void()>& accepted)
    {
        if (tracker->status().accepted) {
            accepted();
            return;
        }
        Node& node = m_nodes[asker];
        tracker->take({ node.name, node.incarnation }, node.spread->held(), clock.now(), clock.now());
        for (std::size_t target = 0; target < m_nodes.size(); ++target) {
            if (target == asker)
                continue;
            const SteadyTime askedAt = clock.now();
            call(node, target, { revision }, [this, target, askedAt, tracker](const FetchConfigurationAnswer* answer) {
                if (answer)
                    tracker->take({ m_nodes[target].name, answer->incarnation }, answer->revision, askedAt, clock.now());
            });
        }
        network.at(clock.now() + std::chrono::milliseconds(100), asker, [=, this] { askAll(asker, revision, tracker, accepted); });
    }

    const FleetOptions m_options;
    Random m_random;
    std::vector<Node> m_nodes;
    std::map<InstanceName, std::size_t> m_indices;
    std::uint64_t m_storeRevision = 1;
    std::vector<std::function<void()>> m_watches;
};

}
