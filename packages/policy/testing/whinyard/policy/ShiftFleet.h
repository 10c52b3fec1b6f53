// Instances that run one roll-out before two sets of endpoints, on a virtual clock: which verdict they come to, and how many
// requests the new version gets until then.
//
// The instances tell each other what they count and write the shared record as the daemon does: a verdict after a moment of their own,
// under the condition that nobody was first.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/policy/VersionShift.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::policy::testing {

using namespace std::chrono_literals;

// A request as an endpoint takes it.
struct ShiftRequest {
    std::size_t kind = 0;
    std::size_t endpoint = 0; // Of its version.
    std::size_t running = 0; // At the endpoint, this one included.
    std::chrono::milliseconds at { 0 }; // Since the order.
};

struct ShiftLoad {
    std::size_t instances = 9;
    double requestsPerSecond = 35;
    double clump = 3; // Requests that come together, in the mean.
    std::chrono::milliseconds workTime { 60 };
    std::size_t endpoints = 4; // Of each version.
    std::uint32_t slots = 6; // Of each endpoint.
    std::vector<double> kindShares { 0.72, 0.28 }; // Of the requests.
    std::vector<double> kindFailures { 0.004, 0.14 }; // By themselves, at any version.
    std::chrono::milliseconds period { 24'000 };
    ShiftSettings settings;
    // Beside a kind's own failures: the chance that a request fails, or that it takes ten times as long.
    std::function<double(const ShiftRequest&)> targetFailure = [](const ShiftRequest&) { return 0.0; };
    std::function<double(const ShiftRequest&)> targetSlowness = [](const ShiftRequest&) { return 0.0; };
    std::function<double(const ShiftRequest&)> anyFailure = [](const ShiftRequest&) { return 0.0; }; // At both versions.
    std::optional<std::chrono::milliseconds> patience {}; // After which callers give up; empty: never.
    double slowFactor = 10; // By which an answer that is slow takes longer.
    // When an endpoint of the target, or of the other version, ends for good, with the answers under way there.
    std::function<std::optional<std::chrono::milliseconds>(bool isTarget, std::size_t endpoint)> endOf = [](bool, std::size_t) { return std::nullopt; };
    // Instances that lose what they counted, one after the other.
    std::vector<std::chrono::milliseconds> restarts {};
    std::uint64_t seed = 1;
};

class ShiftFleet {
public:
    explicit ShiftFleet(ShiftLoad load)
        : m_load(std::move(load))
        , m_random(m_load.seed)
        , m_running { std::vector<std::size_t>(m_load.endpoints), std::vector<std::size_t>(m_load.endpoints) }
        , m_instances(m_load.instances)
    {
        for (Instance& instance : m_instances)
            start(instance);
    }

    // Runs the whole period.
    void run()
    {
        // What is usual is known before the order.
        for (m_at = -5s; m_at < m_load.period; m_at += 1ms) {
            if (m_at == 0ms)
                order();
            deliver();
            for (std::size_t i = 0; i < m_load.restarts.size(); ++i) {
                if (m_at == m_load.restarts[i])
                    restart(m_instances[i % m_instances.size()]);
            }
            arrive();
            if (m_at < 0ms)
                continue;
            for (std::size_t i = 0; i < m_instances.size(); ++i)
                turn(i);
        }
    }

    ShiftState state = ShiftState::running; // In the store.
    std::chrono::milliseconds decidedAt { 0 };
    std::size_t requests = 0; // Since the order.
    std::size_t exposed = 0; // Of them, to the target.
    std::string reason; // Of the state in the store.

private:
    static constexpr std::chrono::milliseconds way { 3 };
    static constexpr std::chrono::milliseconds lookTime { 50 };
    static constexpr std::chrono::milliseconds verdictSpread { 300 };
    static constexpr std::chrono::milliseconds turnTime { 150 }; // With as much again at random.

    struct Instance {
        std::unique_ptr<VersionShifts> shifts;
        std::chrono::milliseconds turnAt { 0 };
        std::optional<ShiftState> planned;
        std::chrono::milliseconds writeAt { 0 };
        std::chrono::milliseconds toldAt { -500 };
        std::uint64_t toldTargets = 0;
    };

    struct Delivery {
        std::chrono::milliseconds at;
        std::function<void()> run;
    };

    SteadyTime now() const { return SteadyTime(1h) + m_at; }
    void later(std::chrono::milliseconds after, std::function<void()> run) { m_deliveries.push_back({ m_at + after, std::move(run) }); }

    void start(Instance& instance)
    {
        ShiftSettings settings = m_load.settings;
        settings.life = m_random();
        instance = {};
        instance.shifts = std::make_unique<VersionShifts>(settings);
    }

    void restart(Instance& instance)
    {
        start(instance);
        instance.shifts->takeOrder({ m_service, "v2", m_load.period, orderRevision }, now());
        if (m_revision > 0)
            instance.shifts->takeRecord(m_service, m_record, now());
    }

    void order()
    {
        for (Instance& instance : m_instances)
            instance.shifts->takeOrder({ m_service, "v2", m_load.period, orderRevision }, now());
    }

    void deliver()
    {
        for (std::size_t i = 0; i < m_deliveries.size();) {
            if (m_deliveries[i].at > m_at) {
                ++i;
                continue;
            }
            const std::function<void()> run = std::move(m_deliveries[i].run);
            m_deliveries[i] = std::move(m_deliveries.back());
            m_deliveries.pop_back();
            run();
        }
    }

    void arrive()
    {
        // Clumps of geometric size.
        if (uniform(m_random) >= m_load.requestsPerSecond / 1'000 / m_load.clump)
            return;
        do
            send();
        while (uniform(m_random) < 1 - 1 / m_load.clump);
    }

    void send()
    {
        const std::size_t sender = below(m_random, m_instances.size());
        std::vector<std::string> versions;
        for (const std::string& version : state == ShiftState::completed ? std::vector<std::string> { "v2" } : std::vector<std::string> { "v1", "v2" }) {
            if (!endpointsUp(version).empty())
                versions.push_back(version);
        }
        const VersionPreference preference = m_instances[sender].shifts->prefer(m_service, false, m_random(), versions, now());
        if (preference.versions.empty())
            return; // It takes the target for bad, and the others have completed it; or nothing is left.
        const std::string& version = preference.versions.front();
        const std::size_t isTarget = version == "v2" ? 1 : 0;
        ShiftRequest request { .kind = drawKind(), .endpoint = drawEndpoint(version, preference.concentration), .running = 0, .at = m_at };
        request.running = ++m_running[isTarget][request.endpoint];
        if (m_at >= 0ms) {
            ++requests;
            exposed += isTarget;
        }
        const double fails = isTarget == 1 ? m_load.targetFailure(request) : 0;
        const double sound = (1 - m_load.kindFailures[request.kind]) * (1 - m_load.anyFailure(request)) * (1 - fails);
        const bool isSlow = isTarget == 1 && uniform(m_random) < m_load.targetSlowness(request);
        const auto time = std::chrono::milliseconds(static_cast<int>(m_load.workTime.count() * (isSlow ? m_load.slowFactor : 0.5 + uniform(m_random))));
        const std::optional<std::chrono::milliseconds> end = m_load.endOf(isTarget == 1, request.endpoint);
        const bool isLost = end && *end < m_at + time;
        const bool isGivenUp = !isLost && m_load.patience && time > *m_load.patience;
        VersionOutcome outcome;
        outcome.endpoint = { endpointName(version, request.endpoint) };
        outcome.failed = (uniform(m_random) >= sound && !isGivenUp) || isLost;
        outcome.wasGivenUp = isGivenUp;
        outcome.connectionLost = isLost;
        outcome.endpointEnded = isLost;
        outcome.measure = "kind " + std::to_string(request.kind);
        const std::chrono::milliseconds held = isGivenUp ? *m_load.patience : time;
        outcome.time = outcome.failed ? std::chrono::microseconds(0) : held;
        outcome.expected = m_load.workTime;
        outcome.held = held;
        const std::chrono::milliseconds endsAfter = isLost ? std::max(*end - m_at, 0ms) : held;
        const auto wasCountedSlow = std::make_shared<bool>(false);
        for (std::chrono::milliseconds after = lookTime; after < endsAfter; after += lookTime) {
            later(after, [this, sender, version, outcome, after, wasCountedSlow]() mutable {
                outcome.time = after;
                outcome.failed = false;
                *wasCountedSlow = *wasCountedSlow || m_instances[sender].shifts->recordWaiting(m_service, version, outcome, now());
            });
        }
        later(endsAfter, [this, sender, version, isTarget, endpoint = request.endpoint, outcome, wasCountedSlow]() mutable {
            --m_running[isTarget][endpoint];
            outcome.wasCountedSlow = *wasCountedSlow;
            m_instances[sender].shifts->recordOutcome(m_service, version, outcome, now());
        });
    }

    std::string endpointName(const std::string& version, std::size_t endpoint) const { return version + "-" + std::to_string(endpoint); }

    std::vector<std::size_t> endpointsUp(const std::string& version) const
    {
        std::vector<std::size_t> up;
        for (std::size_t i = 0; i < m_load.endpoints; ++i) {
            const std::optional<std::chrono::milliseconds> end = m_load.endOf(version == "v2", i);
            if (!end || m_at < *end)
                up.push_back(i);
        }
        return up;
    }

    std::size_t drawEndpoint(const std::string& version, const std::optional<LoadConcentration>& concentration)
    {
        const std::vector<std::size_t> up = endpointsUp(version);
        std::vector<PooledEndpoint> endpoints;
        for (std::size_t i = 0; concentration && i < up.size(); ++i)
            endpoints.push_back({ { endpointName(version, up[i]) }, {}, m_load.slots });
        const std::vector<EndpointName> chosen = concentration ? concentratedEndpoints(*concentration, endpoints) : std::vector<EndpointName>();
        if (chosen.empty())
            return up[below(m_random, up.size())];
        const EndpointName& name = chosen[below(m_random, chosen.size())];
        return up[static_cast<std::size_t>(std::find_if(endpoints.begin(), endpoints.end(), [&](const PooledEndpoint& endpoint) { return endpoint.name == name; }) - endpoints.begin())];
    }

    std::size_t drawKind()
    {
        double draw = uniform(m_random);
        for (std::size_t kind = 0; kind + 1 < m_load.kindShares.size(); ++kind) {
            if (draw < m_load.kindShares[kind])
                return kind;
            draw -= m_load.kindShares[kind];
        }
        return m_load.kindShares.size() - 1;
    }

    void turn(std::size_t index)
    {
        Instance& self = m_instances[index];
        if (m_at < self.turnAt)
            return;
        self.turnAt = m_at + turnTime + std::chrono::milliseconds(below(m_random, turnTime.count()));
        const std::optional<ShiftRecord> due = self.shifts->due(m_service, now());
        if (!due)
            self.planned.reset();
        else if (self.planned != due->state) {
            self.planned = due->state;
            self.writeAt = m_at + (due->state == ShiftState::running ? 4 : 1) * std::chrono::milliseconds(below(m_random, verdictSpread.count()));
        }
        if (due && m_at >= self.writeAt)
            write(*due, self.shifts.get(), m_revision);
        tell(index);
    }

    void write(const ShiftRecord& record, const VersionShifts* writer, std::uint64_t known)
    {
        later(way, [this, record, writer, known] {
            const bool isHere = std::any_of(m_instances.begin(), m_instances.end(), [&](const Instance& one) { return one.shifts.get() == writer; });
            if (!isHere || known != m_revision || state != ShiftState::running)
                return;
            ++m_revision;
            m_record = record;
            state = record.state;
            reason = record.reason;
            decidedAt = m_at;
            later(way, [this, record] {
                for (Instance& one : m_instances)
                    one.shifts->takeRecord(m_service, record, now());
            });
        });
    }

    void tell(std::size_t index)
    {
        Instance& self = m_instances[index];
        auto evidence = self.shifts->evidence(m_service);
        const std::chrono::milliseconds interval = std::max<std::chrono::milliseconds>(toldEvery(*self.shifts), 5ms * static_cast<int>(m_instances.size()));
        const bool hasTargets = evidence && evidence->failures.total() > self.toldTargets;
        if (!evidence || m_at - self.toldAt < (hasTargets ? interval : std::max<std::chrono::milliseconds>(interval, 1'000ms)))
            return;
        self.toldTargets = evidence->failures.total();
        self.toldAt = m_at;
        evidence->elapsed = self.shifts->elapsed(m_service, now());
        later(way, [this, index, evidence = *evidence] {
            for (std::size_t other = 0; other < m_instances.size(); ++other) {
                if (other != index)
                    m_instances[other].shifts->takeEvidence(m_service, { "i" + std::to_string(index) }, evidence, now());
            }
        });
    }

    std::chrono::milliseconds toldEvery(const VersionShifts& shifts) const { return shifts.isDeciding(m_service, now()) ? 150ms : 500ms; }

    static constexpr std::uint64_t orderRevision = 10;

    ShiftLoad m_load;
    Random m_random;
    const ServiceName m_service { "app" };
    std::vector<std::size_t> m_running[2]; // By version and endpoint.
    std::vector<Instance> m_instances;
    std::vector<Delivery> m_deliveries;
    ShiftRecord m_record;
    std::uint64_t m_revision = 0;
    std::chrono::milliseconds m_at { 0 };
};

}
