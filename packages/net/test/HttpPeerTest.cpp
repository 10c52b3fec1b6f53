// What a server and a client do when the other side leaves, answers early or names fields of the connection.
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <functional>
#include <thread>

namespace whinyard::net {
namespace {

    using namespace std::chrono_literals;
    using testing::RawConnection;

    class HttpPeerTest : public ::testing::Test {
    protected:
        ~HttpPeerTest() override
        {
            runOn(m_duty, [this] { m_server.reset(); });
        }

        Address serve(HttpHandler handler)
        {
            return *callOn(m_duty, [&] {
                Failure failure;
                m_server = HttpServer::open(m_duty, { "127.0.0.1", 0 }, {}, std::move(handler), failure);
                return m_server->address();
            });
        }

        // Answers once the observer was called, at the latest after `longest`.
        HttpHandler waitForLeaving(std::chrono::milliseconds longest)
        {
            return [this, longest](const HttpRequest&, HttpResponder& responder) {
                Signal gone;
                responder.whenPeerGone([&] {
                    m_observed = true;
                    gone.notify();
                });
                m_began = true;
                gone.wait(longest);
                responder.send({ .status = 200, .fields = {}, .body = "done" });
                m_handled = true;
            };
        }

        // Waits for a condition, for two seconds at most.
        static bool comesTrue(const std::function<bool()>& condition)
        {
            for (int look = 0; look < 200 && !condition(); ++look)
                std::this_thread::sleep_for(10ms);
            return condition();
        }

        Duty m_duty { "test" };
        std::unique_ptr<HttpServer> m_server;
        std::atomic<bool> m_began = false;
        std::atomic<bool> m_observed = false;
        std::atomic<bool> m_handled = false;
    };

    TEST_F(HttpPeerTest, TellsTheHandlerThatItsPeerLeft)
    {
        RawConnection peer(serve(waitForLeaving(5s)));
        peer.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(comesTrue([this] { return m_began.load(); }));
        peer.close();
        EXPECT_TRUE(comesTrue([this] { return m_handled.load(); }));
        EXPECT_TRUE(m_observed);
    }

    TEST_F(HttpPeerTest, TakesAPipelinedRequestForNoLeaving)
    {
        RawConnection peer(serve(waitForLeaving(200ms)));
        peer.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_NE(peer.readUntil("done").find("200 OK"), std::string::npos);
        EXPECT_NE(peer.readUntil("done").find("200 OK"), std::string::npos);
        EXPECT_FALSE(m_observed);
    }

    TEST_F(HttpPeerTest, AnnouncesTheCloseAndStillAccepts)
    {
        const Address address = serve([](const HttpRequest&, HttpResponder& responder) { responder.send({ .status = 200, .fields = {}, .body = "done" }); });
        runOn(m_duty, [this] { m_server->announceClose(); });
        RawConnection peer(address);
        peer.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        EXPECT_NE(peer.readAll().find("Connection: close"), std::string::npos);
    }

    TEST_F(HttpPeerTest, ReadsNoRequestThatComesLongAfterTheDrainBegan)
    {
        std::atomic<int> handled = 0;
        const Address address = serve([&handled](const HttpRequest&, HttpResponder& responder) {
            ++handled;
            responder.begin({}); // The head can't announce a close that nobody knows of yet.
            sleepFor(700ms);
            responder.write("done");
            responder.end();
        });
        RawConnection peer(address);
        peer.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        ASSERT_TRUE(comesTrue([&] { return handled == 1; }));
        runOn(m_duty, [this] { m_server->drain(); });
        EXPECT_NE(peer.readUntil("0\r\n\r\n").find("done"), std::string::npos);
        peer.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        peer.readAll();
        EXPECT_EQ(handled, 1);
    }

    TEST_F(HttpPeerTest, PassesNoFieldOnThatTheConnectionFieldNames)
    {
        std::string seen = "unset";
        const Address address = serve([&seen](const HttpRequest& request, HttpResponder& responder) {
            seen = std::string(fieldValue(request.fields, "X-Hop"));
            responder.send({});
        });
        RawConnection peer(address);
        peer.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close, x-hop\r\nX-Hop: 1\r\n\r\n");
        peer.readAll();
        EXPECT_EQ(seen, "");
    }

    // A server that answers after the head and reads no body: a large request would fill every buffer on the way.
    TEST(EarlyAnswerTest, IsReadWhileTheRequestIsStillBeingSent)
    {
        boost::asio::io_context loop;
        boost::asio::ip::tcp::acceptor acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        std::atomic<bool> finished = false;
        std::thread server([&] {
            RawConnection connection(acceptor);
            connection.readUntil("\r\n\r\n");
            connection.write("HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy");
            while (!finished)
                std::this_thread::sleep_for(5ms);
        });
        Duty duty("test");
        HttpRequest request;
        request.method = "POST";
        request.body = std::string(64 * 1024 * 1024, 'x');
        HttpCallOptions options;
        options.timeout = 5s;
        const auto response = callOn(duty, [&] {
            HttpCallProgress progress;
            Failure failure;
            const auto client = HttpClient::create(duty);
            return client->call({ "127.0.0.1", acceptor.local_endpoint().port() }, request, options, progress, failure);
        });
        finished = true;
        server.join();
        ASSERT_TRUE(response && *response);
        EXPECT_EQ((*response)->status, 503);
        EXPECT_EQ((*response)->body, "busy");
    }

}
}
