// Instances that carry out one order of a sound version and keep its record in a store whose answers are slow, lost or missing, on a
// virtual clock: when the completion stands.
//
// Each instance keeps the record as the daemon's keeper does: one call at a time, a revision that it must know, notices to the others,
// and a read of the store from time to time.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/policy/ShiftWrites.h"
#include "whinyard/policy/VersionShift.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::policy::testing {

using namespace std::chrono_literals;

// A write as the store takes it.
struct KeeperWrite {
    std::size_t number = 0; // Of all writes, from 0.
    std::size_t instance = 0;
    ShiftRecord record;
    std::chrono::milliseconds at { 0 }; // Since the order.
};

// What becomes of it.
struct WriteFate {
    bool isTaken = true;
    bool isAnswered = true;
    std::chrono::milliseconds delay { 3 }; // Each way.
};

struct KeeperLoad {
    std::size_t instances = 9;
    std::size_t followers = 2; // They read the record more often.
    double requestsPerSecond = 35;
    std::chrono::milliseconds period { 12'000 };
    std::chrono::milliseconds heardWithin { 100 }; // Within which instances hear of the order, after this:
    std::chrono::milliseconds heardAfter { 0 };
    double noticeLoss = 0;
    std::function<WriteFate(const KeeperWrite&)> fate = [](const KeeperWrite&) { return WriteFate {}; };
    std::function<bool(std::chrono::milliseconds)> isReadable = [](std::chrono::milliseconds) { return true; };
    std::optional<std::chrono::milliseconds> freezesWriterOfCompletion {}; // As it has sent the write, for so long.
    bool restartsWriterOfCompletion = false;
    std::chrono::milliseconds workTime { 60 };
    std::size_t endpoints = 4; // Of each version.
    // Endpoints of both versions that end, with the answers under way there, and come back at once; in a second and a half from then on.
    double endingShare = 0;
    std::chrono::milliseconds endsFrom { 0 };
    ShiftSettings settings;
    std::uint64_t seed = 1;
};

class KeeperFleet {
public:
    explicit KeeperFleet(KeeperLoad load)
        : m_load(std::move(load))
        , m_random(m_load.seed)
        , m_instances(m_load.instances)
    {
        for (Instance& instance : m_instances)
            start(instance);
    }

    // Runs until some seconds after the period's end.
    void run()
    {
        for (m_at = -8s; m_at < m_load.period + 10s; m_at += 1ms) {
            if (m_at == 0ms)
                order();
            while (!m_events.empty() && m_events.top().at <= m_at) {
                const std::function<void()> run = m_events.top().run;
                m_events.pop();
                run();
            }
            if (uniform(m_random) < m_load.requestsPerSecond / 1'000)
                send();
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                turn(i);
        }
    }

    ShiftState state = ShiftState::running; // In the store.
    std::chrono::milliseconds decidedAt { 0 }; // Since the order.
    std::string reason;
    std::size_t writes = 0;
    std::size_t conflicts = 0;

private:
    static constexpr std::chrono::milliseconds way { 3 };
    static constexpr std::chrono::milliseconds callTimeout { 1'000 };
    static constexpr std::chrono::milliseconds turnTime { 150 }; // With as much again at random.
    static constexpr std::chrono::milliseconds followerInterval { 3'000 };
    static constexpr std::chrono::milliseconds readInterval { 8'000 };
    static constexpr std::chrono::milliseconds readLook { 150 };
    static constexpr int noticeRepeats = 2;

    struct Notice {
        ShiftRecord record;
        std::uint64_t revision = 0;
        int left = 0;
    };

    struct Instance {
        std::uint64_t life = 0; // Tells a process from the one before it.
        std::unique_ptr<VersionShifts> shifts;
        bool hasOrder = false;
        std::uint64_t revision = 0; // Of the record, as far as it knows.
        std::chrono::milliseconds turnAt { 0 };
        std::chrono::milliseconds readAt { 0 };
        std::chrono::milliseconds lookAt { 0 };
        std::chrono::milliseconds frozenUntil { -100'000 };
        bool isCalling = false;
        ShiftWrites writes { Random() };
        std::chrono::milliseconds toldAt { -500 };
        std::uint64_t toldTargets = 0;
        std::vector<Notice> notices;
    };

    struct Event {
        std::chrono::milliseconds at;
        std::uint64_t number;
        std::function<void()> run;

        bool operator<(const Event& other) const { return std::pair(at, number) > std::pair(other.at, other.number); }
    };

    SteadyTime now() const { return SteadyTime(1h) + m_at; }
    void later(std::chrono::milliseconds after, std::function<void()> run) { m_events.push({ m_at + after, m_number++, std::move(run) }); }
    std::chrono::milliseconds drawn(std::chrono::milliseconds bound) { return std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(std::max<std::int64_t>(bound.count(), 1)))); }

    // At the instance, once it isn't frozen and unless its process has ended.
    void at(std::size_t index, std::chrono::milliseconds after, std::function<void(Instance&)> run)
    {
        later(after, [this, index, life = m_instances[index].life, run] {
            Instance& instance = m_instances[index];
            if (instance.life != life)
                return;
            if (m_at < instance.frozenUntil)
                at(index, instance.frozenUntil - m_at, run);
            else
                run(instance);
        });
    }

    void start(Instance& instance)
    {
        ShiftSettings settings = m_load.settings;
        settings.life = m_random();
        instance = {};
        instance.life = settings.life;
        instance.shifts = std::make_unique<VersionShifts>(settings);
        instance.writes = ShiftWrites(Random(settings.life));
    }

    void hear(Instance& instance)
    {
        instance.hasOrder = true;
        instance.readAt = m_at;
        instance.turnAt = m_at;
        instance.shifts->takeOrder({ m_service, "v2", m_load.period, orderRevision }, now());
    }

    void order()
    {
        for (std::size_t i = 0; i < m_instances.size(); ++i)
            at(i, m_load.heardAfter + drawn(m_load.heardWithin), [this](Instance& one) { hear(one); });
    }

    void send()
    {
        const std::size_t sender = below(m_random, m_instances.size());
        if (m_at < m_instances[sender].frozenUntil)
            return;
        const std::vector<std::string> versions = state == ShiftState::completed ? std::vector<std::string> { "v2" } : std::vector<std::string> { "v1", "v2" };
        const std::vector<std::string> preferred = m_instances[sender].shifts->prefer(m_service, false, m_random(), versions, now()).versions;
        if (preferred.empty())
            return;
        const std::string version = preferred.front();
        const std::size_t place = below(m_random, m_load.endpoints);
        const std::optional<std::chrono::milliseconds> end = endOf(version == "v2" ? m_load.endpoints + place : place);
        const std::chrono::milliseconds time = m_load.workTime / 2 + drawn(m_load.workTime);
        VersionOutcome outcome;
        outcome.endpoint = { version + "-" + std::to_string(place) };
        outcome.measure = "kind";
        outcome.endpointEnded = end && *end >= m_at && *end < m_at + time;
        outcome.failed = outcome.endpointEnded || uniform(m_random) < 0.01;
        outcome.connectionLost = outcome.endpointEnded;
        outcome.time = outcome.failed ? 0ms : time;
        outcome.expected = m_load.workTime;
        at(sender, outcome.endpointEnded ? *end - m_at : time, [this, version, outcome](Instance& one) { one.shifts->recordOutcome(m_service, version, outcome, now()); });
    }

    // The same for an endpoint in all of a play.
    std::optional<std::chrono::milliseconds> endOf(std::size_t endpoint) const
    {
        Random random(m_load.seed * 1'000 + endpoint);
        if (uniform(random) >= m_load.endingShare)
            return std::nullopt;
        return m_load.endsFrom + std::chrono::milliseconds(below(random, 1'500));
    }

    // Returns whether it is newer than what was known.
    bool take(Instance& instance, const ShiftRecord& record, std::uint64_t revision)
    {
        if (revision <= instance.revision)
            return false;
        instance.revision = revision;
        instance.writes.noteKnown(m_service);
        instance.shifts->takeRecord(m_service, record, now());
        return true;
    }

    void tellRecord(std::size_t index, const ShiftRecord& record, std::uint64_t revision)
    {
        m_instances[index].notices.push_back({ record, revision, noticeRepeats });
        broadcast(index, m_instances[index].notices.back());
    }

    void read(std::size_t index)
    {
        Instance& self = m_instances[index];
        if (m_at >= self.lookAt) {
            self.lookAt = m_at + readLook;
            if (self.writes.mustRead())
                self.readAt = m_at;
        }
        if (m_at < self.readAt)
            return;
        const bool isReadable = m_load.isReadable(m_at);
        self.readAt = m_at + (!isReadable ? readLook + drawn(readLook) : index < m_load.followers ? followerInterval
                                                                                                  : readInterval);
        if (!isReadable || m_revision == 0)
            return;
        at(index, 2 * way, [this, index, record = m_record, revision = m_revision](Instance& one) {
            const bool wasAsked = one.writes.noteRead();
            if (take(one, record, revision) && wasAsked)
                tellRecord(index, record, revision);
        });
    }

    void broadcast(std::size_t index, const Notice& notice)
    {
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            if (other != index && uniform(m_random) >= m_load.noticeLoss)
                at(other, way, [this, notice](Instance& one) { take(one, notice.record, notice.revision); });
        }
    }

    void turn(std::size_t index)
    {
        Instance& self = m_instances[index];
        if (!self.hasOrder || m_at < self.frozenUntil)
            return;
        read(index);
        if (m_at < self.turnAt || self.isCalling)
            return;
        self.turnAt = m_at + turnTime + drawn(turnTime);
        for (Notice& notice : self.notices) {
            broadcast(index, notice);
            --notice.left;
        }
        std::erase_if(self.notices, [](const Notice& notice) { return notice.left == 0; });
        self.writes.beginTurn();
        const std::optional<ShiftRecord> due = self.shifts->due(m_service, now());
        const std::optional<ShiftEvidence> evidence = self.shifts->evidence(m_service);
        tell(index, evidence);
        if (!due)
            self.writes.drop(m_service);
        else if (self.writes.isTime(m_service, due->state, now()))
            write(index, *due);
    }

    void write(std::size_t index, const ShiftRecord& record)
    {
        Instance& self = m_instances[index];
        const KeeperWrite write { writes++, index, record, m_at };
        const WriteFate fate = m_load.fate(write);
        self.isCalling = true;
        const auto fail = [this, index] {
            at(index, callTimeout, [this](Instance& one) {
                one.isCalling = false;
                one.writes.noteFailed(m_service, ErrorKind::storeUncertain);
            });
        };
        if (!fate.isTaken || !fate.isAnswered || 2 * fate.delay >= callTimeout)
            fail();
        const bool isAnswered = fate.isTaken && fate.isAnswered && 2 * fate.delay < callTimeout;
        if (fate.isTaken) {
            later(fate.delay, [this, index, record, isAnswered, delay = fate.delay, life = self.life, known = self.revision] {
                const bool isMet = known == m_revision && state == ShiftState::running;
                conflicts += isMet ? 0 : 1;
                if (isMet) {
                    ++m_revision;
                    m_record = record;
                    state = record.state;
                    reason = record.reason;
                    decidedAt = m_at;
                }
                if (!isAnswered || m_instances[index].life != life)
                    return;
                at(index, delay, [this, index, record, isMet, revision = m_revision](Instance& one) {
                    one.isCalling = false;
                    if (!isMet) {
                        one.writes.noteFailed(m_service, ErrorKind::swapConflict);
                        return;
                    }
                    one.writes.noteWritten(m_service);
                    take(one, record, revision);
                    tellRecord(index, record, revision);
                });
            });
        }
        if (record.state == ShiftState::completed && !m_isDisturbed) {
            m_isDisturbed = true;
            if (m_load.freezesWriterOfCompletion)
                self.frozenUntil = m_at + *m_load.freezesWriterOfCompletion;
            if (m_load.restartsWriterOfCompletion) {
                start(self);
                at(index, 1s, [this](Instance& one) { hear(one); });
            }
        }
    }

    void tell(std::size_t index, std::optional<ShiftEvidence> evidence)
    {
        Instance& self = m_instances[index];
        const std::chrono::milliseconds least = self.shifts->isDeciding(m_service, now()) ? 150ms : 500ms;
        const std::chrono::milliseconds interval = std::max<std::chrono::milliseconds>(least, 5ms * static_cast<int>(m_instances.size()));
        const bool hasTargets = evidence && evidence->failures.total() > self.toldTargets;
        if (!evidence || m_at - self.toldAt < (hasTargets ? interval : std::max<std::chrono::milliseconds>(interval, 1'000ms)))
            return;
        self.toldTargets = evidence->failures.total();
        self.toldAt = m_at;
        evidence->elapsed = self.shifts->elapsed(m_service, now());
        for (std::size_t other = 0; other < m_instances.size(); ++other) {
            if (other != index && uniform(m_random) >= m_load.noticeLoss)
                at(other, way, [this, index, told = *evidence](Instance& one) { one.shifts->takeEvidence(m_service, { "i" + std::to_string(index) }, told, now()); });
        }
    }

    static constexpr std::uint64_t orderRevision = 10;

    KeeperLoad m_load;
    Random m_random;
    const ServiceName m_service { "app" };
    std::vector<Instance> m_instances;
    std::priority_queue<Event> m_events;
    std::uint64_t m_number = 0;
    ShiftRecord m_record;
    std::uint64_t m_revision = 0;
    bool m_isDisturbed = false;
    std::chrono::milliseconds m_at { 0 };
};

}
