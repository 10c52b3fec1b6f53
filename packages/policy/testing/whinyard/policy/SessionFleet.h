// Instances that run orders of one service, one after the other, before clients of which some send sessions, on a virtual clock: which
// requests of a session change their version when they must not, and how many a target gets.
//
// The instances tell each other of sessions and counts, and write the shared record, as the daemon does.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/policy/VersionShift.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::policy::testing {

using namespace std::chrono_literals;

struct FleetOrder {
    std::chrono::milliseconds at { 0 };
    std::chrono::milliseconds period { 12'000 };
    // Of the target's requests, by the time since the order and by how many run at the endpoint.
    std::function<double(std::chrono::milliseconds, std::size_t)> failure = [](std::chrono::milliseconds, std::size_t) { return 0.0; };
    bool isSound = true;
};

struct SessionLoad {
    std::size_t instances = 9;
    double requestsPerSecond = 35;
    double sessionShare = 0.25; // Of the requests.
    double sessionLength = 4; // Requests of a session in the mean.
    std::chrono::milliseconds shortestGap { 200 }; // From an answer to the session's next request.
    std::chrono::milliseconds longestGap { 6'000 };
    std::chrono::milliseconds workTime { 60 };
    std::size_t endpoints = 4; // Of each version.
    std::chrono::milliseconds heardWithin { 100 }; // Within which instances hear of an order.
    std::chrono::milliseconds listedAfterEnd { 1'800 }; // Endpoints of a version that a completed order replaced.
    std::vector<FleetOrder> orders { FleetOrder {} };
    ShiftSettings settings;
    std::uint64_t seed = 1;
};

// What came of one order.
struct OrderResult {
    ShiftState state = ShiftState::running; // In the store.
    std::chrono::milliseconds decidedAt { 0 }; // Since the order.
    std::size_t requests = 0; // Of its period.
    std::size_t withSession = 0; // Of them.
    std::size_t exposed = 0; // Of them, to the target.
};

class SessionFleet {
public:
    explicit SessionFleet(SessionLoad load)
        : m_load(std::move(load))
        , m_random(m_load.seed)
        , results(m_load.orders.size())
        , m_records(m_load.orders.size())
        , m_instances(m_load.instances)
    {
        for (Instance& instance : m_instances) {
            ShiftSettings settings = m_load.settings;
            settings.life = m_random();
            instance.shifts = std::make_unique<VersionShifts>(settings);
        }
    }

    // Runs until the last order's period has ended.
    void run()
    {
        const std::chrono::milliseconds end = m_load.orders.back().at + m_load.orders.back().period;
        // Sessions are under way, and what is usual is known, before the first order.
        for (m_at = -15s; m_at < end; m_at += 1ms) {
            for (std::size_t i = 0; i < m_load.orders.size(); ++i) {
                if (m_at == m_load.orders[i].at)
                    order(i);
            }
            while (!m_events.empty() && m_events.top().at <= m_at) {
                const std::function<void()> run = m_events.top().run;
                m_events.pop();
                run();
            }
            arrive();
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                turn(i);
        }
    }

    // Requests of a session, less than the session's gap after the one before, that ran on another version than that one: on the target in
    // the first half of its order, or on an older version though the target is sound and isn't rolled back.
    std::size_t violations = 0;

private:
    static constexpr std::chrono::milliseconds way { 3 };
    static constexpr std::chrono::milliseconds verdictSpread { 300 };
    static constexpr std::chrono::milliseconds runningSpread { 1'200 };
    static constexpr std::chrono::milliseconds turnTime { 150 }; // With as much again at random.
    static constexpr std::chrono::milliseconds pinInterval { 50 };

    struct Instance {
        std::unique_ptr<VersionShifts> shifts;
        std::chrono::milliseconds turnAt { 0 };
        std::chrono::milliseconds pinsAt { 0 };
        std::optional<ShiftState> planned;
        std::chrono::milliseconds writeAt { 0 };
        std::chrono::milliseconds toldAt { -500 };
        std::uint64_t toldTargets = 0;
    };

    struct Client {
        std::uint64_t digest = 0;
        std::size_t left = 0; // Requests that it has still to send.
        std::size_t version = 0; // Of its last request.
        std::optional<std::chrono::milliseconds> endedAt;
    };

    struct Event {
        std::chrono::milliseconds at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event& other) const { return std::pair(at, number) > std::pair(other.at, other.number); }
    };

    struct Stored {
        std::uint64_t revision = 0;
        ShiftRecord record;
        std::optional<std::chrono::milliseconds> completedAt;
    };

    SteadyTime now() const { return SteadyTime(1h) + m_at; }
    void later(std::chrono::milliseconds after, std::function<void()> run) { m_events.push({ m_at + after, m_number++, std::move(run) }); }
    std::chrono::milliseconds drawn(std::chrono::milliseconds bound) { return std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(bound.count()))); }
    Revision revisionOf(std::size_t order) const { return 10 * (order + 1); }
    // The versions are numbered from 0; an order's target is its number and 1.
    static std::string nameOf(std::size_t version) { return "v" + std::to_string(version + 1); }
    ShiftOrder shiftOrder(std::size_t order) const { return { m_service, nameOf(order + 1), m_load.orders[order].period, revisionOf(order) }; }

    void order(std::size_t number)
    {
        m_current = number;
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            later(drawn(m_load.heardWithin), [this, i, number] { m_instances[i].shifts->takeOrder(shiftOrder(number), now()); });
    }

    std::vector<std::string> available() const
    {
        std::vector<std::string> versions;
        const std::size_t newest = m_current ? *m_current + 1 : 0;
        for (std::size_t version = 0; version <= newest; ++version) {
            const bool isReplaced = version < m_load.orders.size() && m_records[version].completedAt && m_at - *m_records[version].completedAt >= m_load.listedAfterEnd;
            if (!isReplaced)
                versions.push_back(nameOf(version));
        }
        return versions;
    }

    void arrive()
    {
        if (uniform(m_random) < m_load.requestsPerSecond * (1 - m_load.sessionShare) / 1'000)
            send(nullptr);
        if (uniform(m_random) < m_load.requestsPerSecond * m_load.sessionShare / m_load.sessionLength / 1'000) {
            const auto client = std::make_shared<Client>();
            client->digest = m_random();
            client->left = 1;
            while (uniform(m_random) < 1 - 1 / m_load.sessionLength)
                ++client->left;
            send(client);
        }
    }

    void send(const std::shared_ptr<Client>& client)
    {
        const std::size_t sender = below(m_random, m_instances.size());
        VersionShifts& shifts = *m_instances[sender].shifts;
        const std::uint64_t draw = client ? client->digest : m_random();
        const std::vector<std::string> preferred = shifts.prefer(m_service, client != nullptr, draw, available(), now()).versions;
        if (preferred.empty())
            return;
        const std::string& name = preferred.front();
        const std::size_t version = std::stoul(name.substr(1)) - 1;
        count(client, version);
        if (client)
            shifts.noteSession(m_service, draw, name, now());
        VersionOutcome outcome;
        const std::chrono::milliseconds time = m_load.workTime / 2 + drawn(m_load.workTime);
        outcome.endpoint = { name + "-" + std::to_string(below(m_random, m_load.endpoints)) };
        std::size_t& running = m_running[outcome.endpoint.value];
        ++running;
        outcome.failed = m_current && version == *m_current + 1 && uniform(m_random) < m_load.orders[*m_current].failure(m_at - m_load.orders[*m_current].at, running);
        outcome.measure = "kind";
        outcome.time = outcome.failed ? std::chrono::microseconds(0) : time;
        outcome.expected = m_load.workTime;
        later(time, [this, sender, name, outcome, client] {
            --m_running[outcome.endpoint.value];
            m_instances[sender].shifts->recordOutcome(m_service, name, outcome, now());
            if (!client || --client->left == 0)
                return;
            client->endedAt = m_at;
            later(m_load.shortestGap + drawn(m_load.longestGap - m_load.shortestGap), [this, client] { send(client); });
        });
    }

    void count(const std::shared_ptr<Client>& client, std::size_t version)
    {
        if (m_current) {
            const FleetOrder& order = m_load.orders[*m_current];
            OrderResult& result = results[*m_current];
            const bool isTarget = version == *m_current + 1;
            if (m_at < order.at + order.period) {
                ++result.requests;
                result.withSession += client ? 1 : 0;
                result.exposed += isTarget ? 1 : 0;
            }
            const bool changes = client && client->endedAt && version != client->version && m_at - *client->endedAt < m_load.settings.sessionGap;
            const bool isForbidden = isTarget ? 2 * (m_at - order.at) < order.period : order.isSound && result.state != ShiftState::rolledBack;
            violations += changes && isForbidden ? 1 : 0;
        }
        if (client)
            client->version = version;
    }

    void turn(std::size_t index)
    {
        Instance& self = m_instances[index];
        if (m_at >= self.pinsAt) {
            self.pinsAt = m_at + pinInterval;
            const std::vector<std::uint64_t> pins = self.shifts->takePins(m_service);
            if (!pins.empty())
                toOthers(index, [this, pins](VersionShifts& shifts) { shifts.takePinned(m_service, pins, now()); });
        }
        if (m_at < self.turnAt)
            return;
        self.turnAt = m_at + turnTime + drawn(turnTime);
        const std::optional<ShiftRecord> due = self.shifts->due(m_service, now());
        if (!due)
            self.planned.reset();
        else if (self.planned != due->state) {
            self.planned = due->state;
            self.writeAt = m_at + drawn(due->state == ShiftState::running ? runningSpread : verdictSpread);
        }
        if (due && m_at >= self.writeAt)
            write(*due);
        tell(index);
    }

    void toOthers(std::size_t index, const std::function<void(VersionShifts&)>& run)
    {
        later(way, [this, index, run] {
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != index)
                    run(*m_instances[other].shifts);
            }
        });
    }

    void write(const ShiftRecord& record)
    {
        const std::size_t order = record.order.number / 10 - 1;
        later(way, [this, record, order, known = m_records[order].revision] {
            Stored& stored = m_records[order];
            OrderResult& result = results[order];
            if (known != stored.revision || result.state != ShiftState::running)
                return;
            ++stored.revision;
            stored.record = record;
            result.state = record.state;
            result.decidedAt = m_at - m_load.orders[order].at;
            if (record.state == ShiftState::completed)
                stored.completedAt = m_at;
            later(way, [this, record] {
                for (Instance& one : m_instances)
                    one.shifts->takeRecord(m_service, record, now());
            });
        });
    }

    void tell(std::size_t index)
    {
        Instance& self = m_instances[index];
        std::optional<ShiftEvidence> evidence = self.shifts->evidence(m_service);
        const std::chrono::milliseconds least = self.shifts->isDeciding(m_service, now()) ? 150ms : 500ms;
        const std::chrono::milliseconds interval = std::max<std::chrono::milliseconds>(least, 5ms * static_cast<int>(m_instances.size()));
        const bool hasTargets = evidence && evidence->failures.total() > self.toldTargets;
        if (!evidence || m_at - self.toldAt < (hasTargets ? interval : std::max<std::chrono::milliseconds>(interval, 1'000ms)))
            return;
        self.toldTargets = evidence->failures.total();
        self.toldAt = m_at;
        evidence->elapsed = self.shifts->elapsed(m_service, now());
        toOthers(index, [this, index, told = *evidence](VersionShifts& shifts) { shifts.takeEvidence(m_service, { "i" + std::to_string(index) }, told, now()); });
    }

    SessionLoad m_load;
    Random m_random;

public:
    std::vector<OrderResult> results; // By order.

private:
    const ServiceName m_service { "app" };
    std::vector<Stored> m_records; // By order.
    std::vector<Instance> m_instances;
    std::map<std::string, std::size_t> m_running; // By endpoint.
    std::priority_queue<Event> m_events;
    std::uint64_t m_number = 0;
    std::optional<std::size_t> m_current; // The order in force.
    std::chrono::milliseconds m_at { 0 };
};

}
