// How many endpoints are ordered as demand rises and falls, and while a zone's spot endpoints are taken away.
#include "whinyard/policy/CapacityPlan.h"

#include <gtest/gtest.h>

#include <numeric>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    const std::vector<ZoneName> zoneNames { { "a" }, { "b" }, { "c" }, { "d" } };
    constexpr std::uint32_t slots = 64;

    // A provider whose endpoints start and end as they are ordered, on a clock that the test moves.
    class CapacityPlanTest : public ::testing::Test {
    protected:
        CapacityPlanTest()
        {
            m_limits.minimum = 1;
            m_limits.maximum = 30;
            m_limits.startTime = 4s;
            m_limits.spotPrice = 0.15;
            m_limits.zonePrices = { { zoneNames[0], 1 }, { zoneNames[1], 0.8 }, { zoneNames[2], 1.25 }, { zoneNames[3], 0.9 } };
            m_planner.emplace(m_limits);
            for (const ZoneName& zone : zoneNames)
                m_zones[zone].lasting = 15;
        }

        // Plans each 300 ms, and starts and ends endpoints as planned; spot ones serve seven seconds after they are ordered.
        void pass(std::chrono::milliseconds time)
        {
            for (const SteadyTime end = m_now + time; m_now < end; m_now += 300ms) {
                m_plan = m_planner->plan(m_zones, slots, m_demand, m_isShifting, m_now);
                for (const auto& [zone, planned] : m_plan) {
                    EXPECT_LE(planned.lasting + planned.spot, m_limits.maximum) << zone.value;
                    EXPECT_GE(planned.lasting, m_limits.minimum) << zone.value;
                    follow(zone, planned);
                }
            }
        }

        void follow(const ZoneName& zone, const ZonePlan& planned)
        {
            ZoneCapacity& capacity = m_zones[zone];
            capacity.lasting = planned.lasting;
            std::vector<SteadyTime>& starting = m_starting[zone];
            std::erase_if(starting, [&](SteadyTime at) {
                const bool serves = m_now - at >= 7s;
                capacity.spot += serves ? 1 : 0;
                return serves;
            });
            if (planned.mayOrderSpot && m_dry.contains(zone) && capacity.spot + starting.size() < planned.spot)
                m_planner->noteDry(zone, m_now);
            while (!m_dry.contains(zone) && capacity.spot + starting.size() < planned.spot)
                starting.push_back(m_now);
            capacity.spot = std::min(capacity.spot, planned.spot);
            capacity.startingSpot = static_cast<std::uint32_t>(starting.size());
        }

        void reclaim(const ZoneName& zone)
        {
            m_zones[zone].spot = 0;
            m_zones[zone].startingSpot = 0;
            m_starting[zone].clear();
        }

        std::uint32_t lasting() const
        {
            return std::accumulate(m_zones.begin(), m_zones.end(), 0U, [](std::uint32_t sum, const auto& zone) { return sum + zone.second.lasting; });
        }

        std::uint32_t serving() const
        {
            return std::accumulate(m_zones.begin(), m_zones.end(), 0U, [](std::uint32_t sum, const auto& zone) { return sum + zone.second.lasting + zone.second.spot; });
        }

        static ServiceDemand busy(double endpoints) { return { .requestsPerSecond = 400, .unservedPerSecond = 0, .busyEndpoints = endpoints, .running = 300 }; }

        config::CapacityLimits m_limits;
        std::optional<CapacityPlanner> m_planner;
        std::map<ZoneName, ZoneCapacity> m_zones;
        std::map<ZoneName, std::vector<SteadyTime>> m_starting;
        std::set<ZoneName> m_dry;
        std::optional<ServiceDemand> m_demand;
        std::map<ZoneName, ZonePlan> m_plan;
        bool m_isShifting = false;
        SteadyTime m_now { 1h };
    };

    TEST_F(CapacityPlanTest, OrdersNothingBeforeTheEndpointsThatAreThereAreListed)
    {
        for (auto& [zone, capacity] : m_zones)
            capacity.lasting = 0;
        pass(5s);
        EXPECT_TRUE(m_plan.empty());
        for (auto& [zone, capacity] : m_zones)
            capacity.lasting = 3;
        pass(2s);
        EXPECT_TRUE(m_plan.empty()) << "more may come";
        for (auto& [zone, capacity] : m_zones)
            capacity.lasting = 15;
        pass(2s);
        EXPECT_TRUE(m_plan.empty());
        pass(1s);
        EXPECT_FALSE(m_plan.empty());
    }

    TEST_F(CapacityPlanTest, MovesTheWorkToSpotEndpointsWithoutAGap)
    {
        m_demand = busy(20);
        std::uint32_t fewest = serving();
        for (int i = 0; i < 100; ++i) {
            pass(300ms);
            fewest = std::min(fewest, serving());
        }
        EXPECT_GE(fewest, 45U) << "what was there, without a zone's";
        EXPECT_EQ(lasting(), 4U);
        EXPECT_GE(serving(), 66U) << "2.5 times as many as read prompts at any moment, and a zone's";
        EXPECT_LE(serving(), 72U);
    }

    TEST_F(CapacityPlanTest, BearsTheLossOfAZoneThatHasNoMoreOfThem)
    {
        m_demand = busy(20);
        pass(30s);
        m_dry = { zoneNames.begin(), zoneNames.end() };
        reclaim(zoneNames[1]);
        EXPECT_GE(serving(), 50U);
        pass(8s);
        EXPECT_GE(serving(), 50U);
        EXPECT_LE(lasting(), 8U) << "what is left is enough";
        reclaim(zoneNames[2]);
        pass(300ms);
        EXPECT_GE(serving(), 50U) << "lasting ones stand in for the second zone";
        m_dry.clear();
        pass(25s);
        EXPECT_EQ(lasting(), 4U);
    }

    TEST_F(CapacityPlanTest, RisesAtOnceAndFallsSlowly)
    {
        m_demand = busy(10);
        pass(40s);
        const std::uint32_t before = serving();
        m_demand = busy(30);
        pass(600ms);
        EXPECT_EQ(m_planner->needed(), 75U);
        pass(10s);
        EXPECT_GE(serving(), 75U);
        m_demand = busy(10);
        pass(5s);
        EXPECT_EQ(m_planner->needed(), 75U);
        pass(30s);
        EXPECT_EQ(serving(), before);
    }

    // The provider starts lasting endpoints of the new version, and ends all of the old one when it is in.
    TEST_F(CapacityPlanTest, OrdersNothingWhileAVersionIsBroughtIn)
    {
        m_demand = busy(20);
        pass(40s);
        m_isShifting = true;
        for (auto& [zone, capacity] : m_zones)
            capacity.lasting = 30;
        pass(20s);
        EXPECT_TRUE(m_plan.empty());
        m_isShifting = false;
        for (const ZoneName& zone : zoneNames)
            reclaim(zone);
        std::uint32_t fewest = serving();
        for (int i = 0; i < 100; ++i) {
            pass(300ms);
            fewest = std::min(fewest, serving());
        }
        EXPECT_GE(fewest, 50U);
        EXPECT_EQ(lasting(), 4U);
    }

    TEST_F(CapacityPlanTest, TakesCallersThatWereNotServedForAShortage)
    {
        m_demand = busy(10);
        pass(40s);
        const std::uint32_t before = m_planner->needed();
        m_demand->unservedPerSecond = 50;
        pass(300ms);
        EXPECT_GE(m_planner->needed(), before + 5);
    }

}
}
