// Messages whose end can't be told, or is told in two ways: none of them runs, and nothing of a body is read as a message.
#include "whinyard/net/ConnectRelay.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    using testing::RawConnection;

    constexpr std::string_view inner = "POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

    std::string chunked(std::string_view body)
    {
        std::array<char, 16> size {};
        std::snprintf(size.data(), size.size(), "%zx", body.size());
        return std::string(size.data()) + "\r\n" + std::string(body) + "\r\n0\r\n\r\n";
    }

    // A server that notes what it runs.
    class HttpFramingTest : public ::testing::Test {
    protected:
        HttpFramingTest()
        {
            runOn(m_duty, [this] {
                Failure failure;
                const HttpServerLimits limits { .receiveTimeout = milliseconds(150) };
                m_server = HttpServer::open(
                    m_duty, { "127.0.0.1", 0 }, limits, [this](const HttpRequest& request, HttpResponder& responder) {
                        {
                            const std::lock_guard lock(m_mutex);
                            m_ran.push_back(request);
                        }
                        responder.send({ 200, {}, "ran" });
                    },
                    failure);
                m_client = HttpClient::create(m_duty);
            });
        }

        ~HttpFramingTest() override
        {
            runOn(m_duty, [this] {
                m_client.reset();
                m_server.reset();
            });
        }

        struct Outcome {
            std::string answer; // All that came until the server has closed.
            std::vector<HttpRequest> ran;
        };

        // Sends `bytes` in pieces of `pieceSize` and reads until the server closes.
        Outcome send(std::string_view bytes, std::size_t pieceSize)
        {
            m_ran.clear();
            RawConnection caller(m_server->address());
            try {
                for (std::size_t at = 0; at < bytes.size(); at += pieceSize)
                    caller.write(bytes.substr(at, pieceSize));
            } catch (const boost::system::system_error&) {
                // The server has closed by then.
            }
            caller.shutdownSend();
            Outcome outcome;
            outcome.answer = caller.readAll();
            const std::lock_guard lock(m_mutex);
            outcome.ran = m_ran;
            return outcome;
        }

        Duty m_duty { "framing" };
        std::mutex m_mutex;
        std::vector<HttpRequest> m_ran;
        std::unique_ptr<HttpServer> m_server;
        std::unique_ptr<HttpClient> m_client;
    };

    struct RefusedForm {
        const char* fields;
        int status = 400;
    };

    // Guards against a body that its endpoint never gets, and whose bytes run as a request.
    TEST_F(HttpFramingTest, RefusesRequestsWhoseEndCanNotBeTold)
    {
        const std::vector<RefusedForm> forms {
            { "Transfer-Encoding: identity\r\n" },
            { "Transfer-Encoding: gzip\r\n" },
            { "Transfer-Encoding: x-unknown\r\n" },
            { "Transfer-Encoding: xchunked\r\n" },
            { "Transfer-Encoding: chunkedx\r\n" },
            { "Transfer-Encoding: chunked, identity\r\n" },
            { "Transfer-Encoding: chunked, chunked\r\n" },
            { "Transfer-Encoding: chunked;q=1\r\n" },
            { "Transfer-Encoding: \"chunked\"\r\n" },
            { "Transfer-Encoding:\r\n" },
            { "Transfer-Encoding: ,\r\n" },
            { "Transfer-Encoding: , chunked\r\n" },
            { "Transfer-Encoding: chunked,\r\n" },
            { "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n" },
            { "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n", 501 },
            { "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" },
            { "Transfer-Encoding: gzip, chunked\r\n", 501 },
            { "Transfer-Encoding:\r\n identity\r\n" },
            { "Transfer-Encoding: \x0b"
              "chunked\r\n" },
            { "Transfer-Encoding : chunked\r\n" },
            { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" },
            { "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n" },
            { "Transfer-Encoding: identity\r\nContent-Length: 3\r\n" },
            { "Content-Length: 3\r\nContent-Length: 4\r\n" },
            { "Content-Length: 3, 4\r\n" },
            { "Content-Length: +3\r\n" },
            { "Content-Length: -3\r\n" },
            { "Content-Length: 0x3\r\n" },
            { "Content-Length: 3 3\r\n" },
            { "Content-Length:\r\n" },
            { "Content-Length: 18446744073709551619\r\n" },
            { "Connection: close, Transfer-Encoding\r\nTransfer-Encoding: identity\r\n" },
        };
        int refused = 0;
        for (const RefusedForm& form : forms) {
            for (const char* line : { "POST /outer HTTP/1.1\r\n", "GET /outer HTTP/1.1\r\n", "HEAD /outer HTTP/1.1\r\n" }) {
                for (const std::size_t pieceSize : { std::size_t(1), std::size_t(7), std::size_t(10'000) }) {
                    const Outcome outcome = send(line + std::string("Host: x\r\n") + form.fields + "\r\n" + chunked(inner) + std::string(inner), pieceSize);
                    EXPECT_TRUE(outcome.ran.empty()) << line << form.fields << " ran " << outcome.ran.front().target << " with a body of " << outcome.ran.front().body.size();
                    EXPECT_EQ(outcome.answer.substr(0, 12), "HTTP/1.1 " + std::to_string(form.status)) << line << form.fields;
                    EXPECT_EQ(outcome.answer.find("HTTP/1.1 ", 1), std::string::npos) << "one answer only";
                    ++refused;
                }
            }
        }
        EXPECT_EQ(refused, static_cast<int>(forms.size()) * 9);
    }

    // Guards against the same from callers of HTTP/1.0, where nobody knows chunks.
    TEST_F(HttpFramingTest, RefusesCodingsOfHttp10)
    {
        for (const char* coding : { "chunked", "identity" }) {
            const Outcome outcome = send("POST /outer HTTP/1.0\r\nConnection: keep-alive\r\nTransfer-Encoding: " + std::string(coding) + "\r\n\r\n" + chunked(inner) + std::string(inner), 10'000);
            EXPECT_TRUE(outcome.ran.empty()) << coding;
            EXPECT_EQ(outcome.answer.substr(9, 3), "400");
        }
    }

    struct BadChunks {
        const char* name;
        std::string body;
    };

    // Guards against two readers of chunks that end a body at different places. A body that has begun may have no answer but the close.
    TEST_F(HttpFramingTest, RunsNothingOfChunksThatAreNone)
    {
        const std::string head = "POST /outer HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
        const std::vector<BadChunks> forms {
            { "a bare line feed after the size", "3\nabc\r\n0\r\n\r\n" },
            { "a size that is none", "z\r\nabc\r\n0\r\n\r\n" },
            { "a sign", "+3\r\nabc\r\n0\r\n\r\n" },
            { "a prefix", "0x3\r\nabc\r\n0\r\n\r\n" },
            { "a size over 64 bits", "10000000000000003\r\nabc\r\n0\r\n\r\n" },
            { "more bytes than the size says", "3\r\nabcd\r\n0\r\n\r\n" },
            { "no size", "\r\nabc\r\n0\r\n\r\n" },
            { "fields of framing behind the last chunk", "3\r\nabc\r\n0\r\nTransfer-Encoding: identity\r\nContent-Length: 1\r\n\r\n" },
            { "an extension without end", "3;" + std::string(100'000, 'x') },
        };
        for (const BadChunks& form : forms) {
            for (const std::size_t pieceSize : { std::size_t(1'000), std::size_t(100) }) {
                const Outcome outcome = send(head + form.body + std::string(inner), pieceSize);
                EXPECT_TRUE(outcome.ran.empty()) << form.name;
                EXPECT_NE(outcome.answer.substr(0, 12), "HTTP/1.1 200") << form.name;
            }
        }
    }

    struct SoundForm {
        const char* line;
        std::string fields;
        std::string body; // As it is sent.
    };

    // Guards against sound requests that are refused, and against bodies that aren't passed on byte by byte.
    TEST_F(HttpFramingTest, RunsSoundRequestsWithTheirOwnBytes)
    {
        const std::string length = "Content-Length: " + std::to_string(inner.size()) + "\r\n";
        const std::string body(inner);
        const std::vector<SoundForm> forms {
            { "POST", length, body },
            { "GET", length, body },
            { "HEAD", length, body },
            { "POST", "X-Note: a folded line\r\n Transfer-Encoding: chunked\r\n" + length, body },
            { "POST", "Transfer-Encoding: chunked\r\n", chunked(inner) },
            { "POST", "transfer-encoding: CHUNKED\r\n", chunked(inner) },
            { "POST", "Transfer-Encoding:\tchunked \r\n", chunked(inner) },
            { "GET", "Transfer-Encoding: chunked\r\n", chunked(inner) },
            { "POST", "Connection: Transfer-Encoding\r\nTransfer-Encoding: chunked\r\n", chunked(inner) },
            { "POST", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", "34;name=\"value\"\r\n" + body + "\r\n0\r\nX-Sum: 1\r\n\r\n" },
        };
        ASSERT_EQ(inner.size(), 0x34U);
        for (const SoundForm& form : forms) {
            for (const std::size_t pieceSize : { std::size_t(1), std::size_t(10'000) }) {
                const Outcome outcome = send(std::string(form.line) + " /outer HTTP/1.1\r\nHost: x\r\n" + form.fields + "\r\n" + form.body + "GET /next HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", pieceSize);
                ASSERT_EQ(outcome.ran.size(), 2U) << form.line << " " << form.fields;
                EXPECT_EQ(outcome.ran[0].body, body) << form.line << " " << form.fields;
                EXPECT_EQ(outcome.ran[1].target, "/next");
            }
        }
    }

    // One line of a head, as the caller means it.
    struct HeadLine {
        std::string name; // Empty: the line goes on with the value of the one before.
        std::string separator;
        std::string value;
    };

    std::vector<std::string> elementsOf(const std::vector<HeadLine>& lines, std::string_view name)
    {
        std::vector<std::string> values;
        std::string last = "host";
        for (const HeadLine& line : lines) {
            if (line.name == name)
                values.push_back(line.value);
            else if (line.name.empty() && last == name)
                values.back() += " " + line.value;
            last = line.name.empty() ? last : line.name;
        }
        std::vector<std::string> elements;
        for (const std::string& value : values) {
            std::istringstream rest(value + ",");
            for (std::string element; std::getline(rest, element, ',');) {
                element.erase(0, element.find_first_not_of(' '));
                elements.push_back(element);
            }
        }
        return elements;
    }

    // Returns the body that the head delimits within `bytes`, by the letter of RFC 9112, 6.3; nothing where it delimits none.
    std::optional<std::string> delimited(const std::vector<HeadLine>& lines, int minorVersion, std::string_view bytes)
    {
        const std::vector<std::string> codings = elementsOf(lines, "transfer-encoding");
        const std::vector<std::string> lengths = elementsOf(lines, "content-length");
        if (std::any_of(lines.begin(), lines.end(), [](const HeadLine& line) { return line.separator.starts_with(' ') && !line.name.empty(); }))
            return std::nullopt;
        if (!codings.empty()) {
            const bool isChunked = codings.size() == 1 && (codings[0] == "chunked" || codings[0] == "CHUNKED");
            return isChunked && lengths.empty() && minorVersion == 1 && bytes == chunked(inner) ? std::optional<std::string>(inner) : std::nullopt;
        }
        if (lengths.empty())
            return std::string();
        for (const std::string& length : lengths) {
            if (length != lengths[0] || length.empty() || length.find_first_not_of("0123456789") != std::string::npos || std::stoul(length) > bytes.size())
                return std::nullopt;
        }
        return std::string(bytes.substr(0, std::stoul(lengths[0])));
    }

    // Guards against the forms that no table lists: what runs is what was sent, or nothing.
    TEST_F(HttpFramingTest, RunsWhatWasSentOrNothingOfRandomHeads)
    {
        const std::vector<std::string> names { "transfer-encoding", "transfer-encoding", "content-length", "content-length", "connection", "trailer", "" };
        const std::vector<std::string> separators { ":", ": ", ": ", ":  ", " : " };
        const std::vector<std::string> values { "chunked", "CHUNKED", "chunked", "identity", "gzip", "chunked, identity", "gzip, chunked", "chunked,chunked", ",", "", "xchunked", std::to_string(inner.size()), std::to_string(inner.size()), "0", "3", "+3", "3, 3", "3,4", "close", "keep-alive", "Transfer-Encoding" };
        std::minstd_rand random(79);
        const auto draw = [&](const std::vector<std::string>& list) { return list[random() % list.size()]; };
        int passedOn = 0;
        int refused = 0;
        constexpr int plays = 3'000;
        for (int play = 0; play < plays; ++play) {
            const int minorVersion = random() % 8 == 0 ? 0 : 1;
            std::string head = (random() % 4 == 0 ? "GET" : "POST") + std::string(" /outer HTTP/1.") + std::to_string(minorVersion) + "\r\nHost: x\r\n";
            std::vector<HeadLine> lines;
            for (auto count = random() % 4; count > 0; --count) {
                lines.push_back({ draw(names), draw(separators), draw(values) });
                const HeadLine& line = lines.back();
                head += line.name.empty() ? " " + line.value + "\r\n" : line.name + line.separator + line.value + "\r\n";
            }
            const std::string body = random() % 2 == 0 ? chunked(inner) : std::string(inner);
            const Outcome outcome = send(head + "\r\n" + body, 1 + random() % 200);
            if (outcome.ran.empty()) {
                ++refused;
                continue;
            }
            ++passedOn;
            const std::optional<std::string> own = delimited(lines, minorVersion, body);
            ASSERT_TRUE(own) << "play " << play << " ran: " << head << body;
            EXPECT_EQ(outcome.ran[0].target, "/outer") << "play " << play;
            EXPECT_EQ(outcome.ran[0].body, *own) << "play " << play << ": " << head << body;
        }
        EXPECT_GT(passedOn, plays / 10);
        EXPECT_GT(refused, plays / 10);
        RecordProperty("passedOn", passedOn);
        RecordProperty("refused", refused);
    }

    // Guards against a relay that takes the body of a request to connect for bytes for the server.
    TEST_F(HttpFramingTest, MakesNoConnectionForARequestWithABody)
    {
        std::unique_ptr<ConnectRelay> relay;
        runOn(m_duty, [&] {
            Failure failure;
            relay = ConnectRelay::open(
                m_duty, { "127.0.0.1", 0 }, {}, [](const RelayedConnect& connect) { return std::optional(connect.server); },
                [](const RelayedConnect&, const RelayedResult&) {}, failure);
        });
        for (const std::string& fields : { std::string("Transfer-Encoding: identity\r\n"), std::string("Transfer-Encoding: chunked\r\n"), "Content-Length: " + std::to_string(inner.size()) + "\r\n" }) {
            RawConnection asker(relay->address());
            asker.write("CONNECT " + toText(m_server->address()) + " HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + std::string(inner));
            EXPECT_EQ(asker.readAll().substr(0, 12), "HTTP/1.1 400") << fields;
        }
        EXPECT_TRUE(m_ran.empty());
        runOn(m_duty, [&] { relay.reset(); });
    }

}
}
