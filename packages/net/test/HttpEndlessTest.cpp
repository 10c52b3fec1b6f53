// Servers that send bytes without end: each call ends within a bound in bytes, its connection is closed, and nothing says that the
// request has not run.
#include "whinyard/net/ConnectRelay.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <thread>

namespace whinyard::net {
namespace {

    using testing::RawConnection;

    struct EndlessAnswer {
        const char* name;
        std::string_view begin;
        std::string_view repeated;
    };

    void PrintTo(const EndlessAnswer& answer, std::ostream* out)
    {
        *out << answer.name;
    }

    class HttpEndlessTest : public ::testing::TestWithParam<EndlessAnswer> {
    protected:
        HttpEndlessTest()
            : m_acceptor(m_loop, { boost::asio::ip::address_v4::loopback(), 0 })
            , m_address { "127.0.0.1", m_acceptor.local_endpoint().port() }
        {
            runOn(m_duty, [&] { m_client = HttpClient::create(m_duty); });
        }

        ~HttpEndlessTest() override
        {
            runOn(m_duty, [&] { m_client.reset(); });
        }

        // Plays the server until the client closes; `request` is how what it waits for ends. Returns how many bytes it could send.
        std::size_t serve(std::string_view request = "body")
        {
            constexpr std::size_t most = 256 * 1024 * 1024;
            RawConnection server(m_acceptor);
            server.readUntil(request);
            std::size_t sent = 0;
            try {
                server.write(GetParam().begin);
                std::string piece;
                while (piece.size() < 32 * 1024)
                    piece += GetParam().repeated;
                for (; sent < most; sent += piece.size())
                    server.write(piece);
            } catch (const boost::system::system_error&) {
                // The client has closed.
            }
            return sent;
        }

        boost::asio::io_context m_loop;
        boost::asio::ip::tcp::acceptor m_acceptor;
        Address m_address;
        Duty m_duty { "client" };
        std::unique_ptr<HttpClient> m_client;
    };

    // Guards against memory that an answer without end fills, in any place of it.
    TEST_P(HttpEndlessTest, EndsTheCallWithinABound)
    {
        constexpr std::size_t bodyLimit = 1024 * 1024;
        constexpr std::size_t inSockets = 16 * 1024 * 1024;
        std::optional<HttpResponse> response;
        HttpCallProgress progress;
        Failure failure;
        std::thread caller([&] {
            runOn(m_duty, [&] { response = m_client->call(m_address, { "POST", "/x", {}, "body" }, { .bodyLimit = bodyLimit }, progress, failure); });
        });
        const std::size_t sent = serve();
        caller.join();
        EXPECT_FALSE(response);
        EXPECT_LE(sent, bodyLimit + inSockets);
        EXPECT_NE(failure.runState, RunState::notRun);
        EXPECT_EQ(failure.kind, ErrorKind::endpointFailed) << "no fault of the caller";
        EXPECT_NE(failure.kind, ErrorKind::deadlineExceeded) << "ended by its size, not by its time";
    }

    // Guards against the same where the answer is read in pieces, or comes by way of a relay, which holds none of it.
    TEST_P(HttpEndlessTest, EndsAStreamWithinABound)
    {
        constexpr std::size_t most = 1024 * 1024; // That the reader takes.
        constexpr std::size_t inSockets = 32 * 1024 * 1024;
        std::unique_ptr<ConnectRelay> relay;
        runOn(m_duty, [&] {
            Failure failure;
            relay = ConnectRelay::open(
                m_duty, { "127.0.0.1", 0 }, {}, [](const RelayedConnect& connect) { return std::optional(connect.server); },
                [](const RelayedConnect&, const RelayedResult&) {}, failure);
        });
        for (const bool isRelayed : { false, true }) {
            std::size_t read = 0;
            std::thread caller([&] {
                runOn(m_duty, [&] {
                    HttpCallProgress progress;
                    Failure failure;
                    const HttpCallOptions options { .freshConnection = true, .relay = isRelayed ? std::optional(relay->address()) : std::nullopt };
                    const auto stream = m_client->open(m_address, { "POST", "/x", {}, "body" }, options, progress, failure);
                    while (stream && read <= most) {
                        const auto piece = stream->read(failure);
                        if (!piece)
                            break;
                        EXPECT_FALSE(piece->empty()) << "no end";
                        read += piece->size();
                    }
                });
            });
            const std::size_t sent = serve();
            caller.join();
            EXPECT_LE(sent, most + inSockets);
        }
        runOn(m_duty, [&] { relay.reset(); });
    }

    // Guards against the same of a relay in trouble.
    TEST_P(HttpEndlessTest, EndsTheAnswerOfARelayWithinABound)
    {
        constexpr std::size_t inSockets = 16 * 1024 * 1024;
        std::optional<HttpResponse> response;
        std::thread caller([&] {
            runOn(m_duty, [&] {
                HttpCallProgress progress;
                Failure failure;
                response = m_client->call({ "127.0.0.1", 1 }, { "POST", "/x", {}, "body" }, { .relay = m_address }, progress, failure);
            });
        });
        const std::size_t sent = serve("\r\n\r\n");
        caller.join();
        EXPECT_FALSE(response);
        EXPECT_LE(sent, inSockets);
    }

    INSTANTIATE_TEST_SUITE_P(Places, HttpEndlessTest,
        ::testing::Values(EndlessAnswer { "statusLine", "HTTP/1.1 200 ", "OK" },
            EndlessAnswer { "head", "HTTP/1.1 200 OK\r\n", "x: y\r\n" },
            EndlessAnswer { "fieldValue", "HTTP/1.1 200 OK\r\nx: ", "y" },
            EndlessAnswer { "informational", "", "HTTP/1.1 100 Continue\r\n\r\n" },
            EndlessAnswer { "chunkExtension", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "y" },
            EndlessAnswer { "chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n" },
            EndlessAnswer { "trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "x: y\r\n" },
            EndlessAnswer { "bodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "body" },
            EndlessAnswer { "noHttp", "", "zzzzzzz" }));

}
}
