#include "whinyard/policy/VersionShift.h"

#include "whinyard/base/FakeClock.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/ShiftRecords.h"

#include <gtest/gtest.h>

#include <set>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    const ServiceName service { "lm" };
    const std::vector<std::string> bothVersions { "v1", "v2" };

    // Digests that are drawn first and last to a target.
    constexpr std::uint64_t drawnFirst = 1;
    constexpr std::uint64_t drawnLast = 0xFFFFFFFFFFFFFFFFULL;

    class VersionShiftTest : public ::testing::Test {
    protected:
        VersionShiftTest() { order(m_shifts); }

        void order(VersionShifts& shifts, std::uint64_t revision = 10) { shifts.takeOrder({ service, "v2", 20s, revision }, m_clock.now()); }

        // For a request without a session.
        std::string preferred() { return m_shifts.prefer(service, false, m_random(), bothVersions, m_clock.now()).versions.front(); }

        std::string preferredBySession(VersionShifts& shifts, std::uint64_t session) { return shifts.prefer(service, true, session, bothVersions, m_clock.now()).versions.front(); }

        // The share of requests, without a session or of new sessions, that the target gets now.
        double shareOfTarget(bool hasSession = false, int draws = 4'000)
        {
            int target = 0;
            for (int i = 0; i < draws; ++i)
                target += m_shifts.prefer(service, hasSession, m_random(), bothVersions, m_clock.now()).versions.front() == "v2";
            return static_cast<double>(target) / draws;
        }

        // Answers of both versions; every `everyNth` of the target is bad.
        void answer(int count, int everyNth, VersionOutcome bad)
        {
            for (int i = 1; i <= count; ++i) {
                m_shifts.recordOutcome(service, "v1", good(), m_clock.now());
                m_shifts.recordOutcome(service, "v2", everyNth > 0 && i % everyNth == 0 ? bad : good(), m_clock.now());
                m_clock.advance(20ms);
            }
        }

        static VersionOutcome good() { return { .endpoint = { "e" }, .failed = false, .connectionLost = false, .measure = "r", .time = 50ms, .expected = 40ms, .wasSeenWhole = true, .pause = 100ms }; }
        static VersionOutcome failure() { return { .endpoint = { "e" }, .failed = true, .connectionLost = false, .measure = "r", .time = 0us, .expected = 40ms, .wasSeenWhole = true, .pause = 0us }; }
        static VersionOutcome slow() { return { .endpoint = { "e" }, .failed = false, .connectionLost = false, .measure = "r", .time = 400ms, .expected = 40ms, .wasSeenWhole = true, .pause = 100ms }; }

        ShiftState state() { return m_shifts.due(service, m_clock.now()).value_or(ShiftRecord { .order = 0, .state = ShiftState::running, .elapsed = 0ms, .reason = {} }).state; }

        FakeClock m_clock;
        Random m_random { 3 };
        VersionShifts m_shifts;
    };

    TEST_F(VersionShiftTest, MovesEverythingAtTheEndOfATrial)
    {
        EXPECT_EQ(shareOfTarget(), 0) << "sessions are told first";
        EXPECT_EQ(shareOfTarget(true), 0);
        m_clock.advance(1s);
        EXPECT_NEAR(shareOfTarget(true), 0.056, 0.015);
        m_clock.advance(17s);
        EXPECT_NEAR(shareOfTarget(true), 0.056, 0.015) << "nothing more until the end of the period";
        EXPECT_EQ(state(), ShiftState::running);
        m_clock.advance(800ms);
        EXPECT_EQ(shareOfTarget(), 1);
        EXPECT_EQ(shareOfTarget(true), 1);
        EXPECT_EQ(state(), ShiftState::running);
        m_clock.advance(500ms);
        EXPECT_EQ(state(), ShiftState::completed);
    }

    // Guards against a version that is completed because its trial never brings the load under which it fails.
    TEST_F(VersionShiftTest, BringsTheWholeLoadInBurstsOfTheTrial)
    {
        m_clock.advance(700ms);
        double sum = 0;
        int whole = 0; // Steps in which the target gets everything.
        constexpr auto step = 10ms;
        constexpr int steps = 17'900 / 10;
        for (int i = 0; i < steps; ++i) {
            const double share = shareOfTarget(false, 200);
            sum += share;
            whole += share == 1 ? 1 : 0;
            m_clock.advance(step);
        }
        EXPECT_NEAR(sum / steps, 0.056, 0.015);
        EXPECT_NEAR(sum, whole, 0.01) << "nothing comes between the bursts";
        EXPECT_GE(whole * step, 800ms) << "long enough that requests run beside each other";
    }

    TEST(ShiftStagesTest, ExposeNoMoreThanTheBoundWhateverIsFound)
    {
        for (const double bound : { 0.05, 0.0975, 0.15, 0.3, 0.9 }) {
            const ShiftStages stages = stagesFor(bound);
            EXPECT_LE(stages.trialShare * stages.moveAt + (1 - stages.moveAt), 0.801 * bound) << bound;
            EXPECT_GT(stages.trialShare, 0.3 * bound) << "enough to be judged";
            EXPECT_LT(stages.moveAt, stages.completeAt);
            EXPECT_LT(stages.completeAt, 1) << "before the period ends";
        }
    }

    // Requests that a site allows beside the share make the move longer where they are much of what a service gets.
    TEST(ShiftStagesTest, KeepTheBoundWithItsSlack)
    {
        for (const double bound : { 0.05, 0.0975, 0.15, 0.3, 0.9 }) {
            for (const double requests : { 40.0, 800.0, 4'000.0, 100'000.0 }) {
                const ShiftStages stages = stagesFor(bound, 30, requests);
                EXPECT_LE(stages.trialShare * stages.moveAt + (1 - stages.moveAt), 0.801 * (bound + 30 / requests)) << bound << ", " << requests;
                EXPECT_LE(stages.moveAt, stagesFor(bound).moveAt);
                EXPECT_GE(stages.moveAt, 0.5) << "sessions stay for the first half";
                EXPECT_LT(stages.moveAt, stages.completeAt);
                EXPECT_LT(stages.completeAt, 1);
            }
            EXPECT_EQ(stagesFor(bound, 30, 0).moveAt, stagesFor(bound).moveAt) << "the rate isn't known";
        }
        EXPECT_LT(stagesFor(0.15, 30, 800).moveAt, 0.91);
    }

    // A site of 82 instances whose bound leaves a move of 1.05 s in 24: operators saw the completion of a good version too late.
    TEST_F(VersionShiftTest, CompletesAShortMoveASecondBeforeThePeriodEnds)
    {
        ShiftSettings settings;
        settings.exposureShare = 0.0975;
        VersionShifts shifts(settings);
        shifts.takeOrder({ service, "v2", 24s, 10 }, m_clock.now());
        const auto state = [&] { return shifts.due(service, m_clock.now())->state; };
        m_clock.advance(22'970ms);
        EXPECT_EQ(state(), ShiftState::running) << "the move has only begun";
        m_clock.advance(50ms);
        EXPECT_EQ(state(), ShiftState::completed);
    }

    TEST_F(VersionShiftTest, KeepsASessionOnItsVersionDuringTheTrial)
    {
        m_shifts.noteSession(service, drawnFirst, "v1", m_clock.now());
        m_shifts.noteSession(service, drawnLast, "v2", m_clock.now());
        for (int i = 0; i < 9; ++i) {
            EXPECT_EQ(preferredBySession(m_shifts, drawnFirst), "v1");
            EXPECT_EQ(preferredBySession(m_shifts, drawnLast), "v2");
            m_shifts.noteSession(service, drawnFirst, "v1", m_clock.now());
            m_shifts.noteSession(service, drawnLast, "v2", m_clock.now());
            m_clock.advance(2s);
        }
        m_clock.advance(800ms);
        EXPECT_EQ(preferredBySession(m_shifts, drawnFirst), "v2") << "everything moves";
        EXPECT_EQ(preferredBySession(m_shifts, drawnLast), "v2") << "and nobody goes back";
    }

    TEST_F(VersionShiftTest, TellsOtherInstancesWhichSessionsMustStay)
    {
        VersionShifts before;
        before.noteSession(service, drawnFirst, "v1", m_clock.now());
        before.noteSession(service, drawnLast, "v1", m_clock.now());
        order(before);
        EXPECT_EQ(before.takePins(service), std::vector<std::uint64_t> { drawnFirst }) << "the other isn't drawn in the trial";
        EXPECT_TRUE(before.takePins(service).empty());
        m_clock.advance(2s);
        EXPECT_EQ(preferredBySession(m_shifts, drawnFirst), "v2");
        m_shifts.takePinned(service, { drawnFirst }, m_clock.now());
        EXPECT_EQ(preferredBySession(m_shifts, drawnFirst), "v1");
        before.noteSession(service, drawnFirst, "v1", m_clock.now());
        EXPECT_EQ(before.takePins(service).size(), 1U) << "it goes on, and is told again";
        m_clock.advance(6s);
        EXPECT_EQ(preferredBySession(m_shifts, drawnFirst), "v2") << "the session has ended";
    }

    TEST_F(VersionShiftTest, RollsAVersionBackThatFails)
    {
        answer(30, 3, failure());
        EXPECT_EQ(state(), ShiftState::rolledBack);
        EXPECT_EQ(preferred(), "v1");
        EXPECT_EQ(preferredBySession(m_shifts, drawnFirst), "v1");
    }

    TEST_F(VersionShiftTest, FindsAVersionThatTurnsBadLate)
    {
        answer(300, 0, failure());
        EXPECT_EQ(state(), ShiftState::running);
        answer(20, 3, failure());
        EXPECT_EQ(state(), ShiftState::rolledBack);
    }

    TEST_F(VersionShiftTest, RollsAVersionBackThatIsSlow)
    {
        answer(20, 0, slow());
        answer(60, 2, slow());
        EXPECT_EQ(state(), ShiftState::rolledBack);
    }

    TEST_F(VersionShiftTest, TakesFailuresOfAllVersionsForTheEnvironments)
    {
        for (int i = 1; i <= 400; ++i) {
            m_shifts.recordOutcome(service, "v1", i % 4 == 0 ? failure() : good(), m_clock.now());
            m_shifts.recordOutcome(service, "v2", i % 4 == 0 ? failure() : good(), m_clock.now());
            m_clock.advance(20ms);
        }
        EXPECT_EQ(state(), ShiftState::running);
    }

    TEST_F(VersionShiftTest, TakesSlownessWithoutComparisonForTheLoads)
    {
        answer(20, 0, slow());
        m_clock.advance(60s);
        for (int i = 0; i < 50; ++i)
            m_shifts.recordOutcome(service, "v2", slow(), m_clock.now());
        EXPECT_NE(state(), ShiftState::rolledBack);
    }

    TEST_F(VersionShiftTest, BearsAClusterOfSlowAnswers)
    {
        answer(40, 0, slow());
        answer(5, 1, slow());
        answer(40, 0, slow());
        EXPECT_EQ(state(), ShiftState::running);
    }

    TEST_F(VersionShiftTest, CountsTheCrashOfAnEndpointOnce)
    {
        answer(20, 0, failure());
        VersionOutcome lost = failure();
        lost.connectionLost = true;
        answer(10, 1, lost);
        EXPECT_EQ(state(), ShiftState::running);
        for (int i = 0; i < 6; ++i) {
            lost.endpoint.value = "other" + std::to_string(i);
            m_shifts.recordOutcome(service, "v2", lost, m_clock.now());
        }
        EXPECT_EQ(state(), ShiftState::rolledBack) << "many endpoints of a version don't crash by chance";
    }

    TEST_F(VersionShiftTest, TakesARecordThatComesBeforeItsOrder)
    {
        VersionShifts late;
        late.takeRecord(service, { 10, ShiftState::running, 12s, "" }, m_clock.now());
        order(late);
        EXPECT_FALSE(late.due(service, m_clock.now())) << "the stage that others reached stands";
        late.takeRecord(service, { 12, ShiftState::rolledBack, 12s, "" }, m_clock.now());
        order(late, 12);
        EXPECT_EQ(preferredBySession(late, drawnFirst), "v1");
    }

    TEST_F(VersionShiftTest, AddsUpWhatInstancesCount)
    {
        // No instance sees enough by itself.
        for (int i = 0; i < 6; ++i)
            m_shifts.takeEvidence(service, { "i" + std::to_string(i) }, { 10, { 1, 1 }, { 1, 0 }, { 20, 0 } }, m_clock.now());
        EXPECT_EQ(state(), ShiftState::rolledBack);
    }

    TEST_F(VersionShiftTest, TakesAWaveOfCrashesThatAllInstancesSeeForTheEnvironments)
    {
        for (int i = 0; i < 6; ++i)
            m_shifts.takeEvidence(service, { "i" + std::to_string(i) }, { 10, { 10, 0 }, { 10, 0 }, { 100, 0 } }, m_clock.now());
        m_clock.advance(3s);
        // A third of all engines crash; each instance sees one of the target's, and some of the others'.
        for (int i = 0; i < 6; ++i)
            m_shifts.takeEvidence(service, { "i" + std::to_string(i) }, { 10, { 12, 1 }, { 12, 0 }, { 120, 15 } }, m_clock.now());
        EXPECT_EQ(state(), ShiftState::running);
    }

    // A quarter of all engines crash at once. Three instances lose an answer of the target each, and all lose more of the version in
    // use, which they tell within three seconds: told before that, the three of 38 rolled a sound target back.
    TEST_F(VersionShiftTest, TellsOfLossesInAWaveOfCrashesNoSoonerThanAllKnowTheWave)
    {
        answer(10, 0, failure());
        VersionOutcome lost = failure();
        lost.connectionLost = true;
        lost.endpointEnded = true;
        m_shifts.recordOutcome(service, "v2", lost, m_clock.now());
        answer(10, 0, failure());
        EXPECT_EQ(m_shifts.evidence(service)->failures.bad, 0U);
        m_clock.advance(3s);
        for (int i = 0; i < 6; ++i)
            m_shifts.takeEvidence(service, { "i" + std::to_string(i) }, { 10, { 12, 0 }, { 12, 0 }, { 120, 15 } }, m_clock.now());
        m_clock.advance(500ms);
        answer(1, 0, failure());
        EXPECT_EQ(m_shifts.evidence(service)->failures.bad, 1U);
        for (int i = 0; i < 2; ++i)
            m_shifts.takeEvidence(service, { "i" + std::to_string(i) }, { 10, { 12, 1 }, { 12, 0 }, { 120, 15 } }, m_clock.now());
        answer(5, 0, failure());
        EXPECT_EQ(state(), ShiftState::running);
    }

    TEST_F(VersionShiftTest, RollsATargetBackWhoseEndpointsAloneEnd)
    {
        answer(20, 0, failure());
        for (int i = 0; i < 8; ++i) {
            VersionOutcome lost = failure();
            lost.endpoint.value = "new" + std::to_string(i);
            lost.connectionLost = true;
            lost.endpointEnded = true;
            m_shifts.recordOutcome(service, "v2", lost, m_clock.now());
        }
        m_clock.advance(4s);
        answer(2, 0, failure());
        EXPECT_EQ(state(), ShiftState::rolledBack);
    }

    // Six failures of a kind of which a seventh fails anyway are nothing new; of a kind that never fails they are.
    TEST_F(VersionShiftTest, ComparesEachKindOfRequestWithItself)
    {
        const auto stateAfter = [this](std::size_t failingKind) {
            VersionShifts shifts;
            order(shifts);
            ShiftEvidence evidence { .order = 10 };
            evidence.kinds[0].others = { 300, 0 };
            evidence.kinds[1].others = { 60, 10 };
            evidence.otherFailures = { 360, 10 };
            for (std::size_t place = 0; place < 3; ++place)
                evidence.kinds[failingKind].target[place] = { 8, 2 };
            evidence.failures = { 24, 6 };
            shifts.takeEvidence(service, { "i" }, evidence, m_clock.now());
            evidence.kinds[0].others.good += 1;
            shifts.takeEvidence(service, { "i" }, evidence, m_clock.now() + 2s);
            return shifts.due(service, m_clock.now())->state;
        };
        EXPECT_EQ(stateAfter(0), ShiftState::rolledBack);
        EXPECT_EQ(stateAfter(1), ShiftState::running);
    }

    // Guards against an instance that compares no slow answers, since it has just started and hasn't seen what is usual.
    TEST_F(VersionShiftTest, ComparesWithWhatOtherInstancesSayIsUsual)
    {
        answer(20, 0, failure());
        VersionShifts restarted;
        order(restarted);
        m_clock.advance(3s);
        restarted.takeEvidence(service, { "i" }, *m_shifts.evidence(service), m_clock.now());
        restarted.recordOutcome(service, "v2", slow(), m_clock.now());
        EXPECT_EQ(restarted.evidence(service)->slowness, (RatedCounts { 0, 1 }));
    }

    // Guards against counts that no datagram holds, where a service has many endpoints and kinds of request.
    TEST_F(VersionShiftTest, TellsABoundedNumberOfCounts)
    {
        for (int i = 0; i < 20'000; ++i) {
            VersionOutcome outcome = good();
            outcome.endpoint.value = "e" + std::to_string(i % 1'700);
            outcome.measure = "r" + std::to_string(i % 29);
            outcome.connectionLost = outcome.endpointEnded = outcome.failed = i % 3 == 0;
            m_shifts.recordOutcome(service, i % 2 == 0 ? "v1" : "v2", outcome, m_clock.now());
        }
        const ShiftEvidence evidence = *m_shifts.evidence(service);
        EXPECT_LE(evidence.kinds.size(), maximumKinds);
        std::size_t pairs = 0;
        for (const auto& [place, kind] : evidence.kinds)
            pairs += kind.target.size();
        EXPECT_LE(pairs, maximumPairs + maximumKinds);
        EXPECT_LE(evidence.ends.target.size(), maximumEndpoints);
        EXPECT_LE(evidence.ends.others.size(), maximumEndpoints);
        EXPECT_LE(writeShiftEvidence(evidence).size(), 4'000U);
    }

    // Guards against a verdict that waits until a restarted instance has counted more than its earlier process.
    TEST_F(VersionShiftTest, CountsWhatARestartedInstanceTells)
    {
        ShiftEvidence evidence { .order = 10, .failures = { 50, 0 }, .life = 1 };
        m_shifts.takeEvidence(service, { "i" }, evidence, m_clock.now());
        evidence = { .order = 10, .failures = { 2, 2 }, .otherFailures = { 40, 0 }, .life = 2 };
        m_shifts.takeEvidence(service, { "i" }, evidence, m_clock.now());
        evidence.failures = { 3, 6 };
        m_shifts.takeEvidence(service, { "i" }, evidence, m_clock.now());
        evidence.failures = { 2, 2 };
        m_clock.advance(2s);
        m_shifts.takeEvidence(service, { "i" }, evidence, m_clock.now()); // A notice that was overtaken.
        EXPECT_EQ(state(), ShiftState::rolledBack);
    }

    TEST_F(VersionShiftTest, GoesOnFromWhereTheOtherInstancesAre)
    {
        m_shifts.takeEvidence(service, { "i" }, { .order = 10, .elapsed = 19'500ms }, m_clock.now());
        EXPECT_EQ(shareOfTarget(), 1);
        EXPECT_EQ(state(), ShiftState::completed);
    }

    // Guards against a version that is completed although bad answers come before the record of it stands.
    TEST_F(VersionShiftTest, JudgesUntilTheCompletionIsStored)
    {
        answer(300, 0, failure());
        m_clock.advance(13'500ms);
        ASSERT_EQ(state(), ShiftState::completed);
        answer(20, 2, failure());
        EXPECT_EQ(state(), ShiftState::rolledBack);
        m_shifts.takeRecord(service, { 10, ShiftState::completed, 19'500ms, "" }, m_clock.now());
        EXPECT_FALSE(m_shifts.due(service, m_clock.now())) << "another instance was first, and the old endpoints have ended";
    }

    TEST_F(VersionShiftTest, IgnoresEvidenceOfAnotherOrder)
    {
        for (int i = 0; i < 6; ++i)
            m_shifts.takeEvidence(service, { "i" + std::to_string(i) }, { 9, { 1, 5 }, { 1, 0 }, {} }, m_clock.now());
        EXPECT_EQ(state(), ShiftState::running);
    }

    TEST_F(VersionShiftTest, GoesOnFromTheStoreAfterARestart)
    {
        m_clock.advance(12s);
        const ShiftRecord record = *m_shifts.due(service, m_clock.now());
        VersionShifts restarted;
        order(restarted);
        restarted.takeRecord(service, record, m_clock.now());
        m_clock.advance(7500ms);
        ASSERT_TRUE(restarted.due(service, m_clock.now()));
        EXPECT_EQ(restarted.due(service, m_clock.now())->state, ShiftState::completed);
    }

    TEST_F(VersionShiftTest, NeverTakesAVerdictBack)
    {
        m_shifts.takeRecord(service, { 10, ShiftState::rolledBack, 5s, "bad" }, m_clock.now());
        m_clock.advance(30s);
        EXPECT_FALSE(m_shifts.due(service, m_clock.now()));
        EXPECT_EQ(preferred(), "v1");
        m_shifts.takeRecord(service, { 9, ShiftState::completed, 20s, "" }, m_clock.now());
        EXPECT_EQ(preferred(), "v1") << "an older order's record changes nothing";
        order(m_shifts, 11);
        EXPECT_EQ(state(), ShiftState::running) << "a new order begins anew";
    }

    TEST_F(VersionShiftTest, ServesByTheOtherVersionWhereOneHasNoEndpoint)
    {
        const auto only = [this](const std::string& version) { return m_shifts.prefer(service, false, m_random(), { version }, m_clock.now()).versions; };
        EXPECT_EQ(only("v1"), std::vector<std::string> { "v1" });
        EXPECT_EQ(only("v2"), std::vector<std::string> { "v2" });
        m_shifts.takeRecord(service, { 10, ShiftState::rolledBack, 5s, "bad" }, m_clock.now());
        EXPECT_TRUE(only("v2").empty()) << "a version that was rolled back gets nothing";
    }

    TEST(ShiftRecordsTest, ReadWhatTheyWrite)
    {
        const ShiftRecord record { 7, ShiftState::rolledBack, 1500ms, "3 of 9 were bad" };
        EXPECT_EQ(readShiftRecord(writeShiftRecord(record)), record);
        const ShiftEvidence evidence { 7, { 3, 4 }, { 5, 6 }, { 7, 8 } };
        EXPECT_EQ(readShiftEvidence(writeShiftEvidence(evidence)), evidence);
        ShiftRecord planned = record;
        planned.moveAt = 21s;
        EXPECT_EQ(readShiftRecord(writeShiftRecord(planned)), planned);
        ShiftEvidence byKind = evidence;
        byKind.life = 9;
        byKind.elapsed = 3s;
        byKind.kinds[3] = { { RatedCounts { 1, 2 } }, { 3, 4 }, { RatedCounts { 5, 6 } }, { 7, 8 }, { 9, -10 }, { 11, 12 } };
        byKind.kinds[255].target[255] = { 1, 0 };
        byKind.ends.target[7].bad = 2;
        byKind.ends.others[8].bad = 3;
        EXPECT_EQ(readShiftEvidence(writeShiftEvidence(byKind)), byKind);
        const std::string counts = R"({"order": 1, "failures": [1, 0], "slowness": [1, 0], "otherFailures": [1, 0], )";
        EXPECT_TRUE(readShiftEvidence(counts + R"("byEndpoint": [[9, 0, 1, 1, 0, 0]]})"));
        EXPECT_FALSE(readShiftEvidence(counts + R"("byEndpoint": [[256, 0, 1, 1, 0, 0]]})")) << "no such kind";
        EXPECT_FALSE(readShiftEvidence(counts + R"("byEndpoint": [[0, 256, 1, 1, 0, 0]]})")) << "no such endpoint";
        EXPECT_FALSE(readShiftEvidence(counts + R"("byEndpoint": [[9, 0, 1, 1]]})"));
        EXPECT_FALSE(readShiftEvidence(counts + R"("byKind": [[256, 1, 1, 0, 0, 0, 0, 0, 0]]})"));
        for (const char* text : { "", "[]", "{}", R"({"order": 1, "state": "other", "elapsedMs": 1})", R"({"order": "1"})" }) {
            EXPECT_FALSE(readShiftRecord(text)) << text;
            EXPECT_FALSE(readShiftEvidence(text)) << text;
        }
    }

}
}
