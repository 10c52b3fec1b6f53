// What the store says reaches every instance of a large fleet in time, at a bounded cost for the store and for each of them.
#include "whinyard/endpoint/SpreadFleet.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;

    constexpr int endpointsOfInstance = 10;
    // Callers come so long after the instances have started.
    constexpr std::chrono::seconds callersCome { 24 };
    // Whole reads of the store by all instances together, in one disturbance.
    constexpr std::size_t mostWholeReads = 24;
    // Of a site that changes steadily: what an instance may send for control.
    constexpr double steadyBytesPerSecond = 15'000;

    class SpreadFleetTest : public ::testing::TestWithParam<int> {
    protected:
        // All endpoints register within some seconds of the start.
        void startAll()
        {
            m_fleet.startAll();
            constexpr int steps = 400;
            m_fleet.repeat(steps, 10ms, [this] { m_fleet.registerEndpoints(GetParam() * endpointsOfInstance / steps + 1); });
            m_fleet.run(callersCome);
        }

        void startLevel()
        {
            startAll();
            m_fleet.run(5s);
            ASSERT_EQ(m_fleet.behind(), 0U);
            m_reads = m_fleet.store().wholeReads;
            m_fleet.clearSent();
        }

        std::size_t wholeReads() { return m_fleet.store().wholeReads - m_reads; }

        SpreadFleet m_fleet { GetParam() };
        std::size_t m_reads = 0;
    };

    INSTANTIATE_TEST_SUITE_P(Sizes, SpreadFleetTest, ::testing::Values(9, 100, 985, 2'000));

    // Guards against a day that begins with a third of the endpoints unknown: a follower slept a second after each 500 of 10,002 that it
    // was told, every instance read the whole list after each step, and who got no answer read the store.
    TEST_P(SpreadFleetTest, KnowsEveryEndpointBeforeCallersCome)
    {
        startAll();
        EXPECT_EQ(m_fleet.behind(), 0U) << m_fleet.describeBehind();
        EXPECT_LE(m_fleet.store().wholeReads, mostWholeReads);
    }

    // Guards against requests to endpoints that have left: more changes than one notice holds were a whole list for every instance.
    TEST_P(SpreadFleetTest, KnowsInTimeThatManyEndpointsLeaveAtOnce)
    {
        startLevel();
        for (int i = 0; i < 200; ++i)
            m_fleet.leave();
        m_fleet.run(2 * SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestLeaving(), SpreadFleet::drain);
        EXPECT_LE(wholeReads(), mostWholeReads);
    }

    // Guards against the same in a release: 25 endpoints leave and 25 come in each second.
    TEST_P(SpreadFleetTest, KnowsInTimeThatEndpointsOfAReleaseLeave)
    {
        startLevel();
        m_fleet.repeat(10, 1s, [this] {
            for (int i = 0; i < 25; ++i) {
                m_fleet.leave();
                m_fleet.registerEndpoints(1);
            }
        });
        m_fleet.run(10s + SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestLeaving(), SpreadFleet::drain);
        EXPECT_LE(wholeReads(), mostWholeReads);
    }

    // Guards against configurations that come into force late while lists of endpoints are read.
    TEST_P(SpreadFleetTest, HasVersionsInForceInTimeWhileEndpointsLeave)
    {
        startLevel();
        m_fleet.repeat(10, 500ms, [this] { m_fleet.leave(); });
        m_fleet.repeat(25, 80ms, [this] { m_fleet.writeVersion(); });
        m_fleet.run(5s + SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestVersion(), SpreadFleet::inForce);
        EXPECT_LE(m_fleet.slowestLeaving(), SpreadFleet::drain);
        EXPECT_LE(wholeReads(), mostWholeReads);
    }

    // Guards against instances that all read the store where it turns a third of them away, both followers among them, as hundreds of
    // endpoints change.
    TEST_P(SpreadFleetTest, GoesOnWhereTheStoreTurnsAThirdAway)
    {
        startLevel();
        for (std::size_t rank = 0; rank < m_fleet.size(); rank += rank == 0 ? 1 : 3)
            m_fleet.turnAway(rank);
        m_fleet.run(1s);
        m_fleet.repeat(4, 1s, [this] {
            m_fleet.writeVersion();
            for (int i = 0; i < 50; ++i)
                m_fleet.leave();
        });
        m_fleet.run(4s + SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestLeaving(), SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestVersion(), SpreadFleet::inForce);
        EXPECT_LE(wholeReads(), mostWholeReads);
    }

    // Guards against a whole list for each instance where both followers restart, one after the other, as endpoints change.
    TEST_P(SpreadFleetTest, GoesOnWhereBothFollowersRestart)
    {
        startLevel();
        m_fleet.repeat(8, 500ms, [this] {
            for (int i = 0; i < 30; ++i)
                m_fleet.leave();
        });
        m_fleet.restart(0, 2s);
        m_fleet.run(500ms);
        m_fleet.restart(1, 2s);
        m_fleet.run(4s + SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestLeaving(), SpreadFleet::drain);
        EXPECT_LE(wholeReads(), mostWholeReads);
    }

    // Guards against the same where the store drops its history, so that its followers read the whole list.
    TEST_P(SpreadFleetTest, GoesOnWhereTheStoreDropsItsHistory)
    {
        startLevel();
        m_fleet.repeat(8, 500ms, [this] {
            for (int i = 0; i < 30; ++i)
                m_fleet.leave();
            m_fleet.store().dropHistory();
        });
        m_fleet.run(4s + SpreadFleet::drain);
        EXPECT_LE(m_fleet.slowestLeaving(), SpreadFleet::drain);
        EXPECT_LE(wholeReads(), mostWholeReads);
    }

    // What an instance sends doesn't grow with the fleet where one endpoint leaves each half second, as in the day of the report.
    TEST_P(SpreadFleetTest, SendsLittleWhereOneEndpointLeavesAtATime)
    {
        startLevel();
        constexpr std::chrono::seconds duration { 10 };
        m_fleet.repeat(20, 500ms, [this] { m_fleet.leave(); });
        m_fleet.run(duration);
        EXPECT_LE(m_fleet.mostSent() / static_cast<double>(duration.count()), steadyBytesPerSecond);
    }

}
}
