// Servers that send bytes without end: each call ends within a bound in bytes, its connection is closed, and nothing says that the
// request has not run.
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

        // Plays the server until the client closes. Returns how many bytes it could send.
        std::size_t serve()
        {
            constexpr std::size_t most = 256 * 1024 * 1024;
            RawConnection server(m_acceptor);
            server.readUntil("body");
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
