#include "whinyard/policy/ConnectionGate.h"

#include <gtest/gtest.h>

#include <algorithm>

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

        bool pauses() { return m_gate.pauseAfterConnection(m_now) > 0ms; }

        ConnectionGate m_gate;
        SteadyTime m_now { 1h };
    };

    // A gate before a link, and connections that each carry the same each way.
    class LinkGate {
    public:
        LinkGate(double bytesPerSecond, std::uint64_t bytes)
            : m_gate({ .linkBytesPerSecond = bytesPerSecond })
            , m_connectionBytes(bytes)
        {
        }

        // Offers connections at a rate for a while, and returns how many were taken.
        std::size_t offer(double perSecond, std::chrono::milliseconds duration)
        {
            std::size_t taken = 0;
            double due = 0;
            for (const SteadyTime end = m_now + duration; m_now < end; m_now += 1ms) {
                for (due += perSecond / 1'000; due >= 1; due -= 1) {
                    if (m_now < m_closedUntil)
                        continue;
                    ++taken;
                    m_closedUntil = m_now + m_gate.pauseAfterConnection(m_now);
                    m_longestPause = std::max(m_longestPause, m_closedUntil - m_now);
                    m_bytes.received += m_connectionBytes;
                    m_bytes.sent += m_connectionBytes;
                }
                m_gate.noteBytes(m_bytes, m_now);
            }
            return taken;
        }

        // Has an endpoint send what no caller gets.
        void waste(std::uint64_t bytes)
        {
            m_bytes.received += bytes;
            m_gate.noteBytes(m_bytes, m_now);
            m_gate.noteWasted(bytes);
        }

        SteadyTime::duration longestPause() const { return m_longestPause; }
        double linkUse() const { return m_gate.linkUse(); }
        bool isBehind() const { return m_gate.isBehind(m_now); }

    private:
        ConnectionGate m_gate;
        const std::uint64_t m_connectionBytes;
        LinkBytes m_bytes;
        SteadyTime m_now { 1h };
        SteadyTime m_closedUntil;
        SteadyTime::duration m_longestPause { 0 };
    };

    TEST_F(ConnectionGateTest, TakesConnectionsWhileWorkIsDoneInTime)
    {
        pass(2s, 40ms);
        for (int i = 0; i < 1'000; ++i)
            EXPECT_FALSE(pauses());
    }

    // Guards against an instance that answers less the more it is asked.
    TEST_F(ConnectionGateTest, TurnsConnectionsAwayWhileADelayStands)
    {
        pass(2s, 120ms);
        EXPECT_TRUE(pauses());
        EXPECT_TRUE(m_gate.isDelayed(m_now));
        pass(50ms, 10ms);
        EXPECT_FALSE(pauses());
        EXPECT_FALSE(pauses());
    }

    // Guards against an instance whose link is full: nothing of its own is late, but whatever it sends.
    TEST_F(ConnectionGateTest, TurnsConnectionsAwayWhileEveryConnectIsSlow)
    {
        for (int i = 0; i < 5; ++i, m_now += 100ms) {
            m_gate.noteWorkDelay(1ms, m_now);
            m_gate.noteConnectTime(250ms, m_now);
        }
        EXPECT_TRUE(m_gate.isDelayed(m_now));
        m_gate.noteConnectTime(3ms, m_now);
        EXPECT_FALSE(m_gate.isDelayed(m_now)) << "one endpoint is reached in time";
    }

    // Guards against an instance that stays closed because its path to the endpoints was lost while its link was full.
    TEST_F(ConnectionGateTest, ForgetsSlowConnectsWhereThereAreNoMore)
    {
        m_gate.noteConnectTime(250ms, m_now);
        m_gate.noteConnectTime(250ms, m_now + 300ms);
        EXPECT_TRUE(m_gate.isDelayed(m_now + 400ms));
        EXPECT_FALSE(m_gate.isDelayed(m_now + 1'300ms));
    }

    // Guards against callers that are turned away for a burst that is over in a moment, as other instances have it too.
    TEST_F(ConnectionGateTest, BearsABurst)
    {
        pass(100ms, 150ms);
        EXPECT_FALSE(pauses());
        pass(50ms, 20ms);
        pass(100ms, 150ms);
        EXPECT_FALSE(pauses());
    }

    TEST_F(ConnectionGateTest, TakesASuspensionForNoDelayThatStands)
    {
        pass(1ms, 5s);
        EXPECT_FALSE(pauses());
    }

    // Guards against an instance that says it is ready, and takes nobody.
    TEST_F(ConnectionGateTest, TakesAConnectionNowAndThenWhateverTheDelay)
    {
        pass(2s, 450ms);
        EXPECT_GT(m_gate.pauseAfterConnection(m_now), 0ms);
        EXPECT_LE(m_gate.pauseAfterConnection(m_now), 200ms);
    }

    // Guards against verdicts on others that rest on this instance's own lateness, and against verdicts that rest for good.
    TEST_F(ConnectionGateTest, IsBehindForAWhileAfterADelay)
    {
        EXPECT_FALSE(m_gate.isBehind(m_now));
        pass(1ms, 150ms);
        EXPECT_TRUE(m_gate.isBehind(m_now));
        pass(400ms, 10ms);
        EXPECT_TRUE(m_gate.isBehind(m_now));
        pass(200ms, 10ms);
        EXPECT_FALSE(m_gate.isBehind(m_now));
    }

    // Guards against a link that is filled before any delay has stood for long enough to be noticed.
    TEST(ConnectionGateLinkTest, TakesNoMoreThanItsShareOfTheLinkFromTheFirstMomentOn)
    {
        constexpr double bytesPerSecond = 1'250'000;
        constexpr std::uint64_t bytes = 7'000;
        LinkGate gate(bytesPerSecond, bytes);
        gate.offer(8, 10s);
        for (int i = 0; i < 100; ++i) {
            EXPECT_LE(static_cast<double>(gate.offer(480, 100ms)) * bytes, 0.25 * bytesPerSecond) << i * 100 << " ms";
            EXPECT_FALSE(gate.isBehind());
        }
        EXPECT_NEAR(static_cast<double>(gate.offer(480, 10s)) * bytes, 0.5 * bytesPerSecond * 10, 0.06 * bytesPerSecond * 10);
        EXPECT_LE(gate.longestPause(), 200ms);
    }

    // Guards against callers who are turned away while the link has room for them.
    TEST(ConnectionGateLinkTest, TakesAllThatTheLinkBears)
    {
        for (const double megabits : { 10.0, 40.0, 1'000.0 }) {
            const double bytesPerSecond = megabits * 125'000;
            const double borne = 0.4 * bytesPerSecond / 7'000;
            LinkGate gate(bytesPerSecond, 7'000);
            EXPECT_GE(static_cast<double>(gate.offer(borne, 10s)), 0.98 * borne * 10) << megabits << " Mbit/s";
        }
    }

    // Guards against prompts that grow and fill the link by numbers that were right for small ones.
    TEST(ConnectionGateLinkTest, CountsConnectionsByWhatTheyCostOfLate)
    {
        constexpr double bytesPerSecond = 1'250'000;
        LinkGate gate(bytesPerSecond, 100'000);
        gate.offer(480, 3s);
        const auto taken = static_cast<double>(gate.offer(480, 10s));
        EXPECT_LE(taken, 0.6 * bytesPerSecond * 10 / 100'000);
        EXPECT_GE(taken, 0.4 * bytesPerSecond * 10 / 100'000);
    }

    // Guards against callers who are turned away for seconds for what a faulty endpoint has sent.
    TEST(ConnectionGateLinkTest, CountsNoWastedBytesAsWhatConnectionsCost)
    {
        LinkGate gate(1'250'000, 2'000);
        gate.offer(20, 5s);
        gate.waste(8'000'000);
        EXPECT_EQ(gate.offer(20, 2s), 40U);
        EXPECT_EQ(gate.longestPause(), 0ms);
    }

    TEST(ConnectionGateLinkTest, IsBehindWhileTheLinkIsFull)
    {
        ConnectionGate gate({ .linkBytesPerSecond = 1'000'000 });
        SteadyTime now { 1h };
        LinkBytes bytes;
        for (int i = 0; i < 20; ++i, now += 50ms, bytes.sent += 48'000)
            gate.noteBytes(bytes, now);
        EXPECT_TRUE(gate.isLinkFull());
        EXPECT_TRUE(gate.isBehind(now));
        for (int i = 0; i < 20; ++i, now += 50ms)
            gate.noteBytes(bytes, now);
        EXPECT_FALSE(gate.isBehind(now));
    }

    // Guards against callers who are turned away by a bound on a link that isn't known.
    TEST(ConnectionGateLinkTest, BoundsNothingWhereTheLinkIsUnknown)
    {
        LinkGate gate(0, 100'000);
        EXPECT_EQ(gate.offer(1'000, 1s), 1'000U);
    }

}
}
