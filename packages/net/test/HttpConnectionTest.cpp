// Which connections a client keeps, for how long, and how many.
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <array>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace whinyard::net {
namespace {

    using namespace std::chrono_literals;
    using testing::RawConnection;

    // A client on a duty, against a listener whose answers the test's own thread writes.
    class HttpConnectionTest : public ::testing::Test {
    protected:
        enum class Way : std::uint8_t {
            whole,
            streamed,
            droppedAtTheEnd, // A stream that is destroyed once its last piece was read, while its end has arrived.
        };
        static constexpr std::array allWays { Way::whole, Way::streamed, Way::droppedAtTheEnd };

        // Answers of which none says that its server closes the connection.
        static constexpr std::array keptAnswers {
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 204 No Content\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\n\r\n",
            "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy",
        };

        HttpConnectionTest()
            : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), 0 })
            , m_address { "127.0.0.1", m_acceptor.local_endpoint().port() }
        {
            runOn(m_duty, [this] { m_client = HttpClient::create(m_duty); });
        }

        ~HttpConnectionTest() override
        {
            runOn(m_duty, [this] {
                m_client.reset();
                m_servers.clear();
            });
        }

        void useLimits(const HttpClientLimits& limits)
        {
            runOn(m_duty, [&] { m_client = HttpClient::create(m_duty, limits); });
        }

        // Has the client keep a connection to each of so many servers, in this order.
        void keepOneToEach(std::size_t servers)
        {
            runOn(m_duty, [&] {
                for (std::size_t i = 0; i < servers; ++i) {
                    HttpCallProgress progress;
                    Failure failure;
                    m_servers.push_back(HttpServer::open(
                        m_duty, { "127.0.0.1", 0 }, {}, [](const HttpRequest&, HttpResponder& responder) { responder.send({}); }, failure));
                    EXPECT_TRUE(m_client->call(m_servers.back()->address(), {}, {}, progress, failure)) << failure.reason;
                }
            });
        }

        // Reads the answer `bytes`, which the server sends on `server`, or on a new connection where there is none.
        void exchange(Way way, std::string_view bytes, const HttpCallOptions& options, std::optional<RawConnection>& server)
        {
            std::thread caller([&] { runOn(m_duty, [&] { read(way, options); }); });
            if (!server)
                server.emplace(m_acceptor);
            m_request = server->readUntil("\r\n\r\n");
            server->write(bytes);
            caller.join();
        }

        // Returns whether the client closes the server's connection after an answer.
        bool closesAfter(Way way, std::string_view bytes, const HttpCallOptions& options)
        {
            std::optional<RawConnection> server;
            exchange(way, bytes, options, server);
            return connections().kept == 0 && connections().inUse == 0 && server->readAll().empty();
        }

        HttpConnections connections()
        {
            return *callOn(m_duty, [this] { return m_client->connections(); });
        }

        bool eventually(const std::function<bool()>& condition)
        {
            for (int look = 0; look < 200 && !condition(); ++look)
                std::this_thread::sleep_for(10ms);
            return condition();
        }

        boost::asio::io_context m_loop;
        boost::asio::ip::tcp::acceptor m_acceptor;
        Address m_address;
        Duty m_duty { "client" };
        std::unique_ptr<HttpClient> m_client;
        std::vector<std::unique_ptr<HttpServer>> m_servers;
        std::string m_request; // The head of the last one.

    private:
        void read(Way way, const HttpCallOptions& options)
        {
            HttpCallProgress progress;
            Failure failure;
            if (way == Way::whole) {
                EXPECT_TRUE(m_client->call(m_address, {}, options, progress, failure)) << failure.reason;
                return;
            }
            const auto stream = m_client->open(m_address, {}, options, progress, failure);
            ASSERT_TRUE(stream) << failure.reason;
            if (way == Way::streamed)
                EXPECT_TRUE(readToEnd(*stream, failure)) << failure.reason;
            else
                EXPECT_TRUE(stream->read(failure)) << failure.reason;
        }
    };

    constexpr std::string_view okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    // Guards against a descriptor that is held for each request served, until the process has none left: connections of which this side
    // has said that no request follows were kept for calls to come, which never use them.
    TEST_F(HttpConnectionTest, ClosesAConnectionOfWhichItHasAnnouncedTheClose)
    {
        for (const Way way : allWays) {
            for (const std::string_view answer : keptAnswers) {
                EXPECT_TRUE(closesAfter(way, answer, { .freshConnection = true, .lastRequest = true })) << answer;
                EXPECT_NE(m_request.find("Connection: close"), std::string::npos);
                EXPECT_TRUE(closesAfter(way, answer, { .lastRequest = true, .findsDeadPeer = true, .needsStatedEnd = true })) << answer;
            }
        }
    }

    // Guards against the opposite: a connection that neither side wants closed serves the next call, whatever answer has ended on it.
    TEST_F(HttpConnectionTest, KeepsAConnectionThatNeitherSideWantsClosed)
    {
        for (const Way way : allWays) {
            std::optional<RawConnection> server;
            for (const std::string_view answer : keptAnswers) {
                exchange(way, answer, {}, server);
                EXPECT_EQ(connections().kept, 1U) << answer;
                EXPECT_EQ(connections().inUse, 0U) << answer;
            }
            exchange(way, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", {}, server);
            EXPECT_EQ(server->readAll(), "");
            EXPECT_EQ(connections().kept, 0U);
        }
    }

    // Guards against descriptors of connections that their servers have closed, which stayed until a call asked for the same address: one
    // that has ended never asks again.
    TEST_F(HttpConnectionTest, LetsGoOfAConnectionThatItsServerCloses)
    {
        std::optional<RawConnection> server;
        exchange(Way::whole, okay, {}, server);
        ASSERT_EQ(connections().kept, 1U);
        server->close();
        EXPECT_TRUE(eventually([this] { return connections().kept == 0; }));
        server.reset();
        exchange(Way::whole, okay, {}, server);
        server->write("HTTP/1.1 408 Request Timeout\r\n\r\n"); // Belongs to no request.
        ASSERT_TRUE(eventually([this] { return connections().kept == 0; }));
        EXPECT_EQ(server->readAll(), "");
    }

    // Guards against idle connections that are closed only when another call has succeeded: none does once the descriptors are spent.
    TEST_F(HttpConnectionTest, LetsGoOfIdleConnectionsWithoutAnotherCall)
    {
        useLimits({ .keepTime = 100ms });
        keepOneToEach(5);
        EXPECT_EQ(connections().kept, 5U);
        EXPECT_TRUE(eventually([this] { return connections().kept == 0; }));
        // Also those that are kept later.
        std::optional<RawConnection> server;
        exchange(Way::whole, okay, {}, server);
        EXPECT_EQ(connections().kept, 1U);
        EXPECT_TRUE(eventually([this] { return connections().kept == 0; }));
    }

    // Guards against a bound for each address, which is none where addresses come and go.
    TEST_F(HttpConnectionTest, BoundsWhatItKeepsOverAllAddresses)
    {
        useLimits({ .keptConnections = 3 });
        keepOneToEach(8);
        EXPECT_EQ(connections().kept, 3U);
        const auto opened = [&](std::size_t number) { return *callOn(m_duty, [&] { return m_servers[number]->connections(); }); };
        EXPECT_TRUE(eventually([&] { return opened(4) == 0; })) << "idle for longest";
        EXPECT_EQ(opened(5) + opened(6) + opened(7), 3U);
        runOn(m_duty, [&] {
            HttpCallProgress progress;
            Failure failure;
            EXPECT_TRUE(m_client->call(m_servers[5]->address(), {}, {}, progress, failure)) << failure.reason;
            EXPECT_EQ(progress.connect, ConnectOutcome::notTried) << "a kept one was used";
        });
    }

}
}
