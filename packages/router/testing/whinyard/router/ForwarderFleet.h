// Several instances before one set of endpoints, on a virtual clock: who sent what when, and what each instance had been told.
#pragma once

#include "whinyard/base/Random.h"
#include "whinyard/policy/FleetNames.h"
#include "whinyard/router/ForwarderFakes.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::router {

// An endpoint that answers at once, and what it states in its answers.
struct FleetEndpoint {
    struct Arrival {
        std::size_t instance = 0;
        SteadyTime at;
    };

    std::optional<double> rate;
    std::vector<Arrival> arrivals;
    std::map<std::size_t, SteadyTime> toldAt; // When an answer first stated a rate to an instance.
};

class ForwarderFleet {
public:
    ForwarderFleet(std::size_t instances, std::size_t endpoints, std::uint64_t seed = 1)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < endpoints; ++i)
            m_endpoints.try_emplace("e" + std::to_string(i));
        for (std::size_t i = 0; i < instances; ++i) {
            m_benches.push_back(std::make_unique<ForwarderBench>(seed + 2 * i));
            bench(i).listEndpoints(endpointNames());
            bench(i).directory.useInstances(policy::instanceNamed(i), policy::instancesNamed(0, instances));
            bench(i).client.onCall = [this, i] { answer(i); };
        }
        for (std::size_t i = 0; i < instances; ++i)
            bench(i).forwarder.useRelays(relaysFor(i));
    }

    std::vector<std::string> endpointNames() const
    {
        std::vector<std::string> names;
        for (const auto& entry : m_endpoints)
            names.push_back(entry.first);
        return names;
    }

    std::size_t size() const { return m_benches.size(); }
    ForwarderBench& bench(std::size_t instance) { return *m_benches[instance]; }
    FleetEndpoint& endpoint(const std::string& name) { return m_endpoints.at(name); }
    SteadyTime now() const { return m_benches.front()->clock.now(); }

    // Lets time pass, in which the instances do what they do at intervals.
    void advance(std::chrono::nanoseconds duration)
    {
        for (const auto& bench : m_benches)
            bench->clock.advance(duration);
        if (m_isInCall || now() - m_tickedAt < tickInterval)
            return;
        m_tickedAt = now();
        for (const auto& bench : m_benches) {
            bench->forwarder.tick();
            bench->fibers.runStarted();
        }
    }

    // Lets so many requests a second come for `duration`, each at an instance that is drawn.
    void run(std::chrono::milliseconds duration, double perSecond)
    {
        for (std::chrono::milliseconds passed { 0 }; passed < duration; passed += step) {
            for (m_due += perSecond * std::chrono::duration<double>(step).count(); m_due >= 1; m_due -= 1)
                send(drawInstance ? drawInstance() : below(m_random, size()));
            advance(step);
            if (now() - m_toldAt >= tellInterval)
                tellNews();
        }
    }

    // Sends one request, and returns the status of its answer.
    int send(std::size_t instance)
    {
        const FakeResponder caller = bench(instance).send();
        served += caller.response.status == 200 ? 1 : 0;
        refused += caller.response.status == 503 ? 1 : 0;
        if (onAnswer)
            onAnswer(caller);
        return caller.response.status;
    }

    // Returns the most arrivals at the endpoint in any span of this length after `from`, of those that `counts` takes.
    std::size_t mostArrivals(const std::string& name, std::chrono::milliseconds span, SteadyTime from, const std::function<bool(const FleetEndpoint::Arrival&)>& counts)
    {
        std::size_t most = 0;
        std::deque<SteadyTime> recent;
        for (const FleetEndpoint::Arrival& arrival : endpoint(name).arrivals) {
            if (arrival.at < from || !counts(arrival))
                continue;
            recent.push_back(arrival.at);
            while (recent.front() + span <= arrival.at)
                recent.pop_front();
            most = std::max(most, recent.size());
        }
        return most;
    }

    // Has instances tell each other what they learnt, as daemons do; each notice is lost with this probability.
    void tellNews()
    {
        m_toldAt = now();
        for (std::size_t i = 0; i < size(); ++i) {
            bench(i).directory.refresh(now());
            for (const policy::RateReport& report : bench(i).directory.takeRateReports()) {
                for (std::size_t to = 0; report.isOwn && report.concernsAll() && to < size(); ++to)
                    tell(report.news, to);
                for (int few = 0; report.isOwn && !report.concernsAll() && few < 3; ++few)
                    tell(report.news, below(m_random, size()));
            }
        }
    }

    // How an instance that is partitioned from endpoints sees its connects fail.
    enum class Partition : std::uint8_t {
        none,
        refuses, // At once.
        hangs, // Until the time for connecting is over.
    };

    void partition(std::size_t instance, Partition how)
    {
        m_partitions[instance] = how;
        bench(instance).listening.answer = how == Partition::none ? net::Listening::yes : how == Partition::refuses ? net::Listening::no
                                                                                                                    : net::Listening::unknown;
    }

    std::size_t served = 0;
    std::size_t refused = 0;
    double lostNotices = 0;
    std::set<std::size_t> deaf; // Instances that no notice reaches.
    std::function<std::size_t()> drawInstance; // That the next request comes at; any one without it.
    std::function<void(const FakeResponder&)> onAnswer; // Sees what each caller gets.

private:
    static constexpr std::chrono::milliseconds step { 1 };
    static constexpr std::chrono::milliseconds tellInterval { 50 };
    static constexpr std::chrono::milliseconds tickInterval { 50 };
    static constexpr std::chrono::milliseconds relayConnectTimeout { 150 };

    static net::Address relayOf(std::size_t instance) { return { "10.1.0.1", static_cast<std::uint16_t>(instance) }; }

    std::map<InstanceName, net::Address> relaysFor(std::size_t instance) const
    {
        std::map<InstanceName, net::Address> relays;
        for (std::size_t i = 0; i < size(); ++i) {
            if (i != instance)
                relays[policy::instanceNamed(i)] = relayOf(i);
        }
        return relays;
    }

    void tell(const RateNews& news, std::size_t to)
    {
        if (!deaf.contains(to) && uniform(m_random) >= lostNotices)
            bench(to).directory.takeRateNews(news, now());
    }

    // Has the endpoint that the instance just called answer.
    void answer(std::size_t instance)
    {
        ForwarderBench& caller = bench(instance);
        caller.client.onCall = [this, instance] { answer(instance); };
        if (loseConnect(instance))
            return;
        FleetEndpoint& called = endpoint(std::string(net::fieldValue(caller.client.requests.back().fields, "endpoint")));
        called.arrivals.push_back({ instance, caller.clock.now() });
        endpoint::FakeExchange& exchange = caller.answer(200, { "whole" });
        if (!called.rate)
            return;
        exchange.head.fields.push_back({ "rate", std::to_string(*called.rate) });
        called.toldAt.try_emplace(instance, caller.clock.now());
    }

    Partition partitionOf(std::size_t instance) const
    {
        const auto found = m_partitions.find(instance);
        return found == m_partitions.end() ? Partition::none : found->second;
    }

    // Has the connect fail where the instance that makes it is partitioned: the one that calls, or its relay. Returns whether it does.
    bool loseConnect(std::size_t instance)
    {
        const net::HttpCallOptions& options = bench(instance).client.options.back();
        const std::size_t connecting = options.relay ? options.relay->port : instance;
        const Partition partition = partitionOf(connecting);
        if (partition == Partition::none)
            return false;
        const bool declines = options.relay && !bench(connecting).forwarder.reachesDirectly({ "svc" });
        if (partition == Partition::hangs && !declines) {
            m_isInCall = true;
            advance(options.relay ? std::min(relayConnectTimeout, options.connectTimeout) : options.connectTimeout);
            m_isInCall = false;
        }
        bench(instance).lose(0);
        bench(instance).client.exchanges.back().connect = declines ? net::ConnectOutcome::relayDeclined : partition == Partition::hangs ? net::ConnectOutcome::silent
                                                                                                                                        : net::ConnectOutcome::refused;
        return true;
    }

    Random m_random;
    std::map<std::size_t, Partition> m_partitions;
    std::vector<std::unique_ptr<ForwarderBench>> m_benches;
    std::map<std::string, FleetEndpoint> m_endpoints;
    double m_due = 0;
    SteadyTime m_toldAt;
    SteadyTime m_tickedAt;
    bool m_isInCall = false;
};

}
