#include "whinyard/policy/ServiceDemand.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    const ServiceName service { "svc" };

    class DemandMeterTest : public ::testing::Test {
    protected:
        // Has an instance tell its counters, at a hundred requests a second of 50 ms each.
        void tell(const std::string& instance, std::uint64_t life, std::chrono::milliseconds age)
        {
            const auto requests = static_cast<std::uint64_t>(age.count()) / 10;
            m_meter.take({ instance }, life, { service, requests, requests / 10, std::chrono::milliseconds(50 * requests), 3 }, m_start + age);
        }

        DemandMeter m_meter;
        const SteadyTime m_start { 1h };
    };

    TEST_F(DemandMeterTest, AddsUpTheRatesOfAllInstances)
    {
        EXPECT_FALSE(m_meter.demand(service, m_start));
        for (auto age = 0ms; age <= 10s; age += 400ms) {
            tell("a", 1, age);
            tell("b", 1, age);
        }
        const std::optional<ServiceDemand> demand = m_meter.demand(service, m_start + 10s);
        ASSERT_TRUE(demand);
        EXPECT_NEAR(demand->requestsPerSecond, 200, 5);
        EXPECT_NEAR(demand->unservedPerSecond, 20, 2);
        EXPECT_NEAR(demand->busyEndpoints, 10, 0.5);
        EXPECT_EQ(demand->running, 6);
    }

    TEST_F(DemandMeterTest, IgnoresWhatComesLateAndForgetsWhoIsGone)
    {
        for (auto age = 0ms; age <= 10s; age += 400ms)
            tell("a", 1, age);
        tell("a", 1, 10s);
        m_meter.take({ "a" }, 1, { service, 5, 0, 0us, 90 }, m_start + 10s);
        EXPECT_EQ(m_meter.demand(service, m_start + 10s)->running, 3);
        EXPECT_EQ(m_meter.demand(service, m_start + 16s)->running, 0);
    }

    // Its counters begin again.
    TEST_F(DemandMeterTest, TakesALaterProcessOfAnInstanceForAnotherSource)
    {
        for (auto age = 0ms; age <= 4s; age += 400ms)
            tell("a", 1, age);
        for (auto age = 0ms; age <= 6s; age += 400ms)
            m_meter.take({ "a" }, 2, { service, static_cast<std::uint64_t>(age.count()) / 10, 0, 0us, 1 }, m_start + 4s + age);
        EXPECT_NEAR(m_meter.demand(service, m_start + 10s)->requestsPerSecond, 100, 5);
    }

}
}
