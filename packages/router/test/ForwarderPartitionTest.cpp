// Instances that are partitioned from all endpoints, while the other instances reach both them and the endpoints.
#include "whinyard/router/ForwarderFleet.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    using Partition = ForwarderFleet::Partition;

    constexpr std::size_t instances = 9;
    constexpr std::size_t endpoints = 18;
    constexpr std::size_t partitioned = 5; // The first ones.

    // After it an instance that is partitioned has to serve its callers like any other.
    constexpr std::chrono::milliseconds timeToNotice { 3'000 };

    class ForwarderPartitionTest : public ::testing::TestWithParam<Partition> {
    protected:
        void partitionFirst(std::size_t count, Partition how)
        {
            for (std::size_t i = 0; i < count; ++i)
                m_fleet.partition(i, how);
        }

        // Returns the share of first attempts that `instance` serves.
        double servedShare(std::size_t instance)
        {
            constexpr int requests = 100;
            int served = 0;
            for (int i = 0; i < requests; ++i) {
                served += m_fleet.send(instance) == 200 ? 1 : 0;
                m_fleet.advance(20ms);
            }
            return static_cast<double>(served) / requests;
        }

        ForwarderFleet m_fleet { instances, endpoints };
    };

    // Guards against callers being refused by an instance that has lost its ways to all endpoints, while other instances reach them.
    TEST_P(ForwarderPartitionTest, ServesCallersOfInstancesThatReachNoEndpoint)
    {
        m_fleet.run(5s, 100);
        partitionFirst(partitioned, GetParam());
        m_fleet.run(timeToNotice, 20);
        const double others = servedShare(instances - 1);
        EXPECT_GT(others, 0.95);
        for (std::size_t i = 0; i < partitioned; ++i)
            EXPECT_GE(servedShare(i), others * 2 / 3) << "instance " << i;
    }

    // Guards against callers who are kept waiting by an instance that nobody can help.
    TEST_P(ForwarderPartitionTest, RefusesAtOnceWhereNoInstanceReachesAnEndpoint)
    {
        m_fleet.run(5s, 100);
        partitionFirst(instances, GetParam());
        m_fleet.run(timeToNotice, 20);
        const std::size_t refused = m_fleet.refused;
        SteadyTime::duration waited { 0 };
        for (int i = 0; i < 50; ++i) {
            const SteadyTime sent = m_fleet.now();
            EXPECT_EQ(m_fleet.send(0), 503);
            waited += m_fleet.now() - sent;
        }
        EXPECT_EQ(m_fleet.refused - refused, 50U);
        EXPECT_LT(waited / 50, 20ms) << "in the mean";
        partitionFirst(instances, Partition::none);
        m_fleet.run(1s, 20);
        EXPECT_EQ(servedShare(0), 1) << "after the heal";
    }

    // Guards against one instance that reaches the endpoints and isn't found by the others.
    TEST_P(ForwarderPartitionTest, ServesCallersWhereAllButOneInstanceReachNoEndpoint)
    {
        m_fleet.run(5s, 100);
        partitionFirst(instances - 1, GetParam());
        m_fleet.run(timeToNotice, 20);
        for (std::size_t i = 0; i + 1 < instances; ++i)
            EXPECT_GE(servedShare(i), 2.0 / 3) << "instance " << i;
    }

    // Guards against requests that go by way of other instances for good.
    TEST_P(ForwarderPartitionTest, TakesItsOwnPathAgainAfterTheHeal)
    {
        m_fleet.run(5s, 100);
        partitionFirst(partitioned, GetParam());
        m_fleet.run(timeToNotice, 100);
        EXPECT_FALSE(m_fleet.bench(0).forwarder.reachesDirectly({ "svc" }));
        partitionFirst(partitioned, Partition::none);
        m_fleet.run(timeToNotice, 100);
        EXPECT_TRUE(m_fleet.bench(0).forwarder.reachesDirectly({ "svc" }));
        m_fleet.send(0);
        EXPECT_FALSE(m_fleet.bench(0).client.options.back().relay);
    }

    // Guards against a partition that flaps, with paths that are judged by what was true a second ago.
    TEST_P(ForwarderPartitionTest, ServesThroughAPartitionThatComesAndGoes)
    {
        m_fleet.run(5s, 100);
        const std::size_t served = m_fleet.served;
        const std::size_t refused = m_fleet.refused;
        for (int i = 0; i < 10; ++i) {
            partitionFirst(partitioned, i % 2 == 0 ? GetParam() : Partition::none);
            m_fleet.run(1s, 20);
        }
        EXPECT_LT(m_fleet.refused - refused, (m_fleet.served - served) / 50);
    }

    INSTANTIATE_TEST_SUITE_P(Kinds, ForwarderPartitionTest, ::testing::Values(Partition::refuses, Partition::hangs),
        [](const auto& kind) { return std::string(kind.param == Partition::refuses ? "Refuses" : "Hangs"); });

}
}
