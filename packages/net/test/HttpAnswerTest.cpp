// Answers that are broken in their head, in their framing or by their connection: none of them is told as an answer, whichever way it is read.
#include "whinyard/net/ConnectRelay.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <functional>
#include <future>
#include <thread>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    using testing::RawConnection;

    // A server that the test's own thread plays byte by byte, and the ways in which the product reads its answer.
    class HttpAnswerTest : public ::testing::Test {
    protected:
        enum class Way : std::uint8_t {
            whole,
            streamed,
            relayedWhole,
            relayedStream,
        };
        static constexpr std::array allWays { Way::whole, Way::streamed, Way::relayedWhole, Way::relayedStream };

        HttpAnswerTest()
            : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), 0 })
            , m_address { "127.0.0.1", m_acceptor.local_endpoint().port() }
        {
            runOn(m_duty, [this] {
                Failure failure;
                m_client = HttpClient::create(m_duty);
                m_relay = ConnectRelay::open(
                    m_duty, { "127.0.0.1", 0 }, {}, [](const RelayedConnect& connect) { return std::optional(connect.server); },
                    [](const RelayedConnect&, const RelayedResult&) {}, failure);
            });
        }

        ~HttpAnswerTest() override
        {
            runOn(m_duty, [this] {
                m_relay.reset();
                m_client.reset();
            });
        }

        // Makes a call while `serve` plays the server on this thread. Returns the answer; nothing where there is none.
        std::optional<HttpResponse> call(Way way, const HttpRequest& request, const std::function<void()>& serve)
        {
            std::optional<HttpResponse> response;
            std::thread caller([&] {
                runOn(m_duty, [&] {
                    HttpCallOptions options { .timeout = milliseconds(5'000), .pieceTimeout = milliseconds(5'000), .freshConnection = true };
                    if (way == Way::relayedWhole || way == Way::relayedStream)
                        options.relay = m_relay->address();
                    response = way == Way::whole || way == Way::relayedWhole ? m_client->call(m_address, request, options, m_progress, m_failure) : callStreamed(request, options);
                });
            });
            serve();
            caller.join();
            return response;
        }

        // Has the server send `bytes` and close.
        std::optional<HttpResponse> answer(Way way, std::string_view bytes)
        {
            return call(way, {}, [&] {
                RawConnection server(m_acceptor);
                server.readUntil("\r\n\r\n");
                server.write(bytes);
            });
        }

        // Has the server send `bytes` and reset while the client waits for room to send more, so that its write meets the reset first.
        std::optional<HttpResponse> answerAmidUpload(Way way, std::string_view bytes)
        {
            constexpr std::size_t moreThanFits = 32 * 1024 * 1024;
            return call(way, { "POST", "/x", {}, std::string(moreThanFits, 'x') }, [&] {
                RawConnection server(m_acceptor);
                server.readUntil("\r\n\r\n");
                std::this_thread::sleep_for(milliseconds(20)); // Until whatever fits has been sent.
                std::atomic<bool> isHeld = false;
                std::promise<void> sent;
                m_duty.post([&isHeld, done = sent.get_future().share()] {
                    isHeld = true;
                    done.wait();
                });
                while (!isHeld)
                    std::this_thread::yield();
                server.write(bytes);
                server.reset();
                sent.set_value();
            });
        }

        void expectNoAnswer(const std::optional<HttpResponse>& response, std::string_view form)
        {
            EXPECT_FALSE(response) << form << ", status " << response->status << ", body " << response->body;
            EXPECT_EQ(m_failure.kind, ErrorKind::endpointFailed) << form;
            EXPECT_EQ(m_failure.runState, RunState::unknown) << form;
        }

        boost::asio::io_context m_loop;
        boost::asio::ip::tcp::acceptor m_acceptor;
        Address m_address;
        Duty m_duty { "client" };
        std::unique_ptr<HttpClient> m_client;
        std::unique_ptr<ConnectRelay> m_relay;
        HttpCallProgress m_progress;
        Failure m_failure;

    private:
        std::optional<HttpResponse> callStreamed(const HttpRequest& request, const HttpCallOptions& options)
        {
            const auto stream = m_client->open(m_address, request, options, m_progress, m_failure);
            if (!stream)
                return std::nullopt;
            HttpResponse response = stream->head();
            std::optional<std::string> body = readToEnd(*stream, m_failure);
            if (!body)
                return std::nullopt;
            response.body = std::move(*body);
            return response;
        }
    };

    // Guards against the status of no HTTP answer that callers get as one (RFC 9110, 15), and against another protocol that nobody asked for.
    TEST_F(HttpAnswerTest, RefusesAStatusThatNoFinalAnswerHas)
    {
        for (const Way way : allWays) {
            for (const char* status : { "000", "001", "042", "099", "600", "601", "700", "999", "101", "20", "2000", "2OO", "+20", "-20", "", "0x1" })
                expectNoAnswer(answer(way, "HTTP/1.1 " + std::string(status) + " OK\r\nContent-Length: 2\r\n\r\nok"), status);
            expectNoAnswer(answer(way, "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), "an answer behind 101");
            expectNoAnswer(answer(way, "HTTP/1.1 099 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), "an answer behind 099");
        }
    }

    TEST_F(HttpAnswerTest, TakesEveryStatusOfHttp)
    {
        for (const Way way : allWays) {
            for (const int status : { 200, 204, 299, 300, 399, 404, 499, 500, 503, 599 }) {
                const auto response = answer(way, "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 " + std::to_string(status) + " OK\r\nContent-Length: 0\r\n\r\n");
                ASSERT_TRUE(response) << status << ": " << m_failure.reason;
                EXPECT_EQ(response->status, status);
            }
        }
    }

    struct BrokenField {
        const char* name;
        std::string line; // Of the head, without its end.
    };

    // Guards against lines of a broken head that callers get, or that change where the body begins.
    TEST_F(HttpAnswerTest, RefusesFieldsThatAreNone)
    {
        const std::vector<BrokenField> forms {
            { "a blank within the name", "X Bad: 1" },
            { "a tab within the name", "X\tBad: 1" },
            { "a blank behind the name", "X-Bad : 1" },
            { "a tab behind the name", "X-Bad\t: 1" },
            { "only a blank", " : 1" },
            { "no name", ": 1" },
            { "no colon", "X-Bad" },
            { "a control byte in the name", "X\x01"
                                            "Bad: 1" },
            { "a zero byte in the name", std::string("X\0Bad: 1", 9) },
            { "a vertical tab before the name", "\x0bX-Bad: 1" },
            { "a carriage return in the name", "X\rBad: 1" },
            { "a line feed in the name", "X\nBad: 1" },
            { "a delete in the name", "X\x7f"
                                      "Bad: 1" },
            { "an escape in the name", "\x1b[2JX: 1" },
            { "a byte over 127 in the name", "X\x80"
                                             "Bad: 1" },
            { "a parenthesis in the name", "X(Bad): 1" },
            { "a zero byte in the value", std::string("X-Bad: a\0b", 10) },
            { "a carriage return in the value", "X-Bad: a\rb" },
            { "a line feed in the value", "X-Bad: a\nb" },
            { "a control byte in the value", "X-Bad: a\x01"
                                             "b" },
            { "a delete in the value", "X-Bad: a\x7f"
                                       "b" },
            { "a blank in the name of the length", "Content Length: 1" },
            { "a blank behind the name of the length", "Content-Length : 1" },
        };
        for (const Way way : allWays) {
            for (const BrokenField& form : forms) {
                expectNoAnswer(answer(way, "HTTP/1.1 200 OK\r\n" + form.line + "\r\nX-Own: 1\r\nContent-Length: 2\r\n\r\nok"), form.name + std::string(", first"));
                expectNoAnswer(answer(way, "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 2\r\n" + form.line + "\r\n\r\nok"), form.name + std::string(", last"));
                expectNoAnswer(answer(way, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + form.line + "\r\n\r\n"), form.name + std::string(", behind the last chunk"));
                expectNoAnswer(answer(way, "HTTP/1.1 103 Early\r\n" + form.line + "\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), form.name + std::string(", in an interim head"));
            }
        }
    }

    // Guards against lines that begin with a blank and are joined with the one before: a length or a coding that isn't seen there lets
    // callers get a body that isn't the server's.
    TEST_F(HttpAnswerTest, RefusesLinesThatBeginWithABlank)
    {
        const std::vector<std::string> heads {
            " X-Bad: 1\r\nContent-Length: 2\r\n",
            "\tX-Bad: 1\r\nContent-Length: 2\r\n",
            "X-Own: 1\r\n X-Bad: 1\r\nContent-Length: 2\r\n",
            "X-Own: 1\r\n\tX-Bad: 1\r\nContent-Length: 2\r\n",
            "X-Own: 1\r\nContent-Length: 2\r\n X-Bad: 1\r\n",
            "Content-Length: 2\r\nX-Own: 1\r\n X-Bad: 1\r\n",
            "X-Own: 1\r\n Content-Length: 1\r\n",
            "X-Own: 1\r\n Transfer-Encoding: chunked\r\n",
            "Content-Length: 2\r\nX-Empty:\r\n \r\n",
        };
        for (const Way way : allWays) {
            for (const std::string& head : heads) {
                expectNoAnswer(answer(way, "HTTP/1.1 200 OK\r\n" + head + "\r\nok"), head);
                expectNoAnswer(answer(way, "HTTP/1.1 103 Early\r\n" + head + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), head);
            }
        }
    }

    // Guards against heads that are taken for broken as they arrive in pieces, and against blanks of a body that are taken for those of a head.
    TEST_F(HttpAnswerTest, ReadsAHeadThatArrivesInPieces)
    {
        const std::string bytes = "HTTP/1.1 103 Early\r\nX-Early: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-Own:  a b\t\r\nContent-Length: 6\r\n\r\n\r\n ok\r\n";
        for (const Way way : { Way::whole, Way::relayedStream }) {
            for (const std::size_t pieceSize : { std::size_t(1), std::size_t(3), std::size_t(50), bytes.size() }) {
                const auto response = call(way, {}, [&] {
                    RawConnection server(m_acceptor);
                    server.readUntil("\r\n\r\n");
                    for (std::size_t at = 0; at < bytes.size(); at += pieceSize)
                        server.write(std::string_view(bytes).substr(at, pieceSize));
                });
                ASSERT_TRUE(response) << m_failure.reason;
                EXPECT_EQ(fieldValue(response->fields, "X-Own"), "a b");
                EXPECT_EQ(response->body, "\r\n ok\r");
            }
        }
    }

    // Guards against a part of an answer that is told as whole: the system tells of the reset that cuts it once, to the write of the request.
    TEST_F(HttpAnswerTest, TakesAnAnswerForCutWhoseResetMeetsTheUpload)
    {
        for (const Way way : allWays) {
            for (int i = 0; i < 10; ++i)
                expectNoAnswer(answerAmidUpload(way, "HTTP/1.1 200 OK\r\n\r\npart of it"), "no length");
            expectNoAnswer(answerAmidUpload(way, "HTTP/1.0 200 OK\r\n\r\n"), "no body yet");
            expectNoAnswer(answerAmidUpload(way, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\npart of it"), "half of its length");
            expectNoAnswer(answerAmidUpload(way, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"), "no last chunk");
        }
    }

    // Guards against answers that are lost though they state their end.
    TEST_F(HttpAnswerTest, TakesAnAnswerThatStatesItsEndBeforeTheResetMeetsTheUpload)
    {
        for (const Way way : allWays) {
            for (const char* bytes : { "HTTP/1.1 413 Large\r\nContent-Length: 5\r\n\r\nwhole", "HTTP/1.1 413 Large\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n" }) {
                const auto response = answerAmidUpload(way, bytes);
                ASSERT_TRUE(response) << m_failure.reason;
                EXPECT_EQ(response->body, "whole");
            }
            // More than a relay reads at once.
            const std::string large(48 * 1024, 'x');
            const auto response = answerAmidUpload(way, "HTTP/1.1 413 Large\r\nContent-Length: " + std::to_string(large.size()) + "\r\n\r\n" + large);
            ASSERT_TRUE(response) << m_failure.reason << ", way " << static_cast<int>(way);
            EXPECT_EQ(response->body, large);
        }
    }

    // Guards against an answer that is told as whole though its end, or its content, can't be told.
    TEST_F(HttpAnswerTest, RefusesAnswersWhoseEndCanNotBeTold)
    {
        const std::vector<std::string> forms {
            "Content-Length: 3\r\nContent-Length: 4\r\n",
            "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
            "Transfer-Encoding: identity\r\nContent-Length: 3\r\n",
            "Transfer-Encoding: identity\r\n",
            "Transfer-Encoding: gzip, chunked\r\n",
            "Transfer-Encoding: chunked, identity\r\n",
            "Transfer-Encoding: chunked, chunked\r\n",
            "Transfer-Encoding: xchunked\r\n",
            "Transfer-Encoding:\r\n",
        };
        for (const Way way : allWays) {
            for (const std::string& form : forms)
                expectNoAnswer(answer(way, "HTTP/1.1 200 OK\r\n" + form + "\r\n3\r\nabc\r\n0\r\n\r\n"), form);
            expectNoAnswer(answer(way, "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"), "chunks of HTTP/1.0");
            const auto sound = answer(way, "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
            ASSERT_TRUE(sound) << m_failure.reason;
            EXPECT_EQ(sound->body, "abc");
        }
    }

    // Guards against bytes behind an answer that are read as the answer of the connection's next request.
    TEST_F(HttpAnswerTest, KeepsNoConnectionWithBytesBehindTheAnswer)
    {
        std::optional<HttpResponse> first;
        std::optional<HttpResponse> second;
        const auto callOnce = [this](std::optional<HttpResponse>& response) {
            runOn(m_duty, [&] {
                HttpCallProgress progress;
                response = m_client->call(m_address, {}, { .timeout = milliseconds(2'000) }, progress, m_failure);
            });
        };
        std::thread caller([&] {
            callOnce(first);
            callOnce(second);
        });
        RawConnection server(m_acceptor);
        server.readUntil("\r\n\r\n");
        server.write("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray");
        std::thread next([&] {
            RawConnection other(m_acceptor);
            other.readUntil("\r\n\r\n");
            other.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
        });
        caller.join();
        RawConnection(m_address).write("\r\n\r\n"); // Ends the wait for a connection that was never made.
        next.join();
        ASSERT_TRUE(first);
        EXPECT_EQ(first->body, "abc");
        ASSERT_TRUE(second) << m_failure.reason;
        EXPECT_EQ(second->body, "next");
    }

    // Guards against half a head that a caller gets as an answer with an empty or a short body.
    TEST_F(HttpAnswerTest, RefusesAHeadThatIsCutAnywhere)
    {
        const std::array<std::string, 4> heads {
            "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 2\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-Own: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.0 200 OK\r\nX-Own: 1\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        };
        for (const Way way : allWays) {
            for (const std::string& head : heads) {
                for (std::size_t size = 0; size < head.size(); ++size) {
                    const auto cut = [&](bool resets) {
                        return call(way, {}, [&] {
                            RawConnection server(m_acceptor);
                            server.readUntil("\r\n\r\n");
                            server.write(std::string_view(head).substr(0, size / 2)); // In two pieces.
                            server.write(std::string_view(head).substr(size / 2, size - size / 2));
                            if (resets)
                                server.reset();
                        });
                    };
                    expectNoAnswer(cut(false), head.substr(0, size) + ", closed");
                    expectNoAnswer(cut(true), head.substr(0, size) + ", reset");
                }
            }
        }
    }

}
}
