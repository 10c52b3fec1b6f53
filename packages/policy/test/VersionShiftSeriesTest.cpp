// Orders of one service that follow each other.
#include "whinyard/policy/VersionShift.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    constexpr std::uint64_t drawnLast = 0xFFFFFFFFFFFFFFFFULL;

    class VersionShiftSeriesTest : public ::testing::Test {
    protected:
        // Ends an order to v2 and begins one to v3, while the endpoints of v1 are still listed.
        VersionShiftSeriesTest()
        {
            end("v2", 10, ShiftState::completed);
            m_clock.advance(1s);
            m_shifts.takeOrder({ service, "v3", 12s, 20 }, m_clock.now());
        }

        void end(const std::string& target, std::uint64_t revision, ShiftState state)
        {
            m_shifts.takeOrder({ service, target, 12s, revision }, m_clock.now());
            m_clock.advance(12s);
            m_shifts.takeRecord(service, { .order = revision, .state = state, .elapsed = 12s, .reason = "" }, m_clock.now());
        }

        std::vector<std::string> preferred(const std::vector<std::string>& available) { return m_shifts.prefer(service, true, drawnLast, available, m_clock.now()).versions; }

        const ServiceName service { "lm" };
        const std::vector<std::string> all { "v1", "v2", "v3" };
        FakeClock m_clock;
        VersionShifts m_shifts;
    };

    // Seen: sessions went from a version back to the one that it had replaced, as soon as the next order came.
    TEST_F(VersionShiftSeriesTest, GoesBackToNoVersionThatACompletedOrderReplaced)
    {
        EXPECT_EQ(preferred(all), std::vector<std::string> { "v2" });
        m_clock.advance(11'900ms);
        EXPECT_EQ(preferred(all), (std::vector<std::string> { "v3", "v2" })) << "everything is moved";
        m_shifts.takeRecord(service, { .order = 20, .state = ShiftState::rolledBack, .elapsed = 12s, .reason = "" }, m_clock.now());
        EXPECT_EQ(preferred(all), std::vector<std::string> { "v2" });
    }

    TEST_F(VersionShiftSeriesTest, UsesWhatIsThereWhereTheVersionInUseIsGone)
    {
        EXPECT_EQ(preferred({ "v1", "v3" }), std::vector<std::string> { "v1" });
    }

    TEST_F(VersionShiftSeriesTest, KeepsToTheVersionInUseWhereAnOrderIsRolledBack)
    {
        m_clock.advance(1s);
        m_shifts.takeRecord(service, { .order = 20, .state = ShiftState::rolledBack, .elapsed = 2s, .reason = "" }, m_clock.now());
        m_shifts.takeOrder({ service, "v4", 12s, 30 }, m_clock.now());
        EXPECT_EQ(preferred({ "v1", "v2", "v3", "v4" }), std::vector<std::string> { "v2" });
    }

}
}
