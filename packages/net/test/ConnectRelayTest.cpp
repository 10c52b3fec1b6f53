// Calls by way of a relay: what their caller learns, and what their server sees of it.
#include "whinyard/net/ConnectRelay.h"

#include "whinyard/net/BrokenServer.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <thread>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    using testing::RawConnection;

    class ConnectRelayTest : public ::testing::Test {
    protected:
        ConnectRelayTest()
            : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), 0 })
            , m_server { "127.0.0.1", m_acceptor.local_endpoint().port() }
        {
            runOn(m_duty, [this] {
                Failure failure;
                m_client = HttpClient::create(m_duty);
                m_relay = ConnectRelay::open(
                    m_duty, { "127.0.0.1", 0 }, {}, [this](const RelayedConnect& connect) {
                        m_asked = connect;
                        return m_opens ? std::optional(connect.server) : std::nullopt; },
                    [this](const RelayedConnect&, const RelayedResult& result) { m_results.push_back(result); }, failure);
                m_options.relay = m_relay->address();
            });
            m_options.relayFields = { { "Endpoint", "e1" } };
        }

        ~ConnectRelayTest() override
        {
            runOn(m_duty, [this] {
                m_relay.reset();
                m_client.reset();
            });
        }

        // Opens a relay with other limits in place of the first.
        void openRelay(const ConnectRelayLimits& limits)
        {
            runOn(m_duty, [&] {
                Failure failure;
                m_relay = ConnectRelay::open(
                    m_duty, { "127.0.0.1", 0 }, limits, [](const RelayedConnect& connect) { return std::optional(connect.server); },
                    [this](const RelayedConnect&, const RelayedResult& result) { m_results.push_back(result); }, failure);
                m_options.relay = m_relay->address();
            });
        }

        // Has the server send `bytes`, and then runs `next`. Returns the answer's body; nothing where it counts as cut.
        std::optional<std::string> answerTo(std::string_view bytes, const std::function<void(RawConnection&)>& next)
        {
            call([&] {
                RawConnection server(m_acceptor);
                server.readUntil("body");
                server.write(bytes);
                next(server);
            });
            return m_response ? std::optional(m_response->body) : std::nullopt;
        }

        // Ends the relay's connections as the system does for a process that is killed.
        void killRelay()
        {
            std::this_thread::sleep_for(milliseconds(50)); // What was sent is on its way to the client.
            runOn(m_duty, [this] { m_relay->close(); });
        }

        // Makes a call on the duty while `serve` plays the server on this thread.
        void call(const std::function<void()>& serve)
        {
            std::thread caller([this] {
                runOn(m_duty, [this] { m_response = m_client->call(m_server, { "POST", "/x", {}, "body" }, m_options, m_progress, m_failure); });
            });
            serve();
            caller.join();
        }

        std::size_t active()
        {
            return *callOn(m_duty, [this] { return m_relay->active(); });
        }

        bool becomesIdle()
        {
            for (int looks = 0; looks < 100 && active() > 0; ++looks)
                std::this_thread::sleep_for(milliseconds(20));
            return active() == 0;
        }

        boost::asio::io_context m_loop;
        boost::asio::ip::tcp::acceptor m_acceptor;
        Address m_server;
        Duty m_duty { "relay" };
        std::unique_ptr<HttpClient> m_client;
        std::unique_ptr<ConnectRelay> m_relay;
        bool m_opens = true;
        std::optional<RelayedConnect> m_asked;
        std::vector<RelayedResult> m_results;
        HttpCallOptions m_options;
        HttpCallProgress m_progress;
        std::optional<HttpResponse> m_response;
        Failure m_failure;
    };

    TEST_F(ConnectRelayTest, PassesACallOnUnchanged)
    {
        std::string body(300'000, 'x');
        call([&] {
            RawConnection server(m_acceptor);
            EXPECT_EQ(server.readUntil("body").substr(0, 17), "POST /x HTTP/1.1\r");
            server.write("HTTP/1.1 200 OK\r\nContent-Length: 300000\r\nConnection: close\r\n\r\n" + body);
        });
        ASSERT_TRUE(m_response) << m_failure.reason;
        EXPECT_EQ(m_response->body, body);
        EXPECT_EQ(m_progress.connect, ConnectOutcome::connected);
        EXPECT_GT(m_progress.bytesWritten, 0U);
        ASSERT_TRUE(m_asked);
        EXPECT_EQ(m_asked->server, m_server);
        EXPECT_EQ(m_asked->from.host, "127.0.0.1");
        EXPECT_EQ(fieldValue(m_asked->fields, "Endpoint"), "e1");
        EXPECT_TRUE(becomesIdle());
    }

    // Guards against a request that counts as possibly run, or as refused by its server, because a relay didn't connect.
    TEST_F(ConnectRelayTest, TellsWhyThereIsNoConnection)
    {
        m_opens = false;
        call([] {});
        EXPECT_EQ(m_progress.connect, ConnectOutcome::relayDeclined);
        m_opens = true;
        m_acceptor.close();
        call([] {});
        EXPECT_EQ(m_progress.connect, ConnectOutcome::refused);
        runOn(m_duty, [this] { m_relay->close(); });
        call([] {});
        EXPECT_EQ(m_progress.connect, ConnectOutcome::relayUnreachable);
        EXPECT_FALSE(m_response);
        EXPECT_EQ(m_progress.bytesWritten, 0U);
        EXPECT_EQ(m_failure.kind, ErrorKind::peerUnreachable);
        EXPECT_EQ(m_failure.runState, RunState::notRun);
    }

    // Guards against ends of servers that nobody notices who reaches them by a relay only.
    TEST_F(ConnectRelayTest, TellsWhetherAServerListens)
    {
        const auto ask = [this] {
            return *callOn(m_duty, [this] { return ListenProbe::create(m_duty)->askByWayOf(*m_options.relay, m_options.relayFields, m_server, milliseconds(2'000)); });
        };
        EXPECT_EQ(ask(), Listening::yes);
        EXPECT_EQ(fieldValue(m_asked->fields, "Endpoint"), "e1");
        m_opens = false;
        EXPECT_EQ(ask(), Listening::unknown) << "it declines";
        m_opens = true;
        m_acceptor.close();
        EXPECT_EQ(ask(), Listening::no);
        runOn(m_duty, [this] { m_relay->close(); });
        EXPECT_EQ(ask(), Listening::unknown);
    }

    // Guards against an endpoint that works on for a caller who has left the other end of a relay.
    TEST_F(ConnectRelayTest, ClosesTheServersConnectionWhenItsClientLeaves)
    {
        HttpCancellation cancellation;
        m_options.cancellation = &cancellation;
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            runOn(m_duty, [&] { cancellation.cancel(); });
            EXPECT_EQ(server.readAll(), "") << "the connection ends";
        });
        EXPECT_EQ(m_failure.runState, RunState::unknown) << "the request was written";
        EXPECT_TRUE(becomesIdle());
    }

    // Guards against an answer without a length that was cut and looks whole.
    TEST_F(ConnectRelayTest, ShowsACutAnswerAsCut)
    {
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            server.write("HTTP/1.1 200 OK\r\n\r\nhalf of it");
            std::this_thread::sleep_for(milliseconds(50));
            server.reset();
        });
        EXPECT_FALSE(m_response);
    }

    // Guards against half of an answer without a length that is told as whole, as the death of the relay looks like the server's close.
    TEST_F(ConnectRelayTest, TakesAnAnswerForCutWhereTheRelayIsKilled)
    {
        EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\n\r\nhalf of it", [this](RawConnection&) { killRelay(); }), std::nullopt);
        EXPECT_EQ(m_failure.kind, ErrorKind::endpointFailed);
        EXPECT_EQ(m_failure.runState, RunState::unknown);
    }

    // Guards against the same where the answer is a failure, or a stream that ends between two of its events.
    TEST_F(ConnectRelayTest, TakesFailuresAndStreamsForCutWhereTheRelayIsKilled)
    {
        for (const char* half : { "HTTP/1.1 503 Full\r\n\r\nhalf of it", "HTTP/1.0 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n" }) {
            EXPECT_EQ(answerTo(half, [this](RawConnection&) { killRelay(); }), std::nullopt) << half;
            openRelay({});
        }
    }

    // Guards against the same where a relay that stops has no time left for its connections.
    TEST_F(ConnectRelayTest, TakesAnAnswerForCutWhereTheRelayStops)
    {
        const auto stop = [this](RawConnection&) {
            runOn(m_duty, [this] { m_relay->drain(); });
            killRelay();
        };
        EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\n\r\nhalf of it", stop), std::nullopt);
    }

    // Guards against the same where a relayed connection has lasted for as long as it may.
    TEST_F(ConnectRelayTest, TakesAnAnswerForCutWhereItsConnectionExpires)
    {
        openRelay({ .lifetime = milliseconds(100) });
        EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\n\r\nhalf of it", [](RawConnection& server) { server.readAll(); }), std::nullopt);
        ASSERT_EQ(m_results.size(), 1U);
        EXPECT_EQ(m_results[0].end, RelayedEnd::expired);
    }

    // Guards against whole answers that count as cut.
    TEST_F(ConnectRelayTest, TakesAnAnswerForWholeWhereTheServerCloses)
    {
        const std::string large(200'000, 'x');
        for (const std::string& body : { std::string(), std::string("whole"), large })
            EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\n\r\n" + body, [](RawConnection&) {}), body);
        EXPECT_EQ(answerTo("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", [this](RawConnection&) { killRelay(); }), "whole") << "it states its end itself";
    }

    // Guards against half an answer told as whole while the relay is of a release that states no ends, and against such relays of no use.
    TEST_F(ConnectRelayTest, TrustsNoCloseOfARelayWithoutFrames)
    {
        boost::asio::ip::tcp::acceptor earlier(m_loop, { boost::asio::ip::address_v4::loopback(), 0 });
        m_options.relay = { "127.0.0.1", earlier.local_endpoint().port() };
        const auto answer = [&](std::string_view bytes) {
            m_response.reset();
            call([&] {
                RawConnection relay(earlier);
                relay.readUntil("\r\n\r\n");
                relay.write("HTTP/1.1 200 OK\r\n\r\n");
                relay.readUntil("body");
                relay.write(bytes);
            });
            return m_response ? m_response->body : "cut";
        };
        EXPECT_EQ(answer("HTTP/1.1 200 OK\r\n\r\nall of it"), "cut");
        EXPECT_EQ(answer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nall of it"), "all of it");
        EXPECT_EQ(answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n"), "all");
    }

    // Guards against a relay in trouble that counts as one that has declined, so that its client believes what it sends.
    TEST_F(ConnectRelayTest, TakesNoAnswerOfARelayWhoseStatusIsNone)
    {
        boost::asio::ip::tcp::acceptor broken(m_loop, { boost::asio::ip::address_v4::loopback(), 0 });
        m_options.relay = { "127.0.0.1", broken.local_endpoint().port() };
        for (const char* status : { "000", "099", "101", "600", "999", "20" }) {
            call([&] {
                RawConnection relay(broken);
                relay.readUntil("\r\n\r\n");
                relay.write("HTTP/1.1 " + std::string(status) + " OK\r\n\r\n");
            });
            EXPECT_FALSE(m_response) << status;
            EXPECT_EQ(m_progress.connect, ConnectOutcome::relayUnreachable) << status;
            EXPECT_EQ(m_failure.runState, RunState::notRun) << status;
        }
    }

    // Guards against half an answer to CONNECT, or one with a folded line, that is taken for a connection to the server.
    TEST_F(ConnectRelayTest, TakesNoAnswerOfARelayWhoseHeadIsCutOrFolded)
    {
        const std::string sound = "HTTP/1.1 200 OK\r\nRelay-Framing: frames\r\n\r\n";
        std::vector<std::string> heads { "HTTP/1.1 200 OK\r\n X-Bad: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\tX-Bad: 1\r\n\r\n" };
        for (std::size_t size = 0; size < sound.size(); ++size)
            heads.push_back(sound.substr(0, size));
        for (const std::string& head : heads) {
            for (const bool resets : { false, true }) {
                testing::BrokenServer broken;
                m_options.relay = broken.address();
                broken.useBytes(head, resets);
                call([] {});
                EXPECT_FALSE(m_response) << head;
                EXPECT_EQ(m_progress.connect, ConnectOutcome::relayUnreachable) << head;
                EXPECT_EQ(m_failure.runState, RunState::notRun) << head;
            }
        }
    }

    // Guards against frames that a client of an earlier release takes for the server's bytes.
    TEST_F(ConnectRelayTest, UsesNoFramesForAClientThatDoesNotAskForThem)
    {
        RawConnection client(*m_options.relay);
        client.write("CONNECT " + toText(m_server) + " HTTP/1.1\r\nHost: x\r\n\r\n");
        EXPECT_EQ(client.readUntil("\r\n\r\n"), "HTTP/1.1 200 OK\r\n\r\n");
        client.write("request");
        RawConnection server(m_acceptor);
        server.readUntil("request");
        server.write("answer");
        server.close();
        EXPECT_EQ(client.readAll(), "answer");
    }

    // Guards against a request that runs with a part of its body, as the relay is killed while it passes that on.
    TEST_F(ConnectRelayTest, NeverEndsARequestWithItsConnection)
    {
        for (const std::string& head : { std::string("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n"), std::string("POST /x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n") }) {
            openRelay({});
            RawConnection client(*m_options.relay);
            client.write("CONNECT " + toText(m_server) + " HTTP/1.1\r\nHost: x\r\n\r\n");
            client.readUntil("\r\n\r\n");
            client.write(head + "half");
            RawConnection server(m_acceptor);
            EXPECT_EQ(server.readUntil("half"), head + "half");
            killRelay();
            EXPECT_EQ(server.readAll(), "") << "the server knows that five bytes are missing";
        }
    }

    // Guards against a later call that takes a relayed connection for its own to the server.
    TEST_F(ConnectRelayTest, KeepsNoRelayedConnection)
    {
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            EXPECT_EQ(server.readAll(), "");
        });
        EXPECT_TRUE(m_response);
    }

    // Guards against cut answers of which nobody can tell whether the server or the relay has ended them.
    TEST_F(ConnectRelayTest, TellsWhatHasEndedEachConnection)
    {
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            server.write("HTTP/1.1 200 OK\r\n\r\nwhole");
        });
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            server.write("HTTP/1.1 200 OK\r\n\r\nhalf");
            std::this_thread::sleep_for(milliseconds(50));
            server.reset();
        });
        m_options.timeout = milliseconds(200);
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            EXPECT_EQ(server.readAll(), "");
        });
        ASSERT_TRUE(becomesIdle());
        ASSERT_EQ(m_results.size(), 3U);
        EXPECT_EQ(m_results[0].end, RelayedEnd::serverClosed);
        EXPECT_EQ(m_results[0].answerBytes, 24U);
        EXPECT_EQ(m_results[1].end, RelayedEnd::serverLost);
        EXPECT_EQ(m_results[1].answerBytes, 23U);
        EXPECT_EQ(m_results[2].end, RelayedEnd::clientLeft);
    }

    TEST_F(ConnectRelayTest, LetsConnectionsThatStandEndWhileItDrains)
    {
        call([&] {
            RawConnection server(m_acceptor);
            server.readUntil("body");
            runOn(m_duty, [this] { m_relay->drain(); });
            EXPECT_FALSE(*callOn(m_duty, [this] { return m_relay->isDrained(); }));
            server.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        });
        ASSERT_TRUE(m_response) << m_failure.reason;
        call([] {});
        EXPECT_EQ(m_progress.connect, ConnectOutcome::relayUnreachable) << "it takes no further ones";
    }

}
}
