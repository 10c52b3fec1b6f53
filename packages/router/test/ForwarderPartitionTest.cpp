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

    INSTANTIATE_TEST_SUITE_P(Kinds, ForwarderPartitionTest, ::testing::Values(Partition::refuses, Partition::hangs),
        [](const auto& kind) { return std::string(kind.param == Partition::refuses ? "Refuses" : "Hangs"); });

}
}
