#include "whinyard/net/FrameServer.h"

#include "whinyard/net/FrameClient.h"
#include "whinyard/net/RawConnection.h"

#include <gtest/gtest.h>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    constexpr std::chrono::seconds longTime { 60 };

    // A server that answers with its request, waits on "hold", and gives no answer to "close".
    class FrameServerTest : public ::testing::Test {
    protected:
        FrameServerTest()
        {
            runOn(duty, [&] {
                client = FrameClient::create(duty);
                server = FrameServer::open(
                    duty, { "127.0.0.1", 0 }, { .frameBytes = limit }, [this](std::string_view request) { return answer(request); }, failure);
                ASSERT_TRUE(server) << failure.reason;
            });
        }

        ~FrameServerTest() override
        {
            runOn(duty, [&] {
                client.reset();
                server.reset();
            });
        }

        std::optional<std::string> answer(std::string_view request)
        {
            if (request == "hold") {
                held.notify();
                release.wait(longTime);
            }
            if (request == "close")
                return std::nullopt;
            return std::string(request);
        }

        std::optional<std::string> call(std::string_view request, FrameCallOptions options = {})
        {
            return client->call(server->address(), request, options, progress, failure);
        }

        static constexpr std::size_t limit = 300'000;

        Duty duty { "frames" };
        Signal held;
        Signal release;
        std::unique_ptr<FrameServer> server;
        std::unique_ptr<FrameClient> client;
        FrameCallProgress progress;
        Failure failure;
    };

    // Guards against a descriptor that is held for each call which asks for a connection of its own.
    TEST_F(FrameServerTest, ClosesTheConnectionOfACallThatAskedForItsOwn)
    {
        runOn(duty, [&] {
            for (int i = 0; i < 10; ++i)
                EXPECT_EQ(call("x", { .freshConnection = true }), "x") << failure.reason;
            for (int look = 0; look < 200 && server->connections() > 0; ++look)
                sleepFor(milliseconds(10));
            EXPECT_EQ(server->connections(), 0U);
            EXPECT_EQ(call("x"), "x") << failure.reason;
            EXPECT_EQ(call("x"), "x") << failure.reason;
            EXPECT_EQ(server->connections(), 1U);
        });
    }

    TEST_F(FrameServerTest, AnswersFramesUpToTheirLimit)
    {
        runOn(duty, [&] {
            for (const std::size_t size : { std::size_t { 0 }, std::size_t { 10'000 }, limit }) {
                const std::string request(size, 'x');
                EXPECT_EQ(call(request), request) << failure.reason;
                EXPECT_EQ(progress.bytesWritten, size + 4);
            }
            EXPECT_FALSE(call(std::string(limit + 1, 'x')));
            EXPECT_EQ(failure.kind, ErrorKind::peerUnreachable); // The server closes on it.
            EXPECT_FALSE(call("abc", { .frameBytes = 2 }));
            EXPECT_EQ(failure.kind, ErrorKind::bodyTooLarge);
            EXPECT_EQ(failure.runState, RunState::notRun);
        });
    }

    TEST_F(FrameServerTest, TellsWhetherAnyByteCanHaveArrived)
    {
        runOn(duty, [&] {
            EXPECT_EQ(call("kept"), "kept");
            EXPECT_FALSE(call("close"));
            EXPECT_EQ(failure.kind, ErrorKind::peerUnreachable);
            EXPECT_EQ(failure.runState, RunState::unknown);
            EXPECT_GT(progress.bytesWritten, 0U);

            EXPECT_FALSE(call("hold", { .timeout = milliseconds(50) }));
            EXPECT_EQ(failure.kind, ErrorKind::deadlineExceeded);
            EXPECT_EQ(failure.runState, RunState::unknown);

            server->close();
            release.notify();
            EXPECT_FALSE(call("gone"));
            EXPECT_EQ(failure.kind, ErrorKind::peerUnreachable);
            EXPECT_EQ(failure.runState, RunState::notRun);
            EXPECT_EQ(progress.bytesWritten, 0U);
        });
    }

    TEST_F(FrameServerTest, DrainsWithoutCuttingAnAnswer)
    {
        runOn(duty, [&] {
            Signal answered;
            std::optional<std::string> late;
            duty.spawn([&] {
                late = call("hold");
                answered.notify();
            });
            ASSERT_TRUE(held.wait(longTime));
            EXPECT_EQ(server->active(), 1U);
            EXPECT_EQ(call("beside"), "beside");
            server->drain();
            release.notify();
            ASSERT_TRUE(answered.wait(longTime));
            EXPECT_EQ(late, "hold") << failure.reason;
        });
    }

    TEST_F(FrameServerTest, ClosesOnAFrameThatIsTooLong)
    {
        testing::RawConnection raw(server->address());
        raw.write(std::string_view("\xff\xff\xff\xff", 4));
        EXPECT_EQ(raw.readAll(), "");
    }

}
}
