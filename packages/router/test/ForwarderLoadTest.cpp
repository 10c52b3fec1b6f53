// What an instance concludes from time-outs while it is behind itself.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    class ForwarderLoadTest : public ::testing::Test {
    protected:
        ForwarderLoadTest()
            : m_bench(1, { .load = &m_load })
        {
            m_bench.listEndpoints({ "e1", "e2", "e3", "e4" });
            m_bench.forwarder.useRelays({ { { "i1" }, { "10.1.0.1", 7341 } }, { { "i2" }, { "10.1.0.2", 7341 } } });
        }

        // Sends requests none of whose connects succeeds, and has the probes that follow end alike.
        void failConnects(int requests, net::ConnectOutcome outcome)
        {
            m_bench.listening.answer = outcome == net::ConnectOutcome::refused ? net::Listening::no : outcome == net::ConnectOutcome::lacksResources ? net::Listening::notAsked
                                                                                                                                                     : net::Listening::unknown;
            for (int i = 0; i < requests; ++i) {
                for (int attempt = 0; attempt < 16; ++attempt) {
                    m_bench.lose(0);
                    m_bench.client.exchanges.back().connect = outcome;
                }
                m_bench.send();
                m_bench.client.exchanges.clear();
                m_bench.clock.advance(300ms);
                m_bench.forwarder.tick();
                m_bench.fibers.runStarted();
            }
        }

        std::size_t relaysAsked() const
        {
            return static_cast<std::size_t>(std::count_if(m_bench.client.options.begin(), m_bench.client.options.end(), [](const net::HttpCallOptions& options) { return options.relay.has_value(); }));
        }

        FakeOwnLoad m_load;
        ForwarderBench m_bench;
    };

    // Guards against an instance whose own link is full, and that takes its paths to the endpoints for lost.
    TEST_F(ForwarderLoadTest, TakesNoPathForLostWhileItIsBehind)
    {
        m_load.behind = true;
        failConnects(10, net::ConnectOutcome::silent);
        EXPECT_TRUE(m_bench.forwarder.reachesDirectly({ "svc" }));
        EXPECT_EQ(relaysAsked(), 0U);
    }

    // Guards against endpoints that are ejected since this instance was behind.
    TEST_F(ForwarderLoadTest, EjectsNoEndpointWhileItIsBehind)
    {
        m_load.behind = true;
        failConnects(10, net::ConnectOutcome::silent);
        m_load.behind = false;
        m_bench.answer(200, { "x" });
        EXPECT_EQ(m_bench.send().response.status, 200);
        EXPECT_FALSE(m_bench.client.options.back().relay);
    }

    // Guards against a path that was lost and isn't noticed: connects that are refused come back at once, however full the link is.
    TEST_F(ForwarderLoadTest, FindsAPathThatRefusesConnectsWhileItIsBehind)
    {
        m_load.behind = true;
        failConnects(10, net::ConnectOutcome::refused);
        EXPECT_FALSE(m_bench.forwarder.reachesDirectly({ "svc" })) << "asked " << relaysAsked();
    }

    TEST_F(ForwarderLoadTest, TakesAPathForLostOnceItIsNoLongerBehind)
    {
        m_load.behind = true;
        failConnects(5, net::ConnectOutcome::silent);
        m_load.behind = false;
        failConnects(5, net::ConnectOutcome::silent);
        EXPECT_FALSE(m_bench.forwarder.reachesDirectly({ "svc" }));
    }

    // Guards against connects that are begun again and again, each of which waits for the same link.
    TEST_F(ForwarderLoadTest, WaitsLongerForAConnectWhileItIsBehind)
    {
        m_bench.answer(200, { "x" });
        m_bench.send();
        EXPECT_EQ(m_bench.client.options.back().connectTimeout, 300ms);
        m_load.behind = true;
        m_bench.answer(200, { "x" });
        m_bench.send();
        EXPECT_EQ(m_bench.client.options.back().connectTimeout, 1'000ms);
    }

    // Guards against endpoints, paths and relays that are blamed for the descriptors which this instance lacks: all of its requests were
    // refused long after it had some again.
    TEST_F(ForwarderLoadTest, BlamesNobodyForWhatItLacksItself)
    {
        failConnects(20, net::ConnectOutcome::lacksResources);
        EXPECT_TRUE(m_bench.forwarder.reachesDirectly({ "svc" }));
        EXPECT_EQ(relaysAsked(), 0U);
        m_bench.answer(200, { "x" });
        EXPECT_EQ(m_bench.send().response.status, 200) << "all endpoints are still chosen from";
    }

    // Guards against a request without a connection that waits for its deadline, or is tried at one endpoint after the other.
    TEST_F(ForwarderLoadTest, RefusesARequestThatItLacksAConnectionFor)
    {
        m_bench.lose(0);
        m_bench.client.exchanges.back().connect = net::ConnectOutcome::lacksResources;
        const auto answered = m_bench.send();
        EXPECT_EQ(answered.response.status, 503);
        EXPECT_NE(net::fieldValue(answered.response.fields, "retry-after"), "0");
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
    }

    // Guards against paths that are taken for lost since this instance lacks the descriptors to look at them.
    TEST_F(ForwarderLoadTest, ConcludesNothingFromProbesThatItCouldNotMake)
    {
        m_bench.listening.answer = net::Listening::notAsked;
        for (int attempt = 0; attempt < 16; ++attempt)
            m_bench.lose(0); // Refused connects, which leave the path in doubt.
        m_bench.send();
        for (int look = 0; look < 10; ++look) {
            m_bench.clock.advance(300ms);
            m_bench.forwarder.tick();
            m_bench.fibers.runStarted();
        }
        EXPECT_GT(m_bench.listening.asked, 0);
        EXPECT_TRUE(m_bench.forwarder.reachesDirectly({ "svc" }));
    }

}
}
