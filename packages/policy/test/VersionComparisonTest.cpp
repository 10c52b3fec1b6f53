// What the answers of a new version say of it, by hand.
#include "whinyard/policy/VersionComparison.h"

#include "whinyard/base/FakeClock.h"
#include "whinyard/policy/VersionShift.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    const ShiftSettings settings;

    class VersionComparisonTest : public ::testing::Test {
    protected:
        // Answers of the other versions to a kind, each `everyNth` of them bad.
        void others(std::uint64_t count, std::uint64_t everyNth = 0, std::size_t kind = 0) { give(m_counts[kind].others, count, everyNth); }

        // The same of an endpoint of the target.
        void target(std::size_t endpoint, std::uint64_t count, std::uint64_t everyNth = 0, std::size_t kind = 0) { give(m_counts[kind].target[endpoint], count, everyNth); }

        void slowOthers(std::uint64_t count, std::uint64_t everyNth = 0) { give(m_counts[0].slowOthers, count, everyNth); }
        void slowTarget(std::size_t endpoint, std::uint64_t count, std::uint64_t everyNth = 0) { give(m_counts[0].slowTarget[endpoint], count, everyNth); }

        // Lets time pass after what was given.
        void pass(std::chrono::milliseconds time)
        {
            m_comparison.add(m_before, m_counts, m_clock.now());
            m_comparison.addEnds(m_endsBefore, m_ends, m_clock.now());
            m_before = m_counts;
            m_endsBefore = m_ends;
            m_clock.advance(time);
        }

        double evidence()
        {
            pass(5s);
            m_comparison.settle(m_clock.now());
            return m_comparison.evidence();
        }

        static void give(RatedCounts& counts, std::uint64_t count, std::uint64_t everyNth)
        {
            const std::uint64_t bad = everyNth > 0 ? count / everyNth : 0;
            counts = { counts.good + count - bad, counts.bad + bad };
        }

        FakeClock m_clock;
        VersionComparison m_comparison { m_clock.now(), 20s };
        CountsByKind m_counts;
        EndCounts m_ends;

    private:
        CountsByKind m_before;
        EndCounts m_endsBefore;
    };

    TEST_F(VersionComparisonTest, KnowsNothingWithoutAnswers)
    {
        others(300);
        EXPECT_EQ(evidence(), 0);
    }

    TEST_F(VersionComparisonTest, FindsAVersionThatFailsAtAllEndpoints)
    {
        others(300);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            target(endpoint, 10, 2);
        EXPECT_GE(evidence(), settings.stopAt);
    }

    // Guards against an endpoint that is bad by itself and has its version rolled back.
    TEST_F(VersionComparisonTest, ExcusesOneEndpointThatAloneFails)
    {
        others(300);
        target(0, 40, 2);
        for (std::size_t endpoint = 1; endpoint < 4; ++endpoint)
            target(endpoint, 20);
        EXPECT_LT(evidence(), settings.doubtAt);
    }

    TEST_F(VersionComparisonTest, ExcusesOneOfTwoEndpoints)
    {
        others(300);
        target(0, 40, 2);
        target(1, 40);
        EXPECT_LT(evidence(), settings.doubtAt);
    }

    // Guards against 500 answers of an endpoint that count for nothing since others gave one each before they ended.
    TEST_F(VersionComparisonTest, TakesTheAnswersOfTheOneEndpointLeftForTheVersions)
    {
        others(100);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            target(endpoint, 1);
        pass(9s);
        others(100);
        target(0, 500, 2);
        EXPECT_GE(evidence(), settings.stopAt);
    }

    TEST_F(VersionComparisonTest, FindsAVersionThatFailsAtAllEndpointsButOne)
    {
        others(300);
        target(0, 20);
        for (std::size_t endpoint = 1; endpoint < 4; ++endpoint)
            target(endpoint, 20, 2);
        EXPECT_GE(evidence(), settings.stopAt);
    }

    // A sound version beside a kind that fails by itself, a few times in a row.
    TEST_F(VersionComparisonTest, ExpectsWhatAKindFailsByItself)
    {
        others(300);
        others(100, 7, 1);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            target(endpoint, 12);
        target(2, 5, 1, 1);
        target(3, 9, 0, 1);
        EXPECT_LT(evidence(), settings.stopAt);
    }

    TEST_F(VersionComparisonTest, FindsAVersionThatFailsAtOneKind)
    {
        others(300);
        others(100, 0, 1);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint) {
            target(endpoint, 30);
            target(endpoint, 4, 2, 1);
        }
        EXPECT_GE(evidence(), settings.stopAt);
    }

    TEST_F(VersionComparisonTest, AllowsWhatTheOthersGiveMoreOf)
    {
        others(300, 3);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            target(endpoint, 25, 5);
        EXPECT_EQ(evidence(), 0);
    }

    // Everything is moved, and the others answer no more. Guards against a version whose answers become slow only then.
    TEST_F(VersionComparisonTest, ComparesSlownessAfterTheMove)
    {
        others(300);
        slowOthers(300, 30);
        pass(2s);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            slowTarget(endpoint, 12, 2);
        EXPECT_GE(evidence(), settings.stopAt);
    }

    TEST_F(VersionComparisonTest, TakesSlownessLongAfterTheOthersForTheLoads)
    {
        slowOthers(300, 30);
        pass(6s);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            slowTarget(endpoint, 12, 2);
        EXPECT_EQ(evidence(), 0);
    }

    TEST_F(VersionComparisonTest, FindsAVersionWhoseEndpointsEnd)
    {
        others(300);
        target(4, 20);
        pass(1s);
        for (std::size_t endpoint = 0; endpoint < 4; ++endpoint)
            m_ends.target[endpoint].bad += 9;
        EXPECT_GE(evidence(), settings.stopAt);
    }

    TEST_F(VersionComparisonTest, ExcusesEndpointsThatEndAsOthersDo)
    {
        others(300);
        target(4, 20);
        pass(1s);
        for (std::size_t endpoint = 0; endpoint < 3; ++endpoint)
            m_ends.target[endpoint].bad += 9;
        pass(2s);
        for (std::size_t endpoint = 10; endpoint < 14; ++endpoint)
            m_ends.others[endpoint].bad += 1;
        EXPECT_LT(evidence(), settings.stopAt);
    }

    // Guards against all requests on a version of which no endpoint answers.
    TEST(VersionShiftSilenceTest, CompletesNoVersionThatAnswersNothingWhereOthersDo)
    {
        const auto verdict = [](int answersOfOthers) {
            FakeClock clock;
            VersionShifts shifts;
            shifts.takeOrder({ { "app" }, "v2", 20s, 10 }, clock.now());
            clock.advance(18'800ms);
            for (int i = 0; i < answersOfOthers; ++i)
                shifts.recordOutcome({ "app" }, "v1", { .endpoint = { "e" }, .measure = "r", .time = 50ms, .expected = 40ms }, clock.now());
            clock.advance(500ms);
            return shifts.due({ "app" }, clock.now())->state;
        };
        EXPECT_EQ(verdict(30), ShiftState::rolledBack);
        EXPECT_EQ(verdict(0), ShiftState::completed) << "nobody asked for anything";
    }

}
}
