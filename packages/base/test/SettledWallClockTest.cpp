#include "whinyard/base/SettledWallClock.h"

#include <gtest/gtest.h>

namespace whinyard {
namespace {

    using namespace std::chrono_literals;

    // Its two times move apart as a test says.
    class SteppedClock final : public Clock {
    public:
        SteadyTime steady { 1h };
        std::chrono::nanoseconds step { 0 };

        SteadyTime now() const override { return steady; }
        WallTime wallNow() const override { return WallTime(std::chrono::duration_cast<WallTime::duration>(steady.time_since_epoch() + 1'000h + step)); }
    };

    class SettledWallClockTest : public ::testing::Test {
    protected:
        std::chrono::nanoseconds error() { return m_settled.now() - WallTime(std::chrono::duration_cast<WallTime::duration>(m_clock.steady.time_since_epoch() + 1'000h)); }

        SteppedClock m_clock;
        SettledWallClock m_settled { m_clock };
    };

    TEST_F(SettledWallClockTest, LeavesOutAJumpThatGoesBack)
    {
        EXPECT_EQ(error(), 0ns);
        m_clock.step = 3s;
        m_clock.steady += 1s;
        EXPECT_EQ(error(), 0ns);
        m_clock.steady += 20s;
        EXPECT_EQ(error(), 0ns);
        m_clock.step = 0s;
        m_clock.steady += 50s;
        EXPECT_EQ(error(), 0ns);
    }

    TEST_F(SettledWallClockTest, FollowsSmallStepsAtOnceAndLargeOnesThatHold)
    {
        error();
        m_clock.step = 50ms;
        EXPECT_EQ(error(), 50ms);
        m_clock.step = -4s;
        EXPECT_EQ(error(), 50ms);
        m_clock.steady += 61s;
        EXPECT_EQ(error(), -4s);
    }

}
}
