#include "whinyard/net/HttpClient.h"

#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <thread>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    using testing::RawConnection;

    // A client on a duty, against a listener whose answers the test's own thread writes.
    class HttpClientTest : public ::testing::Test {
    protected:
        HttpClientTest()
            : acceptor(loop, { boost::asio::ip::address_v4::loopback(), 0 })
            , address { "127.0.0.1", acceptor.local_endpoint().port() }
        {
            runOn(duty, [&] { client = HttpClient::create(duty); });
        }

        ~HttpClientTest() override
        {
            runOn(duty, [&] { client.reset(); });
        }

        // Makes a call on the duty while `serve` plays the server on this thread.
        void call(const std::function<void()>& serve, HttpCallOptions options = {})
        {
            std::thread caller([&] {
                runOn(duty, [&] { response = client->call(address, { "POST", "/x", {}, "body" }, options, progress, failure); });
            });
            serve();
            caller.join();
        }

        static constexpr std::string_view okay = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

        boost::asio::io_context loop;
        boost::asio::ip::tcp::acceptor acceptor;
        Address address;
        Duty duty { "client" };
        std::unique_ptr<HttpClient> client;
        std::optional<HttpResponse> response;
        HttpCallProgress progress;
        Failure failure;
    };

    TEST_F(HttpClientTest, ReplacesAKeptConnectionThatItsServerClosed)
    {
        call([&] {
            RawConnection server(acceptor);
            EXPECT_EQ(server.readUntil("body").substr(0, 17), "POST /x HTTP/1.1\r");
            server.write(okay);
        });
        ASSERT_TRUE(response) << failure.reason;
        call([&] {
            RawConnection server(acceptor);
            server.readUntil("body");
            server.write(okay);
        });
        ASSERT_TRUE(response) << failure.reason;
        EXPECT_EQ(response->body, "ok");
    }

    TEST_F(HttpClientTest, EndsACallThatAnotherFiberCancels)
    {
        HttpCancellation cancellation;
        call([&] {
            RawConnection server(acceptor);
            server.readUntil("body");
            runOn(duty, [&] { cancellation.cancel(); });
        },
            { .cancellation = &cancellation });
        EXPECT_FALSE(response);
        EXPECT_EQ(failure.kind, ErrorKind::cancelled);
        EXPECT_EQ(failure.runState, RunState::unknown) << "the request was written";
        // One that was cancelled before it began is never written.
        call([&] { RawConnection server(acceptor); }, { .cancellation = &cancellation });
        EXPECT_FALSE(response);
        EXPECT_EQ(progress.bytesWritten, 0U);
    }

    TEST_F(HttpClientTest, ReusesAConnectionUnlessAFreshOneIsAskedFor)
    {
        std::optional<RawConnection> first;
        call([&] {
            first.emplace(acceptor);
            first->readUntil("body");
            first->write(okay);
        });
        call([&] {
            first->readUntil("body");
            first->write(okay);
        });
        EXPECT_TRUE(response) << failure.reason;
        call([&] {
            RawConnection second(acceptor);
            second.readUntil("body");
            second.write(okay);
        },
            { .freshConnection = true });
        EXPECT_TRUE(response) << failure.reason;
    }

    TEST_F(HttpClientTest, TellsWhetherAnyByteCanHaveArrived)
    {
        call([&] {
            RawConnection server(acceptor);
            server.readUntil("body");
        });
        EXPECT_FALSE(response);
        EXPECT_EQ(failure.kind, ErrorKind::endpointFailed);
        EXPECT_EQ(failure.runState, RunState::unknown);
        EXPECT_GT(progress.bytesWritten, 0U);
        EXPECT_EQ(progress.connect, ConnectOutcome::connected);
        EXPECT_GT(progress.connectTime.count(), 0);

        acceptor.close();
        call([] {});
        EXPECT_FALSE(response);
        EXPECT_EQ(failure.kind, ErrorKind::peerUnreachable);
        EXPECT_EQ(failure.runState, RunState::notRun);
        EXPECT_EQ(progress.bytesWritten, 0U);
        EXPECT_EQ(progress.connect, ConnectOutcome::refused);
    }

    TEST_F(HttpClientTest, StopsAtItsTimeoutAndItsBodyLimit)
    {
        std::optional<RawConnection> silent;
        call([&] { silent.emplace(acceptor); }, { .timeout = milliseconds(200) });
        EXPECT_FALSE(response);
        EXPECT_EQ(failure.kind, ErrorKind::deadlineExceeded);
        EXPECT_EQ(failure.runState, RunState::unknown);

        call([&] {
            RawConnection server(acceptor);
            server.readUntil("body");
            server.write("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n01234567890");
            server.readAll();
        },
            { .bodyLimit = 10 });
        EXPECT_FALSE(response);
        EXPECT_EQ(failure.kind, ErrorKind::endpointFailed) << "the caller has sent nothing too large";
        EXPECT_EQ(failure.runState, RunState::unknown);
        EXPECT_TRUE(progress.answerOverLimit);
    }

    TEST_F(HttpClientTest, TakesAnEarlyAnswerAndRefusesBadTargets)
    {
        call([&] {
            RawConnection server(acceptor);
            server.readUntil("\r\n\r\n");
            server.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 413 Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        });
        ASSERT_TRUE(response) << failure.reason;
        EXPECT_EQ(response->status, 413);
        runOn(duty, [&] {
            EXPECT_FALSE(client->call(address, { "GET", "/a HTTP/1.1\r\nX: y", {}, {} }, {}, progress, failure));
            EXPECT_EQ(failure.kind, ErrorKind::malformedRequest);
        });
    }

    TEST_F(HttpClientTest, KeepsAConnectionOnlyWhenNothingOfTheBodyIsLeft)
    {
        std::unique_ptr<HttpStream> stream;
        std::optional<RawConnection> server;
        // Reads one piece of a stream, lets `rest` arrive, and destroys the stream.
        const auto stopAfterOnePiece = [&](std::string_view rest) {
            std::thread caller([&] {
                runOn(duty, [&] {
                    stream = client->open(address, {}, {}, progress, failure);
                    ASSERT_TRUE(stream) << failure.reason;
                    EXPECT_EQ(stream->read(failure), "last");
                });
            });
            if (!server)
                server.emplace(acceptor);
            server->readUntil("\r\n\r\n");
            server->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlast\r\n");
            caller.join();
            server->write(rest);
            runOn(duty, [&] { stream.reset(); });
        };
        stopAfterOnePiece("0\r\n\r\n");
        stopAfterOnePiece("1\r\nx\r\n0\r\n\r\n"); // On the same connection.
        EXPECT_EQ(server->readAll(), "");
        server.reset();
        stopAfterOnePiece("");
        EXPECT_EQ(server->readAll(), "");
    }

    // Guards against an answer that its server's end has cut, and that nobody can tell from one that was complete.
    TEST_F(HttpClientTest, TellsAnAnswerThatEndsWithItsConnection)
    {
        const auto readAll = [&](std::string_view head, std::string_view body) {
            std::optional<std::string> read;
            bool endsWithConnection = false;
            std::thread caller([&] {
                runOn(duty, [&] {
                    const auto stream = client->open(address, {}, { .freshConnection = true }, progress, failure);
                    ASSERT_TRUE(stream) << failure.reason;
                    endsWithConnection = stream->endsWithConnection();
                    read = readToEnd(*stream, failure);
                });
            });
            {
                RawConnection server(acceptor);
                server.readUntil("\r\n\r\n");
                server.write(head);
                server.write(body);
            }
            caller.join();
            EXPECT_EQ(endsWithConnection, head.find("ength") == std::string_view::npos && head.find("chunked") == std::string_view::npos);
            return read;
        };
        EXPECT_EQ(readAll("HTTP/1.1 200 OK\r\n\r\n", "whole"), "whole");
        EXPECT_EQ(readAll("HTTP/1.0 200 OK\r\n\r\n", "whole"), "whole");
        EXPECT_EQ(readAll("HTTP/1.1 200 OK\r\n\r\n", ""), "");
        EXPECT_EQ(readAll("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "whole"), "whole");
        EXPECT_EQ(readAll("HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\n", "whole"), std::nullopt);
        EXPECT_EQ(readAll("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nwhole\r\n"), std::nullopt);
    }

    // Guards against half a record of the store, or half a list of another instance, that is read as whole where its process is killed.
    TEST_F(HttpClientTest, RefusesAnAnswerWithoutAnEndOfItsOwnWhereOneIsNeeded)
    {
        const auto answer = [&](std::string_view bytes) {
            response.reset();
            std::thread caller([&] {
                runOn(duty, [&] { response = client->call(address, {}, { .freshConnection = true, .needsStatedEnd = true }, progress, failure); });
            });
            {
                RawConnection server(acceptor);
                server.readUntil("\r\n\r\n");
                server.write(bytes);
            }
            caller.join();
            return response.has_value();
        };
        EXPECT_FALSE(answer("HTTP/1.1 200 OK\r\n\r\n12"));
        EXPECT_EQ(failure.kind, ErrorKind::endpointFailed);
        EXPECT_EQ(failure.runState, RunState::unknown);
        EXPECT_FALSE(answer("HTTP/1.0 200 OK\r\n\r\n12"));
        EXPECT_TRUE(answer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n12"));
        EXPECT_TRUE(answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n0\r\n\r\n"));
        EXPECT_TRUE(answer("HTTP/1.1 204 No Content\r\n\r\n"));
    }

    TEST_F(HttpClientTest, CancelEndsAReadThatWaits)
    {
        std::optional<RawConnection> server;
        std::thread caller([&] {
            runOn(duty, [&] {
                auto stream = client->open(address, {}, {}, progress, failure);
                ASSERT_TRUE(stream) << failure.reason;
                duty.spawn([&stream] { stream->cancel(); });
                EXPECT_EQ(stream->read(failure), std::nullopt);
                EXPECT_EQ(failure.kind, ErrorKind::cancelled);
            });
        });
        server.emplace(acceptor);
        server->readUntil("\r\n\r\n");
        server->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        caller.join();
        EXPECT_EQ(server->readAll(), "");
    }

}
}
