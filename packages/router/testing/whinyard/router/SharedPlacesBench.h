// A test fixture with one instance of a fleet, whose others exist only as what a test has them send.
#pragma once

#include "whinyard/policy/FleetNames.h"
#include "whinyard/router/ForwarderFakes.h"
#include "whinyard/router/SharedPlaces.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace whinyard::router {

// Instance "edge-0". It sends notices into a list, which sent() reads.
class SharedPlacesBench : public ::testing::Test, protected PlaceTransport {
protected:
    static constexpr std::size_t instances = 20;

    SharedPlacesBench()
        : m_directory({ "z0" }, Random(1))
    {
        m_routing.table = tableWith({ { "svc" }, 100, 0, 0, 1, {} });
        listSlots({ 6, 6 });
        useInstances(policy::instancesNamed(0, instances));
    }

    static std::shared_ptr<const config::RoutingTable> tableWith(const config::RoutedService& service)
    {
        config::Routing routing;
        routing.version = 1;
        routing.services = { service };
        return std::make_shared<const config::RoutingTable>(std::move(routing));
    }

    void listSlots(const std::vector<std::uint32_t>& slots)
    {
        std::vector<backing::ListedEndpoint> listed;
        for (std::size_t i = 0; i < slots.size(); ++i) {
            listed.push_back(ForwarderBench::endpointIn({ "z0" }, "e" + std::to_string(i)));
            listed.back().slots = slots[i];
        }
        m_directory.replace(listed, m_clock.now());
        m_places.noteNews();
    }

    void useInstances(const std::vector<InstanceName>& names)
    {
        m_directory.useInstances(self, names);
        m_places.useInstances(names);
    }

    void send(const InstanceName& to, const peer::Notice& notice) override { m_sent.emplace_back(to, notice); }

    static PlaceWish wish()
    {
        PlaceWish wish;
        wish.service = { "svc" };
        wish.version = "v1";
        wish.customer = { "school" };
        wish.objectiveLeft = std::chrono::milliseconds(300);
        wish.deadlineLeft = std::chrono::milliseconds(1'500);
        return wish;
    }

    // Returns the notices of a kind that were sent, and to whom.
    template <typename One>
    std::vector<std::pair<InstanceName, One>> sent() const
    {
        std::vector<std::pair<InstanceName, One>> found;
        for (const auto& [to, notice] : m_sent) {
            if (const One* one = std::get_if<One>(&notice))
                found.emplace_back(to, *one);
        }
        return found;
    }

    InstanceName coordinator() const { return *m_places.coordinatorOf({ "svc" }); }

    void answer(const InstanceName& from, std::uint64_t number, policy::PermitVerdict verdict, const std::string& endpoint = {}, std::chrono::milliseconds wait = std::chrono::milliseconds(0))
    {
        m_places.take(peer::PlaceAnswerNotice { from, { "svc" }, "v1", { { self, number }, verdict, { endpoint }, wait } });
    }

    // Has this instance hold a permit.
    std::uint64_t hold()
    {
        const std::uint64_t number = m_places.begin(wish());
        answer(coordinator(), number, policy::PermitVerdict::granted, "e0");
        EXPECT_EQ(m_places.poll(number)->kind, PlaceAnswer::Kind::granted);
        m_sent.clear();
        return number;
    }

    // Leaves only this instance, so that it coordinates the service.
    void coordinateAlone()
    {
        listSlots({ 6, 6 });
        useInstances({ self });
    }

    void pass(std::chrono::milliseconds time)
    {
        constexpr std::chrono::milliseconds step { 10 };
        constexpr std::chrono::milliseconds tickInterval { 50 };
        for (; time.count() > 0; time -= step) {
            m_clock.advance(step);
            if ((m_passed += step) % tickInterval == std::chrono::milliseconds(0))
                m_places.tick();
        }
    }

    const InstanceName self = policy::instanceNamed(0);
    FakeClock m_clock;
    Metrics m_metrics;
    FakeRoutingSource m_routing;
    endpoint::EndpointDirectory m_directory;
    FakeFibers m_fibers { m_clock };
    SharedPlaces m_places { { m_clock, m_metrics, m_routing, m_directory, m_fibers, *this }, {}, policy::instanceNamed(0), { "z0" }, Random(7) };
    std::vector<std::pair<InstanceName, peer::Notice>> m_sent;
    std::chrono::milliseconds m_passed { 0 };
};

}
