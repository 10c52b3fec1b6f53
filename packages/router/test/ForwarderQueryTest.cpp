// Requests that end the endpoints that run them: what counts as that, which dispatches are kept back, and what callers see.
#include "whinyard/router/Forwarder.h"

#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using config::RequestKind;

    class ForwarderQueryTest : public ::testing::Test {
    protected:
        ForwarderQueryTest()
        {
            m_bench.listEndpoints({ "e1", "e2", "e3", "e4", "e5", "e6" });
            m_bench.listening.answer = net::Listening::no;
        }

        // Endpoints end with the request until it is refused, and that is known everywhere.
        void learn()
        {
            for (int attempt = 0; attempt < 3; ++attempt)
                m_bench.lose(50);
            m_bench.send();
            m_bench.clock.advance(400ms);
            m_bench.queries.refresh(m_bench.clock.now());
        }

        std::size_t sends() const { return m_bench.client.requests.size(); }

        ForwarderBench m_bench;
    };

    TEST_F(ForwarderQueryTest, SendsNoRequestThatHasEndedThreeEndpoints)
    {
        learn();
        EXPECT_EQ(sends(), 3U);
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(caller.response.status, 400);
        EXPECT_EQ(caller.field("retry-after"), "0") << "it isn't to come again";
        EXPECT_EQ(sends(), 3U);
        m_bench.answer(200, { "sound" });
        EXPECT_EQ(m_bench.send({ { "host", "a.example" } }).response.status, 400) << "whatever its fields and id";
        EXPECT_EQ(sends(), 3U);
    }

    TEST_F(ForwarderQueryTest, ServesOtherRequestsOfTheCustomer)
    {
        learn();
        m_bench.answer(200, { "sound" });
        FakeResponder caller;
        const net::HttpRequest other { .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k1" } }, .body = "other" };
        m_bench.forwarder.handle(other, caller);
        EXPECT_EQ(caller.response.status, 200);
    }

    TEST_F(ForwarderQueryTest, RefusesACustomersRequestForNoOtherCustomer)
    {
        learn();
        m_bench.routing.customers.push_back({ { "college" }, { "k2" }, std::nullopt });
        m_bench.publish();
        m_bench.answer(200, { "sound" });
        FakeResponder caller;
        const net::HttpRequest same { .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k2" } }, .body = "body" };
        m_bench.forwarder.handle(same, caller);
        EXPECT_EQ(caller.response.status, 200);
    }

    // A reset of connections loses as many requests as the end of an engine does.
    TEST_F(ForwarderQueryTest, SuspectsNothingWhileTheEndpointStillListens)
    {
        for (const net::Listening answer : { net::Listening::yes, net::Listening::unknown }) {
            m_bench.listening.answer = answer;
            learn();
            EXPECT_EQ(m_bench.queries.suspects(), 0U);
        }
        EXPECT_EQ(m_bench.listening.asked, 6);
    }

    TEST_F(ForwarderQueryTest, AsksForTheEndpointOnlyAfterALostConnection)
    {
        m_bench.answer(200, { "sound" });
        m_bench.send();
        m_bench.answer(500, { "x" });
        m_bench.answer(200, { "sound" });
        m_bench.send();
        m_bench.lose(0);
        m_bench.answer(200, { "sound" });
        m_bench.send();
        EXPECT_EQ(m_bench.listening.asked, 0);
    }

    // The run that meets the third end has no attempt left, and would have its caller come again with a 502.
    TEST_F(ForwarderQueryTest, AnswersTheRunThatShowsItForGood)
    {
        m_bench.useRoute(RequestKind::streaming, true);
        for (int attempt = 0; attempt < 3; ++attempt)
            m_bench.script(200, { { "id", "q" }, { "signed", "s" } }, { "id: " }, true);
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(sends(), 3U);
        EXPECT_EQ(caller.response.status, 400);
    }

    TEST_F(ForwarderQueryTest, KeepsTheAnswerOfWhatCanNotBeRepeated)
    {
        m_bench.useRoute(RequestKind::nonIdempotent);
        for (int caller = 0; caller < 3; ++caller) {
            m_bench.lose(50);
            EXPECT_EQ(m_bench.send().response.status, 502) << "it may have run";
        }
        m_bench.clock.advance(400ms);
        m_bench.queries.refresh(m_bench.clock.now());
        EXPECT_EQ(m_bench.send().response.status, 400) << "this one has not";
        EXPECT_EQ(sends(), 3U);
    }

    TEST_F(ForwarderQueryTest, SendsNoRetryAfterTheVerdictOfAnotherInstance)
    {
        const RequestDigest digest = digestOf({ .customer = "school", .method = "POST", .host = "a.example", .target = "/p/x", .body = "body" });
        m_bench.lose(50);
        m_bench.client.onCall = [&] { m_bench.queries.takeVerdict({ digest, { "svc" }, { { 1 }, { 2 }, { 3 } }, 10min }, m_bench.clock.now()); };
        EXPECT_EQ(m_bench.send().response.status, 400);
        EXPECT_EQ(sends(), 1U);
    }

    TEST_F(ForwarderQueryTest, EndsACopyThatIsUnderWayAtTheVerdict)
    {
        const RequestDigest digest = digestOf({ .customer = "school", .method = "POST", .host = "a.example", .target = "/p/x", .body = "body" });
        std::size_t reads = 0;
        m_bench.answer(200, std::vector<std::string>(20, "piece")).onRead = [&] {
            if (++reads == 3) {
                m_bench.queries.takeVerdict({ digest, { "svc" }, { { 1 }, { 2 }, { 3 } }, 10min }, m_bench.clock.now());
                m_bench.forwarder.tick();
            }
        };
        EXPECT_EQ(m_bench.send().response.status, 400);
        EXPECT_EQ(reads, 3U);
        EXPECT_EQ(sends(), 1U);
    }

    TEST_F(ForwarderQueryTest, HoldsARequestUntilItIsKnownWhichOneEndedTheEndpoints)
    {
        for (int attempt = 0; attempt < 3; ++attempt)
            m_bench.lose(50);
        EXPECT_EQ(m_bench.send().response.status, 502);
        const FakeResponder caller = m_bench.send();
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_EQ(caller.field("retry-after"), "350");
        EXPECT_EQ(sends(), 3U);
    }

    // What can't be repeated runs on when its caller leaves, and may end its endpoint then.
    TEST_F(ForwarderQueryTest, SuspectsARequestWhoseCallerHasLeft)
    {
        m_bench.useRoute(RequestKind::nonIdempotent);
        FakeResponder caller;
        m_bench.answer(200, { "x" }, true).onRead = [&] { caller.leave(); };
        m_bench.send(caller);
        EXPECT_EQ(m_bench.queries.suspects(), 1U);
    }

    // Otherwise it would take two further failures.
    TEST_F(ForwarderQueryTest, SendsNothingMoreToAnEndpointThatHasEnded)
    {
        m_bench.lose(50);
        m_bench.answer(200, { "x" });
        m_bench.send();
        const std::string ended = m_bench.sent(0, "endpoint");
        for (int call = 0; call < 20; ++call) {
            m_bench.answer(200, { "x" });
            m_bench.send();
            EXPECT_NE(m_bench.sent(sends() - 1, "endpoint"), ended);
        }
    }

    // Of the streams that an engine takes along most were answered for a while.
    TEST_F(ForwarderQueryTest, DoesNotSuspectAStreamThatWasAnsweredForLong)
    {
        m_bench.useRoute(RequestKind::streaming, true);
        m_bench.answer(200, { "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n" }, true).onRead = [&] { m_bench.clock.advance(510ms); };
        m_bench.answer(200, { "id: 3\ndata: c\n\n" });
        m_bench.send();
        EXPECT_EQ(sends(), 2U);
        EXPECT_EQ(m_bench.queries.suspects(), 0U);
    }

    // The endpoint that the first suspect is at has the least to do, so that the other one would mostly be sent there as well.
    TEST(ForwarderSuspectsTest, GoToDifferentEndpoints)
    {
        constexpr int draws = 20; // Endpoints are compared a few at a time.
        for (int draw = 0; draw < draws; ++draw) {
            ForwarderBench bench;
            bench.listEndpoints({ "e1", "e2", "e3" });
            bench.listening.answer = net::Listening::no;
            const auto sendOther = [&] {
                for (const char* name : { "e1", "e2", "e3" }) {
                    for (int request = 0; request < 5 && name != bench.sent(1, "endpoint"); ++request)
                        bench.directory.recordDispatch({ name }, {}, bench.clock.now());
                }
                const RequestDigest other = digestOf({ .customer = "school", .method = "POST", .host = "a.example", .target = "/p/x", .body = "other" });
                bench.queries.takeLoss({ other, { 1 }, LossStage::begun }, bench.clock.now());
                FakeResponder caller;
                const net::HttpRequest request { .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k1" } }, .body = "other" };
                bench.forwarder.handle(request, caller);
            };
            bool isNested = false;
            bench.lose(50);
            bench.answer(200, { "a" }).onRead = [&] {
                if (!std::exchange(isNested, true))
                    sendOther();
            };
            bench.answer(200, { "b" });
            bench.send();
            ASSERT_EQ(bench.client.requests.size(), 3U);
            EXPECT_NE(bench.sent(1, "endpoint"), bench.sent(2, "endpoint")) << "draw " << draw;
        }
    }

    // Requests of which no two are alike. Each letter of `parts` is a part of the prompt, the last one the request's own.
    class ForwarderPartTest : public ForwarderQueryTest {
    protected:
        ForwarderPartTest() { m_bench.useRoute(RequestKind::streaming, true); }

        FakeResponder sendWith(const std::string& parts)
        {
            FakeResponder caller;
            const net::HttpRequest request { .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k1" }, { "parts", parts } }, .body = std::to_string(++m_sent) };
            m_bench.forwarder.handle(request, caller);
            m_bench.clock.advance(200ms);
            m_bench.queries.refresh(m_bench.clock.now());
            return caller;
        }

        // An endpoint ends as it begins to answer.
        void end() { m_bench.script(200, { { "id", "q" }, { "signed", "s" } }, { "id: " }, true); }

        void learnPart()
        {
            for (int request = 0; request < 3; ++request) {
                end();
                m_bench.answer(200, { "id: 1\ndata: a\n\n" });
                sendWith("sb" + std::string(1, static_cast<char>('1' + request)));
            }
        }

        int m_sent = 0;
    };

    // Guards against requests with a part in common that end endpoints one after the other.
    TEST_F(ForwarderPartTest, SendsNoRequestWithAPartThatHasEndedEndpoints)
    {
        for (int request = 0; request < 12; ++request) {
            end();
            end();
            end();
            sendWith("sb" + std::string(1, static_cast<char>('1' + request)));
        }
        const std::size_t before = sends();
        EXPECT_LE(before, 5U);
        EXPECT_EQ(sendWith("sbx").response.status, 400);
        EXPECT_EQ(sendWith("bx").response.status, 400) << "whatever else it holds";
        EXPECT_EQ(sends(), before);
    }

    // Guards against the refusal of all that shares another part with such requests.
    TEST_F(ForwarderPartTest, ServesRequestsWithTheOtherParts)
    {
        learnPart();
        m_bench.client.exchanges.clear();
        for (const char* parts : { "sx", "scx", "bs", "x" }) {
            m_bench.answer(200, { "id: 1\ndata: a\n\n" });
            EXPECT_EQ(sendWith(parts).response.status, 200) << parts << ": the last part is the request's own";
        }
    }

    // Answers with neither a length nor chunks, of which a close is the end.
    class ForwarderUnframedTest : public ForwarderPartTest {
    protected:
        endpoint::FakeExchange& unframed(std::vector<std::string> pieces)
        {
            endpoint::FakeExchange& exchange = m_bench.answer(200, std::move(pieces));
            exchange.endsWithConnection = true;
            return exchange;
        }
    };

    // Guards against an endpoint that ends within an event by a close, and whose request isn't suspected.
    TEST_F(ForwarderUnframedTest, SuspectsAStreamThatEndsWithinAnEvent)
    {
        m_bench.useRoute(RequestKind::streaming, false);
        unframed({ "id: 1\ndata: a\n\nid: 2\nda" });
        const FakeResponder caller = sendWith("sx");
        EXPECT_FALSE(caller.ended) << "the caller sees the cut";
        EXPECT_EQ(m_bench.queries.suspects(), 1U);
    }

    // Guards against a head without a body that counts as a success, and clears the request that ended the endpoint.
    TEST_F(ForwarderUnframedTest, TakesAHeadWithoutAnEventForALoss)
    {
        unframed({});
        m_bench.answer(200, { "id: 1\ndata: a\n\n" });
        const FakeResponder caller = sendWith("sx");
        EXPECT_EQ(sends(), 2U);
        EXPECT_EQ(caller.response.body, "id: 1\ndata: a\n\n");
    }

    // Guards against a stream that looks complete though its endpoint has ended between two events.
    TEST_F(ForwarderUnframedTest, GoesOnWhereTheEndpointHasEndedBetweenEvents)
    {
        unframed({ "id: 1\ndata: a\n\n" });
        m_bench.answer(200, { "id: 2\ndata: b\n\n" });
        sendWith("sx");
        EXPECT_EQ(sends(), 2U);
    }

    TEST_F(ForwarderUnframedTest, EndsAStreamWhoseEndpointStillListens)
    {
        m_bench.listening.answer = net::Listening::yes;
        unframed({ "id: 1\ndata: a\n\n" });
        const FakeResponder caller = sendWith("sx");
        EXPECT_EQ(sends(), 1U);
        EXPECT_EQ(caller.response.body, "id: 1\ndata: a\n\n");
        EXPECT_TRUE(caller.ended);
    }

    // Guards against a whole answer that is cut by the end of its endpoint, and shown as complete.
    TEST_F(ForwarderUnframedTest, AsksForTheEndpointOfAWholeAnswer)
    {
        m_bench.useRoute(RequestKind::idempotent);
        unframed({ "ha" });
        m_bench.answer(200, { "half" });
        EXPECT_EQ(sendWith("").response.body, "half");
        m_bench.listening.answer = net::Listening::yes;
        unframed({ "whole" });
        EXPECT_EQ(sendWith("").response.body, "whole");
        EXPECT_EQ(sends(), 3U);
    }

}
}
