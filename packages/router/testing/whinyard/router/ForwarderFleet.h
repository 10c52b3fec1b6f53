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

    void advance(std::chrono::nanoseconds duration)
    {
        for (const auto& bench : m_benches)
            bench->clock.advance(duration);
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

    void partition(std::size_t instance, Partition how) { m_partitions[instance] = how; }

    std::size_t served = 0;
    std::size_t refused = 0;
    double lostNotices = 0;
    std::set<std::size_t> deaf; // Instances that no notice reaches.
    std::function<std::size_t()> drawInstance; // That the next request comes at; any one without it.
    std::function<void(const FakeResponder&)> onAnswer; // Sees what each caller gets.

private:
    static constexpr std::chrono::milliseconds step { 1 };
    static constexpr std::chrono::milliseconds tellInterval { 50 };

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

    // Has the connect fail where the instance is partitioned. Returns whether it does.
    bool loseConnect(std::size_t instance)
    {
        const auto found = m_partitions.find(instance);
        if (found == m_partitions.end() || found->second == Partition::none)
            return false;
        if (found->second == Partition::hangs)
            advance(bench(instance).client.options.back().connectTimeout);
        bench(instance).lose(0);
        return true;
    }

    Random m_random;
    std::map<std::size_t, Partition> m_partitions;
    std::vector<std::unique_ptr<ForwarderBench>> m_benches;
    std::map<std::string, FleetEndpoint> m_endpoints;
    double m_due = 0;
    SteadyTime m_toldAt;
};

}
