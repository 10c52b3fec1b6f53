#include "whinyard/policy/ConnectionGate.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    class ConnectionGateTest : public ::testing::Test {
    protected:
        // Notes a delay each 50 ms and the delay itself, for a while.
        void pass(milliseconds duration, milliseconds delay)
        {
            for (const SteadyTime end = m_now + duration; m_now < end;) {
                m_now += 50ms + delay;
                m_gate.noteWorkDelay(delay, m_now);
            }
        }

        ConnectionGate m_gate;
        SteadyTime m_now { 1h };
    };

    TEST_F(ConnectionGateTest, TakesConnectionsWhileWorkIsDoneInTime)
    {
        pass(2s, 40ms);
        for (int i = 0; i < 1'000; ++i)
            EXPECT_TRUE(m_gate.admits(m_now));
    }

    // Guards against an instance that answers less the more it is asked.
    TEST_F(ConnectionGateTest, TurnsConnectionsAwayWhileADelayStands)
    {
        pass(2s, 120ms);
        m_gate.admits(m_now);
        EXPECT_FALSE(m_gate.admits(m_now));
        pass(50ms, 10ms);
        EXPECT_TRUE(m_gate.admits(m_now));
        EXPECT_TRUE(m_gate.admits(m_now));
    }

    // Guards against an instance whose link is full: nothing of its own is late, but whatever it sends.
    TEST_F(ConnectionGateTest, TurnsConnectionsAwayWhileEveryConnectIsSlow)
    {
        for (int i = 0; i < 5; ++i, m_now += 100ms) {
            m_gate.noteWorkDelay(1ms, m_now);
            m_gate.noteConnectTime(250ms, m_now);
        }
        EXPECT_TRUE(m_gate.isClosed(m_now));
        m_gate.noteConnectTime(3ms, m_now);
        EXPECT_FALSE(m_gate.isClosed(m_now)) << "one endpoint is reached in time";
    }

    // Guards against an instance that stays closed because its path to the endpoints was lost while its link was full.
    TEST_F(ConnectionGateTest, ForgetsSlowConnectsWhereThereAreNoMore)
    {
        m_gate.noteConnectTime(250ms, m_now);
        m_gate.noteConnectTime(250ms, m_now + 300ms);
        EXPECT_TRUE(m_gate.isClosed(m_now + 400ms));
        EXPECT_FALSE(m_gate.isClosed(m_now + 1'300ms));
    }

    // Guards against callers that are turned away for a burst that is over in a moment, as other instances have it too.
    TEST_F(ConnectionGateTest, BearsABurst)
    {
        pass(100ms, 150ms);
        EXPECT_TRUE(m_gate.admits(m_now));
        pass(50ms, 20ms);
        pass(100ms, 150ms);
        EXPECT_TRUE(m_gate.admits(m_now));
    }

    TEST_F(ConnectionGateTest, TakesASuspensionForNoDelayThatStands)
    {
        pass(1ms, 5s);
        EXPECT_TRUE(m_gate.admits(m_now));
    }

    // Guards against an instance that says it is ready, and takes nobody.
    TEST_F(ConnectionGateTest, TakesAConnectionNowAndThenWhateverTheDelay)
    {
        int taken = 0;
        for (int i = 0; i < 20; ++i) {
            pass(1ms, 450ms);
            for (int asked = 0; asked < 10; ++asked)
                taken += m_gate.admits(m_now) ? 1 : 0;
        }
        EXPECT_GE(taken, 20);
        EXPECT_LE(taken, 30);
    }

}
}
