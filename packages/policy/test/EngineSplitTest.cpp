#include "whinyard/policy/EngineSplit.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    class EngineSplitTest : public ::testing::Test {
    protected:
        EngineSplitTest() { m_split.noteUse(64, 0, m_clock.now()); }

        double border() const { return m_split.partFor(true, m_clock.now()).to; }

        FakeClock m_clock;
        EngineSplit m_split;
    };

    TEST_F(EngineSplitTest, StartsWithAQuarterForSmallModels)
    {
        EXPECT_NEAR(border(), 0.25, 1e-9);
    }

    TEST_F(EngineSplitTest, DividesByWorkWithHeadroomForSmallModels)
    {
        for (int i = 0; i < 1'000; ++i) {
            m_split.note(true, 20ms, m_clock.now());
            m_split.note(false, 60ms, m_clock.now());
            m_clock.advance(20ms);
        }
        EXPECT_NEAR(border(), 1.5 / (1.5 + 3), 0.02);
    }

    TEST_F(EngineSplitTest, LeavesEitherKindItsLeastPart)
    {
        for (int i = 0; i < 1'000; ++i)
            m_split.note(false, 1s, m_clock.now());
        EXPECT_NEAR(border(), 0.1, 1e-9);
        m_clock.advance(300s);
        for (int i = 0; i < 1'000; ++i)
            m_split.note(true, 1s, m_clock.now());
        EXPECT_NEAR(border(), 0.9, 1e-9);
    }

    TEST_F(EngineSplitTest, ForgetsWorkOfLongAgo)
    {
        m_split.note(true, 100s, m_clock.now());
        m_clock.advance(120s);
        EXPECT_NEAR(border(), 0.25, 0.01);
    }

    TEST_F(EngineSplitTest, SharesEnginesWithFewFreePlaces)
    {
        const auto use = [this](double places, double taken) {
            for (int i = 0; i < 2'000; ++i) {
                m_clock.advance(50ms);
                m_split.noteUse(places, taken, m_clock.now());
            }
            return m_split.partFor(true, m_clock.now());
        };
        EXPECT_EQ(use(64, 0.14).weight, 1);
        EXPECT_EQ(use(64, 0.4).to, 1) << "every engine is in the part";
        EXPECT_EQ(use(24, 0).to, 1);
        EXPECT_NEAR(use(64, 5.0 / 24).weight, 0.5, 0.01) << "32 are free";
        EXPECT_LT(use(64, 0.1).to, 1);
    }

    TEST_F(EngineSplitTest, PartsMeetAndHoldEveryPlace)
    {
        const EndpointPart small = m_split.partFor(true, m_clock.now());
        const EndpointPart large = m_split.partFor(false, m_clock.now());
        for (const double place : { 0.0, 0.1, 0.25, 0.5, 0.99 })
            EXPECT_NE(small.holds(place), large.holds(place)) << place;
    }

}
}
