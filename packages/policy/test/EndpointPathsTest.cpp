// When an instance takes its own path to endpoints for lost, which relay it asks then, and when it returns.
#include "whinyard/policy/EndpointPaths.h"

#include "whinyard/policy/FleetNames.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    class EndpointPathsTest : public ::testing::Test {
    protected:
        EndpointPathsTest() { m_paths.useRelays(instancesNamed(0, 8)); }

        void failDirect(const std::string& endpoint) { m_paths.recordDirect(m_service, { endpoint }, false, m_now); }

        // Has two endpoints fail, and a relay reach one of them.
        void losePath()
        {
            failDirect("e1");
            failDirect("e2");
            m_paths.recordRelay(m_service, instanceNamed(0), RelayOutcome::connected, m_now, m_now);
            ASSERT_FALSE(m_paths.isDirect(m_service));
        }

        // Ends the rounds of probes that are due within `duration`. Returns how many probes there were.
        std::size_t probe(std::chrono::milliseconds duration, bool isConnected)
        {
            std::size_t probes = 0;
            for (const SteadyTime end = m_now + duration; m_now < end; m_now += 50ms) {
                for (const PathProbe& round : m_paths.takeProbes(m_now)) {
                    m_paths.recordProbes(round.service, isConnected ? round.endpoints : 0, isConnected ? 0 : round.endpoints, m_now);
                    probes += round.endpoints;
                }
            }
            return probes;
        }

        const ServiceName m_service { "svc" };
        EndpointPaths m_paths { {}, Random(1) };
        SteadyTime m_now { 100s };
    };

    // Guards against endpoints that ended being taken for a lost path: other instances would only pass on what fails there too.
    TEST_F(EndpointPathsTest, StaysWithItsOwnPathWhileOtherEndpointsAreReached)
    {
        for (int i = 0; i < 10; ++i) {
            failDirect("e" + std::to_string(i));
            m_now += 1ms;
            m_paths.recordDirect(m_service, { "good" }, true, m_now);
            EXPECT_FALSE(m_paths.mayRelayAfter(m_service, m_now));
        }
        EXPECT_EQ(probe(2s, false), 0U);
        EXPECT_TRUE(m_paths.isDirect(m_service));
    }

    TEST_F(EndpointPathsTest, TakesOneFailureForAnEndpointsOwn)
    {
        failDirect("e1");
        EXPECT_TRUE(m_paths.mayRelayAfter(m_service, m_now));
        m_paths.recordRelay(m_service, instanceNamed(0), RelayOutcome::connected, m_now, m_now);
        EXPECT_TRUE(m_paths.isDirect(m_service));
    }

    TEST_F(EndpointPathsTest, LosesItsPathWhereARelayReachesWhatItDoesNot)
    {
        losePath();
        EXPECT_TRUE(m_paths.isDirect({ "other" })) << "each service by itself";
    }

    // Guards against a success that came before being taken for one by a path that is lost since, and the other way round.
    TEST_F(EndpointPathsTest, HeedsOnlyConnectsThatBeganLater)
    {
        const SteadyTime began = m_now;
        m_paths.recordDirect(m_service, { "good" }, true, m_now + 1ms);
        m_paths.recordDirect(m_service, { "e1" }, false, began);
        m_paths.recordDirect(m_service, { "e2" }, false, began);
        m_paths.recordRelay(m_service, instanceNamed(0), RelayOutcome::connected, began, m_now + 300ms);
        EXPECT_TRUE(m_paths.isDirect(m_service));
    }

    TEST_F(EndpointPathsTest, LosesItsPathWhereAllProbesFail)
    {
        failDirect("e1");
        failDirect("e2");
        m_now += 1ms;
        EXPECT_EQ(probe(50ms, false), 4U);
        EXPECT_FALSE(m_paths.isDirect(m_service));
    }

    TEST_F(EndpointPathsTest, ReturnsAfterProbesInARowAndNotAfterOne)
    {
        losePath();
        EXPECT_EQ(probe(500ms, true), 2U);
        EXPECT_EQ(probe(250ms, false), 1U);
        EXPECT_EQ(probe(750ms, true), 3U);
        EXPECT_FALSE(m_paths.isDirect(m_service));
        probe(250ms, true);
        EXPECT_TRUE(m_paths.isDirect(m_service));
    }

    // Guards against callers who wait for relays that are partitioned from the endpoints as well.
    TEST_F(EndpointPathsTest, IsLostWhereNoRelayReachesTheEndpointsEither)
    {
        losePath();
        for (int i = 0; i < 8; ++i) {
            EXPECT_FALSE(m_paths.isLost(m_service, m_now));
            EXPECT_TRUE(m_paths.recordRelay(m_service, instanceNamed(7 - i), RelayOutcome::declined, std::nullopt, m_now));
        }
        EXPECT_TRUE(m_paths.isLost(m_service, m_now));
        m_now += 250ms;
        EXPECT_FALSE(m_paths.isLost(m_service, m_now)) << "one tries again";
        EXPECT_TRUE(m_paths.isLost(m_service, m_now)) << "the others don't";
        m_paths.recordRelay(m_service, instanceNamed(7), RelayOutcome::connected, std::nullopt, m_now);
        EXPECT_FALSE(m_paths.isLost(m_service, m_now));
        EXPECT_EQ(m_paths.drawRelay(m_service, {}, m_now), instanceNamed(7));
    }

    TEST_F(EndpointPathsTest, ReturnsAtOnceWhereNothingElseIsLeft)
    {
        m_paths.useRelays({});
        failDirect("e1");
        failDirect("e2");
        m_now += 1ms;
        probe(50ms, false);
        EXPECT_TRUE(m_paths.isLost(m_service, m_now));
        m_now += 250ms;
        probe(50ms, true);
        EXPECT_TRUE(m_paths.isDirect(m_service));
    }

    // Guards against relays that work being given up for endpoints that have ended.
    TEST_F(EndpointPathsTest, BlamesTheEndpointWhereARelayHasWorked)
    {
        losePath();
        const InstanceName relay = instanceNamed(0);
        EXPECT_FALSE(m_paths.recordRelay(m_service, relay, RelayOutcome::endpointUnreachable, std::nullopt, m_now)) << "no other relay is asked";
        m_paths.recordRelay(m_service, relay, RelayOutcome::connected, std::nullopt, m_now);
        EXPECT_FALSE(m_paths.recordRelay(m_service, relay, RelayOutcome::endpointUnreachable, std::nullopt, m_now));
        EXPECT_TRUE(m_paths.recordRelay(m_service, relay, RelayOutcome::endpointUnreachable, std::nullopt, m_now)) << "twice in a row speaks against the relay";
    }

    // Guards against callers that are refused because most instances share their instance's partition.
    TEST_F(EndpointPathsTest, FindsTheOnlyRelayThatReachesTheEndpoints)
    {
        failDirect("e1");
        failDirect("e2");
        m_now += 1ms;
        probe(50ms, false);
        int connected = 0;
        for (int i = 0; i < 100; ++i, m_now += 50ms) {
            std::vector<InstanceName> asked;
            while (asked.size() < 3 && !m_paths.isLost(m_service, m_now)) {
                const std::optional<InstanceName> relay = m_paths.drawRelay(m_service, asked, m_now);
                if (!relay)
                    break;
                const bool works = *relay == instanceNamed(5);
                asked.push_back(*relay);
                m_paths.recordRelay(m_service, *relay, works ? RelayOutcome::connected : RelayOutcome::declined, std::nullopt, m_now);
                if (works) {
                    ++connected;
                    break;
                }
            }
        }
        EXPECT_GT(connected, 90);
    }

    // Guards against one relay that bears the requests of all others.
    TEST_F(EndpointPathsTest, SpreadsRequestsOverRelays)
    {
        losePath();
        std::map<InstanceName, int> drawn;
        for (int i = 0; i < 2'000; ++i) {
            const InstanceName relay = *m_paths.drawRelay(m_service, {}, m_now);
            m_paths.recordRelay(m_service, relay, RelayOutcome::connected, std::nullopt, m_now);
            ++drawn[relay];
        }
        EXPECT_EQ(drawn.size(), 8U);
        for (const auto& [relay, count] : drawn)
            EXPECT_LT(count, 500) << relay.value;
    }

}
}
