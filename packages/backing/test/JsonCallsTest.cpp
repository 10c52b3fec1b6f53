#include "whinyard/backing/JsonCalls.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>

namespace whinyard::backing {
namespace {

    using namespace std::chrono_literals;

    // A client whose answers arrive as a test says: what happens before the head, and before each piece.
    class SlowClient final : public net::HttpClient {
    public:
        std::function<void()> beforeHead;
        std::deque<std::pair<std::string, std::function<void()>>> pieces;
        net::HttpCallOptions options;

        std::optional<net::HttpResponse> call(const net::Address&, const net::HttpRequest&, const net::HttpCallOptions&, net::HttpCallProgress&, Failure& failure) override
        {
            failure.reason = "a whole answer was asked for";
            return std::nullopt;
        }

        std::unique_ptr<net::HttpStream> open(const net::Address&, const net::HttpRequest&, const net::HttpCallOptions& callOptions, net::HttpCallProgress&, Failure& failure) override
        {
            options = callOptions;
            if (beforeHead)
                beforeHead();
            if (!callOptions.cancellation->cancelled())
                return std::make_unique<Stream>(*this, *callOptions.cancellation);
            failure = { .kind = ErrorKind::cancelled, .reason = "cancelled" };
            return nullptr;
        }

    private:
        class Stream final : public net::HttpStream {
        public:
            Stream(SlowClient& client, const net::HttpCancellation& cancellation)
                : m_client(client)
                , m_cancellation(cancellation)
            {
            }

            const net::HttpResponse& head() const override { return m_head; }

            // A call that is cancelled ends, whatever has arrived of its answer.
            std::optional<std::string> read(Failure& failure) override
            {
                if (m_client.pieces.empty())
                    return std::string();
                const auto [piece, before] = m_client.pieces.front();
                m_client.pieces.pop_front();
                if (before)
                    before();
                if (!m_cancellation.cancelled())
                    return piece;
                failure = { .kind = ErrorKind::cancelled, .reason = "cancelled" };
                return std::nullopt;
            }

            void cancel() override { }

        private:
            SlowClient& m_client;
            const net::HttpCancellation& m_cancellation;
            const net::HttpResponse m_head;
        };
    };

    class JsonCallsTest : public ::testing::Test {
    protected:
        std::optional<JsonReply> read() { return m_calls.read("/large", 300ms, m_failure); }

        SlowClient m_client;
        JsonCalls m_calls { m_client, { .address = { "127.0.0.1", 1 }, .callTimeout = 200ms } };
        Failure m_failure;
    };

    // A remedy that looks every 200 ms cut off the read of a configuration that took a small link longer, for ever.
    TEST_F(JsonCallsTest, LeavesAReadThatMakesProgress)
    {
        const auto interrupt = [this] { m_calls.interruptSilentReads(); };
        m_client.pieces = { { R"({"entries": )", interrupt }, { "[1, 2", interrupt }, { "]}", interrupt } };
        const std::optional<JsonReply> reply = read();
        ASSERT_TRUE(reply) << m_failure.reason;
        EXPECT_EQ(reply->body["entries"].size(), 2U);
    }

    TEST_F(JsonCallsTest, EndsAReadThatIsSilent)
    {
        m_client.beforeHead = [this] { m_calls.interruptSilentReads(); };
        EXPECT_FALSE(read());
        EXPECT_EQ(m_failure.kind, ErrorKind::storeUnavailable);
    }

    TEST_F(JsonCallsTest, BoundsPausesOfAReadAndNotAllOfIt)
    {
        ASSERT_TRUE(read());
        EXPECT_EQ(m_client.options.timeout, 300ms) << "until the head";
        EXPECT_EQ(m_client.options.pieceTimeout, 200ms);
        EXPECT_TRUE(m_client.options.findsDeadPeer) << "a watch waits for long";
        EXPECT_TRUE(m_client.options.needsStatedEnd) << "a close may be the end of the store";
    }

}
}
