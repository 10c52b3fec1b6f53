#include "whinyard/net/HttpServer.h"

#include "whinyard/base/Clock.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    using testing::RawConnection;
    constexpr std::chrono::seconds longTime { 60 };

    const Address loopback { "127.0.0.1", 0 };

    // A server on a duty of its own. `/echo` returns the body, other paths are set by the test.
    class HttpServerTest : public ::testing::Test {
    protected:
        void start(HttpHandler handler, HttpServerLimits limits = {})
        {
            runOn(duty, [&] {
                server = HttpServer::open(duty, loopback, limits, std::move(handler), failure);
                ASSERT_TRUE(server) << failure.reason;
                address = server->address();
                client = HttpClient::create(duty);
            });
        }

        void TearDown() override
        {
            runOn(duty, [&] {
                client.reset();
                server.reset();
            });
        }

        Duty duty { "serve" };
        std::unique_ptr<HttpServer> server;
        std::unique_ptr<HttpClient> client;
        Address address;
        HttpCallProgress progress;
        Failure failure;
    };

    void echo(const HttpRequest& request, HttpResponder& responder)
    {
        responder.send({ 200, { { "X-Target", request.method + " " + request.target }, { "X-Was", std::string(fieldValue(request.fields, "x-sent")) } }, request.body });
    }

    // Guards against callers that send their requests to an instance which can't take them.
    TEST_F(HttpServerTest, RefusesConnectionsUnreadWhileItPauses)
    {
        std::chrono::milliseconds pause { 0 };
        start(echo);
        const auto call = [&] {
            return *callOn(duty, [&] { return client->call(address, { "GET", "/", {}, {} }, { .timeout = longTime, .freshConnection = true }, progress, failure).has_value(); });
        };
        runOn(duty, [&] { server->useAdmission([&] { return pause; }); });
        EXPECT_TRUE(call());
        EXPECT_TRUE(call());
        runOn(duty, [&] { pause = longTime; });
        EXPECT_TRUE(call()) << "the connection after which it pauses";
        EXPECT_FALSE(call());
        EXPECT_EQ(progress.connect, ConnectOutcome::refused);
        EXPECT_EQ(progress.bytesWritten, 0U);
        EXPECT_EQ(*callOn(duty, [&] { return server->active(); }), 0U);
    }

    // Guards against a server that doesn't take its address again, or takes no more than one connection.
    TEST_F(HttpServerTest, ListensAgainAfterItsPause)
    {
        start(echo);
        runOn(duty, [&] { server->useAdmission([] { return milliseconds(1); }); });
        int answered = 0;
        const SteadyTime end = SystemClock().now() + longTime;
        while (answered < 20 && SystemClock().now() < end)
            answered += *callOn(duty, [&] { return client->call(address, { "GET", "/", {}, {} }, { .timeout = longTime, .freshConnection = true }, progress, failure).has_value(); }) ? 1 : 0;
        EXPECT_EQ(answered, 20);
    }

    // Guards against a drain that has the server listen again once its pause is over.
    TEST_F(HttpServerTest, StaysClosedWhenItDrainsWhileItPauses)
    {
        start(echo);
        runOn(duty, [&] { server->useAdmission([] { return milliseconds(20); }); });
        runOn(duty, [&] {
            EXPECT_TRUE(client->call(address, { "GET", "/", {}, {} }, { .timeout = longTime, .freshConnection = true, .lastRequest = true }, progress, failure));
            server->drain();
            sleepFor(milliseconds(60));
            EXPECT_FALSE(client->call(address, { "GET", "/", {}, {} }, { .timeout = longTime, .freshConnection = true }, progress, failure));
            EXPECT_EQ(progress.connect, ConnectOutcome::refused);
        });
    }

    TEST_F(HttpServerTest, AnswersOnKeptConnections)
    {
        start(echo);
        runOn(duty, [&] {
            for (int i = 0; i < 3; ++i) {
                const std::string body(static_cast<std::size_t>(i) * 100'000, 'x');
                const auto response = client->call(address, { "POST", "/echo?a=1", { { "X-Sent", "yes" }, { "X-Bad", "a\r\nX-Evil: 1" } }, body }, {}, progress, failure);
                ASSERT_TRUE(response) << failure.reason;
                EXPECT_EQ(response->status, 200);
                EXPECT_EQ(response->body, body);
                EXPECT_EQ(fieldValue(response->fields, "x-target"), "POST /echo?a=1");
                EXPECT_EQ(fieldValue(response->fields, "x-was"), "yes");
                EXPECT_GT(progress.bytesWritten, body.size());
            }
        });
        RawConnection raw(address);
        raw.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nHEAD /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const std::string both = raw.readAll();
        EXPECT_NE(both.find("X-Target: GET /1"), std::string::npos) << both;
        EXPECT_NE(both.find("X-Target: HEAD /2"), std::string::npos) << both;
    }

    TEST_F(HttpServerTest, RefusesWhatItCannotTake)
    {
        start(echo, { .headerBytes = 1'000, .bodyBytes = 10, .receiveTimeout = milliseconds(20) });
        struct Case {
            std::string request;
            std::string status;
            std::string kind;
        };
        const std::vector<Case> cases {
            { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890", "413", "bodyTooLarge" },
            { "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", "413", "bodyTooLarge" },
            { "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n", "431", "bodyTooLarge" },
            { "nonsense\r\n\r\n", "400", "malformedRequest" },
            { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\n01", "408", "requestTimeout" },
        };
        for (const Case& each : cases) {
            RawConnection raw(address);
            raw.write(each.request);
            const std::string answer = raw.readAll();
            EXPECT_EQ(answer.substr(0, 12), "HTTP/1.1 " + each.status) << each.request.substr(0, 60);
            EXPECT_NE(answer.find("\"kind\":\"" + each.kind + "\""), std::string::npos) << answer;
            EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
        }
    }

    TEST_F(HttpServerTest, AsksForABodyThatIsHeldBack)
    {
        start(echo);
        RawConnection continued(address);
        continued.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        EXPECT_EQ(continued.readUntil("\r\n\r\n"), "HTTP/1.1 100 Continue\r\n\r\n");
        continued.write("hi");
        EXPECT_NE(continued.readUntil("hi").find("200 OK"), std::string::npos);
    }

    TEST_F(HttpServerTest, AnswersForAHandlerThatFails)
    {
        start([](const HttpRequest& request, HttpResponder&) {
            if (request.target == "/throw")
                throw std::runtime_error("broken");
        });
        runOn(duty, [&] {
            for (const char* target : { "/throw", "/silent" }) {
                const auto response = client->call(address, { "GET", target, {}, {} }, {}, progress, failure);
                ASSERT_TRUE(response) << failure.reason;
                EXPECT_EQ(response->status, 500);
                EXPECT_NE(response->body.find("\"notRun\":false"), std::string::npos) << response->body;
            }
        });
    }

    TEST_F(HttpServerTest, StreamsEachPieceAtOnceAndMarksTheEnd)
    {
        Signal next;
        start([&](const HttpRequest& request, HttpResponder& responder) {
            responder.begin({ 200, { { "Content-Type", "text/event-stream" } }, {} });
            for (const char* piece : { "one", "", "two" }) {
                responder.write(piece);
                if (*piece)
                    next.wait(longTime);
            }
            if (request.target == "/whole")
                responder.end();
        });
        runOn(duty, [&] {
            for (const char* target : { "/whole", "/cut" }) {
                auto stream = client->open(address, { "GET", target, {}, {} }, {}, progress, failure);
                ASSERT_TRUE(stream) << failure.reason;
                EXPECT_EQ(fieldValue(stream->head().fields, "content-type"), "text/event-stream");
                EXPECT_EQ(stream->read(failure), "one");
                next.notify();
                EXPECT_EQ(stream->read(failure), "two");
                next.notify();
                const auto last = stream->read(failure);
                if (target == std::string("/whole")) {
                    EXPECT_EQ(last, "");
                } else {
                    EXPECT_EQ(last, std::nullopt);
                    EXPECT_EQ(failure.kind, ErrorKind::endpointFailed);
                    EXPECT_EQ(failure.runState, RunState::unknown);
                }
            }
        });
    }

    TEST_F(HttpServerTest, NoticesAPeerThatLeft)
    {
        Signal entered;
        Signal left;
        bool noticed = false;
        start([&](const HttpRequest&, HttpResponder& responder) {
            responder.begin({});
            responder.write("x");
            EXPECT_FALSE(responder.peerGone());
            entered.notify();
            while (!responder.peerGone())
                sleepFor(milliseconds(1));
            noticed = true;
            left.notify();
        });
        auto raw = std::make_unique<RawConnection>(address);
        raw->write("GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /pipelined HTTP/1.1\r\n");
        raw->readUntil("x\r\n");
        runOn(duty, [&] { EXPECT_EQ(server->active(), 1U); });
        raw.reset();
        runOn(duty, [&] { EXPECT_TRUE(noticed || left.wait(longTime)); });
    }

    TEST_F(HttpServerTest, DrainsWithoutCuttingAnAnswer)
    {
        Signal release;
        start([&](const HttpRequest& request, HttpResponder& responder) {
            if (request.target == "/slow")
                release.wait(longTime);
            responder.send({ 200, {}, "whole" });
        });
        RawConnection idle(address);
        idle.write("GET /fast HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_NE(idle.readUntil("whole").find("200 OK"), std::string::npos);
        RawConnection slow(address);
        slow.write("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n");
        runOn(duty, [&] {
            while (server->active() == 0)
                sleepFor(milliseconds(1));
            // This request has arrived when the drain begins, but nothing has read it.
            idle.write("GET /late HTTP/1.1\r\nHost: a\r\n\r\n");
            server->drain();
            EXPECT_FALSE(client->call(address, {}, {}, progress, failure));
            EXPECT_EQ(progress.bytesWritten, 0U);
            EXPECT_EQ(failure.kind, ErrorKind::peerUnreachable);
            EXPECT_EQ(failure.runState, RunState::notRun);
        });
        EXPECT_NE(idle.readAll().find("Connection: close"), std::string::npos);
        runOn(duty, [&] { release.notify(); });
        const std::string answer = slow.readAll();
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
        EXPECT_NE(answer.find("whole"), std::string::npos) << answer;
    }

    // Guards against a server that is ended while a kept connection may still deliver a request.
    TEST_F(HttpServerTest, IsDrainedOnceNoRequestCanCome)
    {
        start(echo);
        RawConnection idle(address);
        idle.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        idle.readUntil("X-Target: GET /1");
        RawConnection partial(address);
        partial.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        partial.readUntil("X-Target: GET /1");
        runOn(duty, [&] {
            EXPECT_FALSE(server->isDrained());
            server->drain();
            EXPECT_EQ(server->active(), 0U);
            EXPECT_FALSE(server->isDrained());
        });
        partial.write("GET /2 HTTP/1.1\r\nHo");
        runOn(duty, [&] {
            while (server->active() == 0)
                sleepFor(milliseconds(1));
            sleepFor(milliseconds(400));
            EXPECT_FALSE(server->isDrained()) << "a request is being read";
        });
        partial.write("st: a\r\n\r\n");
        EXPECT_NE(partial.readAll().find("X-Target: GET /2"), std::string::npos);
        runOn(duty, [&] {
            while (!server->isDrained())
                sleepFor(milliseconds(1));
        });
        idle.readAll(); // It is closed.
    }

    // The system has finished the connection before the server has looked for it. A small machine may look a good while later, and its caller
    // would see a request that nobody answers.
    TEST_F(HttpServerTest, AnswersWhatWaitsToBeAcceptedAsItDrains)
    {
        start(echo);
        std::unique_ptr<RawConnection> waiting;
        runOn(duty, [&] {
            waiting = std::make_unique<RawConnection>(address);
            waiting->write("GET /waiting HTTP/1.1\r\nHost: a\r\n\r\n");
            server->drain();
            EXPECT_FALSE(server->isDrained());
        });
        const std::string answer = waiting->readAll();
        EXPECT_NE(answer.find("X-Target: GET /waiting"), std::string::npos) << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos) << answer;
    }

    // The machine holds the server up from before the request comes until after the end of the time for late ones.
    TEST_F(HttpServerTest, AnswersWhatCameInTimeThoughItIsReadLate)
    {
        constexpr milliseconds heldUp { 350 };
        start(echo);
        RawConnection kept(address);
        kept.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        kept.readUntil("X-Target: GET /1");
        RawConnection pieces(address);
        pieces.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        pieces.readUntil("X-Target: GET /1");
        std::unique_ptr<RawConnection> accepted;
        runOn(duty, [&] {
            accepted = std::make_unique<RawConnection>(address);
            server->drain();
            kept.write("GET /kept HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
            pieces.write("GET /pieces HTTP/1.1\r\nHo");
            accepted->write("GET /accepted HTTP/1.1\r\nHost: a\r\n\r\n");
            std::this_thread::sleep_for(heldUp);
        });
        pieces.write("st: a\r\n\r\n");
        EXPECT_NE(kept.readAll().find("X-Target: GET /kept"), std::string::npos);
        EXPECT_NE(pieces.readAll().find("X-Target: GET /pieces"), std::string::npos);
        EXPECT_NE(accepted->readAll().find("X-Target: GET /accepted"), std::string::npos);
    }

    // The next request of a kept connection crosses the close. Guards against a close with unread bytes, which resets the connection: what the
    // caller has not received of the answer before is lost.
    TEST_F(HttpServerTest, LosesNoAnswerToARequestThatCrossesTheClose)
    {
        constexpr std::size_t largeBytes = 300'000; // More than a caller that doesn't read yet takes.
        Signal entered;
        Signal release;
        start([&](const HttpRequest&, HttpResponder& responder) {
            entered.notify();
            release.wait(longTime);
            responder.send({ 200, {}, std::string(largeBytes, 'x') + "whole" });
        });
        RawConnection kept(address);
        runOn(duty, [&] {
            kept.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
            entered.wait(longTime);
            kept.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
            server->drain();
            release.notify();
            while (!server->isDrained())
                sleepFor(milliseconds(1));
        });
        const std::string answer = kept.readAll();
        EXPECT_TRUE(answer.ends_with("whole")) << answer.size();
    }

    // Guards against an observer that outlives what it was made for, while the server still reads after an answer.
    TEST_F(HttpServerTest, WatchesNoCallerOnceItsHandlerHasReturned)
    {
        std::atomic<int> told = 0;
        start([&](const HttpRequest&, HttpResponder& responder) {
            responder.whenPeerGone([&told] { ++told; });
            server->announceClose();
            responder.send({ 200, {}, "whole" });
        });
        RawConnection kept(address);
        kept.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        kept.readAll();
        kept.close();
        runOn(duty, [&] {
            server->drain();
            while (!server->isDrained())
                sleepFor(milliseconds(1));
        });
        EXPECT_EQ(told, 0);
    }

    TEST_F(HttpServerTest, TellsThatItsPortIsInUse)
    {
        start(echo);
        runOn(duty, [&] {
            EXPECT_FALSE(HttpServer::open(duty, address, {}, echo, failure));
            EXPECT_EQ(failure.reason, "can't listen on " + toText(address) + ": the port is in use");
        });
    }

}
}
