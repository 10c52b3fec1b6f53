// What an attempt by way of another instance keeps of what an attempt by the own path does.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    class ForwarderRelayTest : public ::testing::Test {
    protected:
        ForwarderRelayTest()
        {
            m_bench.listEndpoints({ "e1", "e2", "e3", "e4" });
            m_bench.forwarder.useRelays({ { { "i1" }, { "10.1.0.1", 7341 } }, { { "i2" }, { "10.1.0.2", 7341 } }, { { "i3" }, { "10.1.0.3", 7341 } } });
        }

        // Has the next call end without a connection.
        void fail(net::ConnectOutcome outcome)
        {
            m_bench.lose(0);
            m_bench.client.exchanges.back().connect = outcome;
        }

        // Has the instance find out that it reaches no endpoint by itself.
        void losePath()
        {
            for (int i = 0; i < 2; ++i) {
                fail(net::ConnectOutcome::silent);
                m_bench.answer(200, { "x" });
                m_bench.send();
                m_bench.clock.advance(1ms);
            }
            ASSERT_FALSE(m_bench.forwarder.reachesDirectly({ "svc" }));
            m_bench.client.requests.clear();
            m_bench.client.options.clear();
        }

        ForwarderBench m_bench;
    };

    TEST_F(ForwarderRelayTest, AsksAnotherInstanceForAnEndpointThatItDoesNotReach)
    {
        fail(net::ConnectOutcome::silent);
        m_bench.answer(200, { "x" });
        EXPECT_EQ(m_bench.send().response.status, 200);
        ASSERT_EQ(m_bench.client.options.size(), 2U);
        EXPECT_FALSE(m_bench.client.options[0].relay);
        ASSERT_TRUE(m_bench.client.options[1].relay);
        EXPECT_EQ(m_bench.sent(0, "endpoint"), m_bench.sent(1, "endpoint"));
        EXPECT_EQ(net::fieldValue(m_bench.client.options[1].relayFields, relayEndpointField), m_bench.sent(1, "endpoint"));
        EXPECT_EQ(net::fieldValue(m_bench.client.options[1].relayFields, relayRequestField), "q");
        EXPECT_TRUE(m_bench.client.options[1].freshConnection);
    }

    // Guards against an endpoint that is handed more time than its caller has left.
    TEST_F(ForwarderRelayTest, HandsOnTheTimeThatIsLeftAfterTheConnectsBefore)
    {
        m_bench.client.onCall = [this] { m_bench.clock.advance(300ms); };
        fail(net::ConnectOutcome::silent);
        m_bench.answer(200, { "x" });
        EXPECT_EQ(m_bench.send().response.status, 200);
        EXPECT_EQ(m_bench.sent(0, "timeLeft"), "2000");
        EXPECT_EQ(m_bench.sent(1, "timeLeft"), "1700");
    }

    // Guards against a request that runs twice because its relay was lost.
    TEST_F(ForwarderRelayTest, RepeatsNothingThatMayHaveRunWhereTheRelayIsLost)
    {
        m_bench.useRoute(config::RequestKind::nonIdempotent);
        losePath();
        m_bench.lose(10);
        EXPECT_EQ(m_bench.send().response.status, 502);
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
        EXPECT_EQ(m_bench.listening.asked, 0) << "the own path says nothing of the endpoint";
    }

    // Guards against a request that goes on to end endpoints while its instance reaches them by relays only.
    TEST_F(ForwarderRelayTest, SuspectsARequestWhoseEndpointTheRelayFindsEnded)
    {
        m_bench.useRoute(config::RequestKind::nonIdempotent);
        losePath();
        m_bench.lose(10);
        m_bench.send();
        EXPECT_EQ(m_bench.listening.askedByRelay, 1);
        EXPECT_EQ(m_bench.queries.suspects(), 0U) << "the relay may have lost the connection";
        m_bench.listening.answerByRelay = net::Listening::no;
        m_bench.clock.advance(31s); // It was completed lately.
        m_bench.lose(10);
        m_bench.send();
        EXPECT_EQ(m_bench.queries.suspects(), 1U);
    }

    TEST_F(ForwarderRelayTest, SaysNotRunWhereNoRelayConnects)
    {
        m_bench.useRoute(config::RequestKind::nonIdempotent);
        losePath();
        for (int i = 0; i < 12; ++i)
            fail(net::ConnectOutcome::relayDeclined);
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_EQ(m_bench.client.requests.size(), 3U) << "each of the three once";
        EXPECT_EQ(m_bench.metrics.counter("whinyard_refusals_total{kind=\"noEndpoint\"}"), 1U);
    }

    TEST_F(ForwarderRelayTest, GoesOnToARelayThatReachesTheEndpoint)
    {
        losePath();
        fail(net::ConnectOutcome::relayDeclined);
        fail(net::ConnectOutcome::relayUnreachable);
        m_bench.answer(200, { "x" });
        EXPECT_EQ(m_bench.send().response.status, 200);
        EXPECT_EQ(m_bench.sent(0, "endpoint"), m_bench.sent(2, "endpoint"));
        EXPECT_EQ(m_bench.metrics.counter("whinyard_relayed_connects_total{outcome=\"declined\"}"), 1U);
    }

    // Guards against an engine that works for a caller who has left while its instance asked for a connection.
    TEST_F(ForwarderRelayTest, AsksNoFurtherRelayForACallerWhoHasLeft)
    {
        losePath();
        FakeResponder caller;
        m_bench.client.onCall = [&] { caller.leave(); };
        fail(net::ConnectOutcome::relayDeclined);
        m_bench.send(caller);
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
    }

    // Guards against half of an answer told as whole: the relay passes the close on that a dying endpoint leaves behind.
    TEST_F(ForwarderRelayTest, TakesAnAnswerForCutWhoseEndpointHasEndedBehindTheRelay)
    {
        m_bench.useRoute(config::RequestKind::nonIdempotent);
        losePath();
        m_bench.listening.answerByRelay = net::Listening::no;
        m_bench.answer(200, { "half" }).endsWithConnection = true;
        EXPECT_EQ(m_bench.send().response.status, 502) << "it may have run";
        m_bench.answer(503, { "half" }).endsWithConnection = true;
        EXPECT_EQ(m_bench.send().response.status, 502) << "and half of a failure isn't the endpoint's own either";
        EXPECT_EQ(m_bench.client.requests.size(), 2U);
        EXPECT_EQ(m_bench.listening.asked, 0) << "the own path says nothing of the endpoint";
        EXPECT_EQ(m_bench.metrics.counter("whinyard_relayed_answers_total{endsWith=\"connection\",stated=\"none\",seen=\"lost\"}"), 2U);
    }

    TEST_F(ForwarderRelayTest, RepeatsAnIdempotentRequestWhoseAnswerMayBeCutBehindTheRelay)
    {
        losePath();
        for (const net::Listening found : { net::Listening::no, net::Listening::unknown }) {
            m_bench.listening.answerByRelay = found;
            m_bench.answer(200, { "half" }).endsWithConnection = true;
            m_bench.answer(200, { "whole" });
            EXPECT_EQ(m_bench.send().response.body, "whole");
        }
        EXPECT_EQ(m_bench.client.requests.size(), 4U);
    }

    TEST_F(ForwarderRelayTest, TellsAnAnswerAsWholeWhoseEndpointTheRelayFindsListening)
    {
        losePath();
        m_bench.listening.answerByRelay = net::Listening::yes;
        m_bench.answer(200, { "whole" }).endsWithConnection = true;
        EXPECT_EQ(m_bench.send().response.body, "whole");
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
    }

    // Guards against a stream that looks complete, as its endpoint behind the relay has ended between two of its events.
    TEST_F(ForwarderRelayTest, GoesOnWithAStreamWhoseEndpointHasEndedBehindTheRelay)
    {
        losePath();
        m_bench.useRoute(config::RequestKind::streaming, true);
        m_bench.listening.answerByRelay = net::Listening::no;
        m_bench.answer(200, { "id: 1\ndata: x\n\n" }).endsWithConnection = true;
        m_bench.answer(200, { "id: 2\ndata: x\n\n" });
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(caller.response.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        EXPECT_TRUE(caller.ended);
    }

    // Guards against a stream that hangs for as long as a silent engine may, though its path is known to be lost.
    TEST_F(ForwarderRelayTest, TakesAStreamOffALostPathAtOnce)
    {
        config::Route& route = m_bench.useRoute(config::RequestKind::streaming, true);
        route.timeout = 20s;
        route.objective = 2s;
        route.pauseObjective = 1'500ms;
        m_bench.publish();
        int reads = 0;
        m_bench.answer(200, { "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n" }).onRead = [&] {
            if (++reads != 2)
                return;
            // Other requests find out that the path is lost, by two different endpoints, while this stream is silent.
            for (int i = 0; i < 20 && m_bench.forwarder.reachesDirectly({ "svc" }); ++i) {
                FakeResponder other;
                m_bench.clock.advance(1ms);
                fail(net::ConnectOutcome::refused);
                m_bench.answer(200, { "id: 1\ndata: x\n\n" });
                m_bench.send(other);
            }
            ASSERT_FALSE(m_bench.forwarder.reachesDirectly({ "svc" }));
            m_bench.answer(200, { "id: 2\ndata: x\n\n" });
            m_bench.clock.advance(250ms);
            m_bench.forwarder.tick();
        };
        const FakeResponder caller = m_bench.send({ { "wait", "20000" } });
        EXPECT_EQ(caller.response.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        EXPECT_TRUE(caller.ended);
        EXPECT_TRUE(m_bench.client.options.back().relay);
        EXPECT_EQ(m_bench.sent(m_bench.client.requests.size() - 1, "resume"), "1") << "the stream itself went on by a relay";
    }

    // Guards against an endpoint that is ejected because other instances declined to connect to it.
    TEST_F(ForwarderRelayTest, EjectsNoEndpointThatNobodyHasTried)
    {
        losePath();
        m_bench.listEndpoints({ "e1" });
        for (int i = 0; i < 3; ++i)
            fail(net::ConnectOutcome::relayDeclined);
        EXPECT_EQ(m_bench.send().response.status, 503);
        m_bench.clock.advance(1s);
        m_bench.answer(200, { "x" });
        EXPECT_EQ(m_bench.send().response.status, 200);
    }

}
}
