// What becomes of connections beyond the limit of a server or of a client.
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace whinyard::net {
namespace {

    using namespace std::chrono_literals;
    using testing::RawConnection;

    constexpr std::chrono::milliseconds idleLong = 700ms; // Longer than a kept connection must be idle to give way.
    constexpr std::string_view request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

    // A server with room for three connections. Its answer to /hold waits until the test lets it go.
    class ConnectionLimitTest : public ::testing::Test {
    protected:
        ConnectionLimitTest()
        {
            runOn(m_duty, [this] {
                Failure failure;
                const auto handle = [this](const HttpRequest& asked, HttpResponder& responder) {
                    if (asked.target == "/hold") {
                        ++m_held;
                        m_release.wait(10s);
                    }
                    responder.send({ .status = 200, .fields = {}, .body = "done" });
                };
                m_server = HttpServer::open(m_duty, { "127.0.0.1", 0 }, { .connections = 3 }, handle, failure);
                m_address = m_server->address();
            });
        }

        ~ConnectionLimitTest() override
        {
            runOn(m_duty, [this] {
                m_release.notify();
                m_client.reset();
                m_server.reset();
            });
        }

        // Returns whether the server answers on the connection.
        static bool isServed(RawConnection& connection)
        {
            try {
                connection.write(request);
            } catch (const boost::system::system_error&) {
                return false; // Closed before.
            }
            return connection.readUntil("done").find("200 OK") != std::string::npos;
        }

        std::vector<std::unique_ptr<RawConnection>> serveThree()
        {
            std::vector<std::unique_ptr<RawConnection>> connections;
            for (int i = 0; i < 3; ++i) {
                connections.push_back(std::make_unique<RawConnection>(m_address));
                EXPECT_TRUE(isServed(*connections.back()));
            }
            return connections;
        }

        Duty m_duty { "test" };
        Signal m_release;
        std::atomic<int> m_held = 0;
        std::unique_ptr<HttpServer> m_server;
        std::unique_ptr<HttpClient> m_client;
        Address m_address;
    };

    // Guards against callers who are turned away while others only keep their connections open.
    TEST_F(ConnectionLimitTest, HasTheLongestIdleCallerGiveWay)
    {
        const auto callers = serveThree();
        std::this_thread::sleep_for(idleLong);
        ASSERT_TRUE(isServed(*callers[0]));
        RawConnection next(m_address);
        EXPECT_TRUE(isServed(next));
        EXPECT_TRUE(isServed(*callers[0]));
        EXPECT_TRUE(isServed(*callers[2]));
        EXPECT_FALSE(isServed(*callers[1])) << "idle for longest";
    }

    // Guards against a request that is cut for a new caller, and against a new caller who waits without a word.
    TEST_F(ConnectionLimitTest, ClosesNoConnectionWithARequestForANewOne)
    {
        const auto callers = serveThree();
        for (const auto& caller : callers)
            caller->write("GET /hold HTTP/1.1\r\nHost: a\r\n\r\n");
        while (m_held < 3)
            std::this_thread::sleep_for(1ms);
        std::this_thread::sleep_for(idleLong);
        RawConnection next(m_address);
        EXPECT_FALSE(isServed(next));
        runOn(m_duty, [this] { m_release.notify(); });
        for (const auto& caller : callers)
            EXPECT_NE(caller->readUntil("done").find("200 OK"), std::string::npos);
        std::this_thread::sleep_for(idleLong);
        RawConnection later(m_address);
        EXPECT_TRUE(isServed(later));
    }

    // Guards against calls that take more descriptors than their part, and against a client that doesn't recover.
    TEST_F(ConnectionLimitTest, FailsCallsBeyondTheClientsOwnAsNotRun)
    {
        runOn(m_duty, [this] { m_client = HttpClient::create(m_duty, { .connections = 2 }); });
        std::vector<std::thread> callers;
        const auto call = [this](const std::string& target, HttpCallProgress& progress, Failure& failure) {
            return *callOn(m_duty, [&] { return m_client->call(m_address, { "GET", target, {}, {} }, { .timeout = 5s }, progress, failure).has_value(); });
        };
        for (int i = 0; i < 2; ++i) {
            callers.emplace_back([&] {
                HttpCallProgress progress;
                Failure failure;
                EXPECT_TRUE(call("/hold", progress, failure)) << failure.reason;
            });
        }
        while (m_held < 2)
            std::this_thread::sleep_for(1ms);
        HttpCallProgress progress;
        Failure failure;
        EXPECT_FALSE(call("/", progress, failure));
        EXPECT_EQ(progress.connect, ConnectOutcome::lacksResources);
        EXPECT_EQ(failure.kind, ErrorKind::overloaded);
        EXPECT_EQ(failure.runState, RunState::notRun);
        runOn(m_duty, [this] { m_release.notify(); });
        for (std::thread& caller : callers)
            caller.join();
        EXPECT_TRUE(call("/", progress, failure)) << failure.reason;
    }

    // Guards against kept connections that keep a call from another address.
    TEST_F(ConnectionLimitTest, HasKeptConnectionsGiveWayToACall)
    {
        runOn(m_duty, [this] {
            m_client = HttpClient::create(m_duty, { .connections = 1 });
            Failure failure;
            HttpCallProgress progress;
            const auto other = HttpServer::open(
                m_duty, { "127.0.0.1", 0 }, {}, [](const HttpRequest&, HttpResponder& responder) { responder.send({}); }, failure);
            EXPECT_TRUE(m_client->call(m_address, {}, {}, progress, failure)) << failure.reason;
            EXPECT_EQ(m_client->connections().kept, 1U);
            EXPECT_TRUE(m_client->call(other->address(), {}, {}, progress, failure)) << failure.reason;
            EXPECT_EQ(m_client->connections().kept + m_client->connections().inUse, 1U);
        });
    }

}
}
