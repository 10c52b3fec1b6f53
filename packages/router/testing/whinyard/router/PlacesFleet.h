// Instances that share the slots of one plain service, on a virtual clock: datagrams that take time and may be lost, instances that
// end, freeze or are cut off, and endpoints that run what they are sent.
#pragma once

#include "whinyard/policy/FleetNames.h"
#include "whinyard/router/Forwarder.h"
#include "whinyard/router/ForwarderFakes.h"
#include "whinyard/router/SharedPlaces.h"
#include "whinyard/router/VirtualEvents.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::router {

struct PlacesFleetSettings {
    std::size_t instances = 2;
    std::size_t endpoints = 1;
    std::uint32_t slots = 1; // Of each.
    std::chrono::microseconds serviceTime { 60'000 };
    std::chrono::milliseconds objective { 300 };
    std::chrono::milliseconds deadline { 1'500 };
    std::chrono::microseconds transit { 500 }; // Of a datagram or a request, one way.
    std::uint64_t seed = 1;
};

class PlacesFleet {
public:
    // How one request ended.
    struct Outcome {
        PlaceAnswer::Kind kind = PlaceAnswer::Kind::unavailable;
        std::size_t instance = 0;
        SteadyTime begun;
        SteadyTime answered; // By the coordinator, or given up.
        std::optional<SteadyTime> served;
        std::chrono::milliseconds retryAfter { 0 };
    };

    // How full an endpoint is.
    struct EndpointLoad {
        std::size_t underPermits = 0; // Requests that were sent under permits and have not ended.
        std::size_t mostUnderPermits = 0;
        std::size_t running = 0;
        std::deque<std::function<void()>> queue; // Requests beyond the slots.
    };

    explicit PlacesFleet(const PlacesFleetSettings& settings)
        : m_settings(settings)
        , m_random(settings.seed)
    {
        std::vector<backing::ListedEndpoint> listed;
        for (std::size_t i = 0; i < settings.endpoints; ++i) {
            backing::ListedEndpoint endpoint = ForwarderBench::endpointIn(zoneNamed(i), "e" + std::to_string(i));
            endpoint.slots = settings.slots;
            m_loads[endpoint.name];
            listed.push_back(endpoint);
        }
        config::Routing routing;
        routing.version = 1;
        routing.services = { { service(), 100, 0, 0, 1, {} } };
        m_routing.table = std::make_shared<const config::RoutingTable>(std::move(routing));
        for (std::size_t i = 0; i < settings.instances; ++i) {
            m_members.push_back(std::make_unique<Member>(*this, i));
            Member& one = member(i);
            one.directory.replace(listed, now());
            one.directory.useInstances(policy::instanceNamed(i), policy::instancesNamed(0, settings.instances));
            one.places.useInstances(policy::instancesNamed(0, settings.instances));
            at(now() + std::chrono::milliseconds(below(m_random, tickInterval.count())), [this, i] { tick(i); });
        }
    }

    static ServiceName service() { return { "svc" }; }
    static ZoneName zoneNamed(std::size_t number) { return { "z" + std::to_string(number % 3) }; }

    SteadyTime now() const { return m_clock.now(); }
    SharedPlaces& places(std::size_t instance) { return member(instance).places; }
    endpoint::EndpointDirectory& directory(std::size_t instance) { return member(instance).directory; }

    // Returns the instance that an undisturbed fleet asks.
    std::size_t coordinator() { return indexOf(*places(0).coordinatorOf(service())); }

    static std::size_t indexOf(const InstanceName& name) { return std::stoul(name.value.substr(name.value.find('-') + 1)); }

    // Runs what is due until the time has passed, with so many new requests a second at instances that are drawn.
    void run(std::chrono::milliseconds duration, double perSecond = 0)
    {
        const SteadyTime end = now() + duration;
        if (perSecond > 0)
            arrive(end, perSecond);
        m_events.runUntil(end);
    }

    // Lets one request come at an instance.
    void send(std::size_t instance)
    {
        PlaceWish wish;
        wish.service = service();
        wish.version = "v1";
        wish.customer = { "c" + std::to_string(below(m_random, 8)) };
        wish.objectiveLeft = m_settings.objective;
        wish.deadlineLeft = m_settings.deadline;
        const std::size_t index = outcomes.size();
        outcomes.push_back({ .kind = {}, .instance = instance, .begun = now(), .answered = {}, .served = std::nullopt, .retryAfter = {} });
        const std::uint64_t number = places(instance).begin(wish);
        member(instance).pending[number] = index;
        look(instance, number);
    }

    // The instance ends without a word.
    void kill(std::size_t instance) { member(instance).dead = true; }

    // Others learn that it has ended.
    void forget(std::size_t instance)
    {
        std::vector<InstanceName> left = policy::instancesNamed(0, m_members.size());
        std::erase(left, policy::instanceNamed(instance));
        for (std::size_t i = 0; i < m_members.size(); ++i) {
            directory(i).useInstances(policy::instanceNamed(i), left);
            places(i).useInstances(left);
        }
    }

    void cut(std::size_t instance, bool isCut) { member(instance).cut = isCut; }

    void freeze(std::size_t instance) { member(instance).frozen = true; }

    // The instance goes on, and takes in what its socket has kept.
    void thaw(std::size_t instance)
    {
        Member& one = member(instance);
        one.frozen = false;
        while (!one.socket.empty()) {
            take(instance, one.socket.front());
            one.socket.pop_front();
        }
    }

    // Returns how many requests ended so, of those that began since then.
    std::size_t count(PlaceAnswer::Kind kind, SteadyTime since = SteadyTime()) const
    {
        return static_cast<std::size_t>(std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome& one) { return one.kind == kind && one.begun >= since && one.answered != SteadyTime(); }));
    }

    std::size_t countBegun(SteadyTime since = SteadyTime()) const
    {
        return static_cast<std::size_t>(std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome& one) { return one.begun >= since; }));
    }

    std::size_t countServedInTime(SteadyTime since = SteadyTime()) const
    {
        return static_cast<std::size_t>(std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome& one) { return one.begun >= since && one.served && *one.served - one.begun <= m_settings.objective; }));
    }

    // Returns how many permits one coordinator's grants have in use at an endpoint at a time, at most.
    std::size_t mostOfOneCoordinator() const { return m_mostOfOne; }

    // Forgets the highest counts.
    void resetMost()
    {
        m_mostOfOne = 0;
        for (auto& [name, one] : m_loads)
            one.mostUnderPermits = one.underPermits;
    }

    std::size_t mostUnderPermits() const
    {
        std::size_t most = 0;
        for (const auto& [name, one] : m_loads)
            most = std::max(most, one.mostUnderPermits);
        return most;
    }

    std::uint64_t metricOfAll(std::string_view name) const
    {
        std::uint64_t sum = 0;
        for (const auto& one : m_members)
            sum += one->metrics.counter(name);
        return sum;
    }

    std::vector<Outcome> outcomes;
    double lost = 0; // Part of the datagrams.
    double repeated = 0; // Part of the datagrams that arrive twice.
    std::map<std::string, std::size_t> sent; // Datagrams by the sending instance.

private:
    static constexpr std::chrono::milliseconds tickInterval { 50 };
    static constexpr std::size_t socketCapacity = 500;

    struct Member final : PlaceTransport {
        Member(PlacesFleet& owner, std::size_t number)
            : fleet(owner)
            , index(number)
            , directory(zoneNamed(number), Random(number + 1))
            , fibers(owner.m_clock)
            , places({ owner.m_clock, metrics, owner.m_routing, directory, fibers, *this }, {}, policy::instanceNamed(number), zoneNamed(number), Random(1'000 * owner.m_settings.seed + number))
        {
        }

        void send(const InstanceName& to, const peer::Notice& notice) override { fleet.transmit(index, to, notice); }

        PlacesFleet& fleet;
        std::size_t index;
        Metrics metrics;
        endpoint::EndpointDirectory directory;
        FakeFibers fibers;
        SharedPlaces places;
        std::map<std::uint64_t, std::size_t> pending; // Requests without an answer, and their outcomes.
        bool dead = false;
        bool frozen = false;
        bool cut = false;
        std::deque<peer::Notice> socket; // What came while it was frozen.
    };

    Member& member(std::size_t instance) { return *m_members[instance]; }

    void at(SteadyTime time, std::function<void()> run) { m_events.at(time, std::move(run)); }

    void arrive(SteadyTime end, double perSecond)
    {
        const auto next = now() + std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(-std::log(1 - uniform(m_random)) / perSecond));
        if (next > end)
            return;
        at(next, [this, end, perSecond] {
            const std::size_t instance = below(m_random, m_members.size());
            if (!member(instance).dead && !member(instance).frozen)
                send(instance);
            arrive(end, perSecond);
        });
    }

    void tick(std::size_t instance)
    {
        Member& one = member(instance);
        if (one.dead)
            return;
        if (!one.frozen) {
            one.places.tick();
            lookAll(instance);
        }
        at(now() + tickInterval, [this, instance] { tick(instance); });
    }

    void transmit(std::size_t from, const InstanceName& to, const peer::Notice& notice)
    {
        const InstanceName sender = policy::instanceNamed(from);
        ++sent[sender.value];
        noteGrant(sender, notice);
        const int copies = uniform(m_random) < repeated ? 2 : 1;
        for (int i = 0; i < copies; ++i) {
            if (uniform(m_random) < lost)
                continue;
            // Up to as long again, so that datagrams overtake each other.
            const auto delay = m_settings.transit + std::chrono::duration_cast<std::chrono::microseconds>(m_settings.transit * uniform(m_random));
            at(now() + delay, [this, from, target = indexOf(to), notice] { arriveAt(from, target, notice); });
        }
    }

    void arriveAt(std::size_t from, std::size_t target, const peer::Notice& notice)
    {
        Member& one = member(target);
        if (one.dead || one.cut || member(from).cut)
            return;
        if (!one.frozen)
            take(target, notice);
        else if (one.socket.size() < socketCapacity)
            one.socket.push_back(notice);
    }

    // Datagrams travel as the daemon's do.
    void take(std::size_t instance, const peer::Notice& notice)
    {
        SharedPlaces& to = places(instance);
        const std::optional<peer::Notice> read = peer::decodeNotice(peer::encodeNotice(notice));
        std::visit(
            [&](const auto& one) {
                if constexpr (requires { to.take(one); })
                    to.take(one);
            },
            *read);
        lookAll(instance);
    }

    void lookAll(std::size_t instance)
    {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, index] : member(instance).pending)
            numbers.push_back(number);
        for (const std::uint64_t number : numbers)
            look(instance, number);
    }

    // What a fiber in SharedPlaces::acquire() does when it wakes up.
    void look(std::size_t instance, std::uint64_t number)
    {
        Member& one = member(instance);
        const auto pending = one.pending.find(number);
        if (pending == one.pending.end() || one.dead)
            return;
        if (one.frozen) {
            at(now() + std::chrono::milliseconds(10), [this, instance, number] { look(instance, number); });
            return;
        }
        const auto answer = one.places.poll(number);
        if (!answer) {
            at(std::max(one.places.nextLook(number), now() + std::chrono::microseconds(1)), [this, instance, number] { look(instance, number); });
            return;
        }
        const std::size_t index = pending->second;
        Outcome& outcome = outcomes[index];
        one.pending.erase(pending);
        outcome.kind = answer->kind;
        outcome.answered = now();
        outcome.retryAfter = answer->retryAfter;
        if (answer->kind == PlaceAnswer::Kind::granted)
            dispatch(instance, index, *answer);
    }

    void dispatch(std::size_t instance, std::size_t outcome, const PlaceAnswer& grant)
    {
        EndpointLoad& endpoint = m_loads.at(grant.endpoint);
        ++endpoint.underPermits;
        endpoint.mostUnderPermits = std::max(endpoint.mostUnderPermits, endpoint.underPermits);
        const auto granted = m_grantedBy.find({ instance, grant.permit });
        const InstanceName by = granted == m_grantedBy.end() ? policy::instanceNamed(instance) : granted->second;
        std::size_t& ofOne = m_inUse[{ by, grant.endpoint }];
        m_mostOfOne = std::max(m_mostOfOne, ++ofOne);
        const SteadyTime began = now();
        at(now() + m_settings.transit, [this, instance, outcome, grant, began, by] {
            EndpointLoad& load = m_loads.at(grant.endpoint);
            load.queue.push_back([this, instance, outcome, grant, began, by] { serve(instance, outcome, grant, began, by); });
            startNext(load);
        });
    }

    void startNext(EndpointLoad& load)
    {
        while (!load.queue.empty() && load.running < m_settings.slots) {
            const std::function<void()> start = std::move(load.queue.front());
            load.queue.pop_front();
            ++load.running;
            start();
        }
    }

    void serve(std::size_t instance, std::size_t outcome, const PlaceAnswer& grant, SteadyTime began, const InstanceName& by)
    {
        const auto takes = std::chrono::duration_cast<std::chrono::nanoseconds>(m_settings.serviceTime * (0.5 + uniform(m_random)));
        at(now() + takes, [this, instance, outcome, grant, began, by] {
            EndpointLoad& load = m_loads.at(grant.endpoint);
            --load.running;
            --load.underPermits;
            --m_inUse[{ by, grant.endpoint }];
            startNext(load);
            at(now() + m_settings.transit, [this, instance, outcome, grant, began] { finish(instance, outcome, grant, began); });
        });
    }

    void finish(std::size_t instance, std::size_t outcome, const PlaceAnswer& grant, SteadyTime began)
    {
        Member& one = member(instance);
        if (one.dead)
            return;
        if (one.frozen) {
            at(now() + std::chrono::milliseconds(10), [this, instance, outcome, grant, began] { finish(instance, outcome, grant, began); });
            return;
        }
        outcomes[outcome].served = now();
        one.places.giveBack(grant.permit, policy::EndpointOutcome::succeeded, now() - began);
        lookAll(instance);
    }

    void noteGrant(const InstanceName& from, const peer::Notice& notice)
    {
        const auto* answer = std::get_if<peer::PlaceAnswerNotice>(&notice);
        if (answer && answer->decision.verdict == policy::PermitVerdict::granted)
            m_grantedBy[{ indexOf(answer->decision.id.requester), answer->decision.id.number }] = from;
    }

    const PlacesFleetSettings m_settings;
    FakeClock m_clock;
    Random m_random;
    FakeRoutingSource m_routing;
    std::vector<std::unique_ptr<Member>> m_members;
    std::map<EndpointName, EndpointLoad> m_loads;
    VirtualEvents m_events { m_clock };
    std::map<std::pair<std::size_t, std::uint64_t>, InstanceName> m_grantedBy; // By requester and number; none: by itself.
    std::map<std::pair<InstanceName, EndpointName>, std::size_t> m_inUse; // Permits by their coordinator.
    std::size_t m_mostOfOne = 0;
};

}
