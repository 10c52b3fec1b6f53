// A clock that jumps, as that of a machine that was suspended does, while requests are under way.
#include "whinyard/router/Forwarder.h"

#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    class ForwarderClockTest : public ::testing::Test {
    protected:
        ForwarderBench m_bench;
    };

    TEST_F(ForwarderClockTest, EndsAnAttemptWhoseDeadlinePassedInAJump)
    {
        std::size_t reads = 0;
        m_bench.answer(200, std::vector<std::string>(20, "piece")).onRead = [&] {
            if (++reads == 3) {
                m_bench.clock.advance(10s);
                m_bench.forwarder.tick();
            }
        };
        EXPECT_EQ(m_bench.send().response.status, 504);
        EXPECT_EQ(reads, 3U);
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
    }

    TEST_F(ForwarderClockTest, MakesNoAttemptAfterAJumpOverTheDeadline)
    {
        m_bench.lose(50);
        m_bench.client.onCall = [&] { m_bench.clock.advance(10s); };
        EXPECT_EQ(m_bench.send().response.status, 502) << "it may have run";
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
    }

    // What was withdrawn meanwhile is looked at anew before the next attempt.
    TEST_F(ForwarderClockTest, PassesTheGateAnewAfterAJump)
    {
        m_bench.lose(50);
        m_bench.client.onCall = [&] {
            m_bench.clock.advance(1s);
            m_bench.routing.customers.front().keys = { "k9" };
            m_bench.routing.version = 2;
            m_bench.publish();
        };
        EXPECT_EQ(m_bench.send().response.status, 401);
        EXPECT_EQ(m_bench.client.requests.size(), 1U);
    }

}
}
