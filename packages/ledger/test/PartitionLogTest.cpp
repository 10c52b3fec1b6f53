// Single steps of the partition's protocol that the seeds don't reach or don't show.
#include "whinyard/ledger/PartitionLog.h"
#include "whinyard/backing/FakeStore.h"
#include "whinyard/base/FakeClock.h"
#include "whinyard/ledger/FakeLiveWriters.h"

#include <gtest/gtest.h>

namespace whinyard::ledger {
namespace {

    class PartitionLogTest : public testing::Test {
    protected:
        PartitionLogTest()
        {
            m_options.sealBytes = 1'500;
            m_options.bundleBytes = 6'000;
            live.alive = { writerOf("a"), writerOf("b") };
        }

        static Writer writerOf(const std::string& name) { return { InstanceName { name }, Incarnation { 1 } }; }

        static CallIdentity call(const std::string& key, const std::string& body = "body")
        {
            return { CustomerName { "customer" }, ServiceName { "service" }, key, body };
        }

        PartitionLog makeLog(const std::string& name) { return PartitionLog(0, writerOf(name), m_options, clock, live); }

        // Carries out calls for a virtual second.
        void drive(PartitionLog& log)
        {
            for (int step = 0; step < 100; ++step) {
                while (const auto next = log.nextStoreCall())
                    log.onReply(*next, execute(store, *next));
                clock.advance(std::chrono::milliseconds(10));
            }
        }

        AdmissionResult admit(PartitionLog& log, const CallIdentity& identity)
        {
            const LogTicket ticket = log.admit(identity, { 1, ++m_requests });
            drive(log);
            auto result = log.takeAdmission(ticket);
            EXPECT_TRUE(result) << "the admission of " << identity.key << " isn't decided";
            return result.value_or(AdmissionResult {});
        }

        Admission admissionOf(PartitionLog& log, const CallIdentity& identity)
        {
            const AdmissionResult result = admit(log, identity);
            EXPECT_TRUE(result.answer) << result.failure.reason;
            return result.answer ? result.answer->admission : Admission::unknown;
        }

        void finish(PartitionLog& log, const IntentTicket& intent, const std::string& body)
        {
            UsageLine line;
            line.identity = "line-" + std::to_string(intent.sequence);
            const LogTicket ticket = log.finish(intent, { 200, "text/plain", body }, line);
            drive(log);
            const auto result = log.takeOutcome(ticket);
            ASSERT_TRUE(result);
            EXPECT_FALSE(result->failure) << result->failure->reason;
        }

        // Runs calls with the given keys to their end.
        void runCalls(PartitionLog& log, const std::string& prefix, int count)
        {
            for (int i = 0; i < count; ++i)
                finish(log, admit(log, call(prefix + std::to_string(i))).answer->ticket, "answer " + prefix + std::to_string(i));
        }

        FakeClock clock;
        FakeLiveWriters live;
        backing::FakeStore store { clock };
        PartitionLogOptions m_options;
        std::uint64_t m_requests = 0;
    };

    TEST_F(PartitionLogTest, AnswersFromSealedSegmentsOnAnotherInstance)
    {
        PartitionLog first = makeLog("a");
        runCalls(first, "key-", 12);
        ASSERT_GT(first.state().head().segments.size(), 1U);
        ASSERT_TRUE(first.state().head().segments.front().isBundle()) << "some segments are bundled";
        ASSERT_FALSE(store.memory().read(segmentKey(0, 0))) << "a bundled segment has no record of its own";
        PartitionLog second = makeLog("b");
        for (int i = 0; i < 12; ++i) {
            const AdmissionResult result = admit(second, call("key-" + std::to_string(i)));
            ASSERT_TRUE(result.answer) << result.failure.reason;
            EXPECT_EQ(result.answer->answer.body, "answer key-" + std::to_string(i));
        }
        const AdmissionResult reused = admit(second, call("key-0", "another body"));
        EXPECT_EQ(reused.failure.kind, ErrorKind::keyReused);
    }

    TEST_F(PartitionLogTest, KeepsLargeAnswersWholeAndPrunesThemWithTheirBillLines)
    {
        m_options.inlineAnswerBytes = 1'000;
        m_options.answerPartBytes = 800;
        PartitionLog log = makeLog("a");
        const std::string large = std::string(2'000, 'x') + "end";
        finish(log, admit(log, call("large")).answer->ticket, large);
        PartitionLog second = makeLog("b");
        EXPECT_EQ(admit(second, call("large")).answer->answer.body, large);
        EXPECT_EQ(store.memory().list("intents/0/answer/", "", 10).size(), 3U);

        runCalls(log, "filler-", 6);
        clock.advance(m_options.retention);
        runCalls(log, "later-", 6);
        EXPECT_TRUE(store.memory().list("intents/0/answer/", "", 10).empty());
        EXPECT_FALSE(store.memory().read(segmentKey(0, 0)));
        EXPECT_FALSE(store.memory().read(bundleKey(0, 0)));
        const auto usage = store.memory().read(sealedUsageKey(0, 0));
        ASSERT_TRUE(usage);
        EXPECT_NE(usage->value.find("line-1\""), std::string::npos);
        EXPECT_EQ(admissionOf(second, call("later-0")), Admission::finished);
        EXPECT_EQ(admissionOf(second, call("large")), Admission::granted);
    }

    TEST_F(PartitionLogTest, TellsRunningFromUnknownAndPrefersTheRecord)
    {
        PartitionLog first = makeLog("a");
        PartitionLog second = makeLog("b");
        const auto intent = admit(first, call("key")).answer->ticket;
        EXPECT_EQ(admissionOf(second, call("key")), Admission::running);
        live.alive.erase(writerOf("a"));
        EXPECT_EQ(admissionOf(second, call("key")), Admission::unknown);
        finish(first, intent, "after all");
        EXPECT_EQ(admissionOf(second, call("key")), Admission::finished);
    }

    TEST_F(PartitionLogTest, FreesTheKeyOfAnIntentThatLandedAfterItsCallerWasRefused)
    {
        PartitionLog first = makeLog("a");
        store.delayNextWrite();
        const LogTicket ticket = first.admit(call("key"), { 1, 1 });
        first.onReply(*first.nextStoreCall(), { .record = std::nullopt, .revision = 0, .failure = Failure { .kind = ErrorKind::notFound, .reason = "" } });
        const auto swap = first.nextStoreCall();
        ASSERT_TRUE(swap);
        first.onReply(*swap, execute(store, *swap));
        clock.advance(m_options.admissionBound);
        first.expire();
        const auto refused = first.takeAdmission(ticket);
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->failure.kind, ErrorKind::storeUnavailable);
        EXPECT_EQ(refused->failure.runState, RunState::notRun);
        EXPECT_EQ(store.releaseDelayed(), 1U);
        drive(first);
        EXPECT_EQ(first.stats().abandoned, 1U);
        PartitionLog second = makeLog("b");
        EXPECT_EQ(admissionOf(second, call("key")), Admission::granted);
    }

    TEST_F(PartitionLogTest, RefusesWhileARecordIsCorruptAndServesAgainOnceItIsMended)
    {
        PartitionLog log = makeLog("a");
        runCalls(log, "key-", 8);
        const std::string key = segmentKey(0, 1);
        const std::string good = store.memory().read(key)->value;
        store.corrupt(key);
        PartitionLog second = makeLog("b");
        const AdmissionResult refused = admit(second, call("new"));
        EXPECT_EQ(refused.failure.kind, ErrorKind::corruptRecord);
        EXPECT_EQ(refused.failure.runState, RunState::notRun);
        EXPECT_EQ(refused.failure.reason.rfind(key + ":", 0), 0U) << refused.failure.reason;
        store.corrupt(key, good);
        clock.advance(m_options.probeInterval);
        EXPECT_EQ(admissionOf(second, call("new")), Admission::granted);
    }

    TEST_F(PartitionLogTest, LeavesForeignRecordsOfMaintenanceAloneAndServesOn)
    {
        for (const std::string& key : { bundleKey(0, 0), sealedUsageKey(0, 0) }) {
            store.memory().put(key, "not ours");
            PartitionLog log = makeLog("a");
            runCalls(log, key + "-", 14);
            clock.advance(m_options.retention);
            runCalls(log, key + "-later-", 4);
            ASSERT_TRUE(log.foreignRecord()) << key;
            EXPECT_TRUE(log.foreignRecord()->starts_with(key + ":")) << *log.foreignRecord();
            EXPECT_EQ(store.memory().read(key)->value, "not ours");
            store.memory().erase(key, store.memory().revisionOf(key));
        }
    }

    TEST_F(PartitionLogTest, RefusesAHeadThatLostEntries)
    {
        PartitionLog log = makeLog("a");
        const std::string before = (runCalls(log, "one-", 1), store.memory().read(headKey(0))->value);
        runCalls(log, "two-", 1);
        store.memory().put(headKey(0), before);
        const AdmissionResult refused = admit(log, call("three"));
        EXPECT_EQ(refused.failure.kind, ErrorKind::corruptRecord);
        EXPECT_EQ(store.memory().read(headKey(0))->value, before);
    }

    TEST_F(PartitionLogTest, ClaimsNotRunOnlyOfKeysThatItDoesNotKnow)
    {
        m_options.admissionBound = std::chrono::milliseconds(500);
        PartitionLog first = makeLog("a");
        ASSERT_EQ(admissionOf(first, call("known")), Admission::granted);
        PartitionLog second = makeLog("b");
        ASSERT_EQ(admissionOf(second, call("known")), Admission::running);
        store.setDown(true);
        EXPECT_EQ(admit(second, call("new")).failure.runState, RunState::notRun);
        const AdmissionResult refused = admit(second, call("known"));
        EXPECT_EQ(refused.failure.kind, ErrorKind::storeUnavailable);
        EXPECT_EQ(refused.failure.runState, RunState::unknown);
    }

    TEST_F(PartitionLogTest, WritesAtMostOnceAnIntervalHoweverManyCallsCome)
    {
        PartitionLog log = makeLog("a");
        for (int i = 0; i < 1'000; ++i) {
            log.admit(call("key-" + std::to_string(i)), { 1, static_cast<std::uint64_t>(i) });
            while (const auto next = log.nextStoreCall())
                log.onReply(*next, execute(store, *next));
            clock.advance(std::chrono::milliseconds(2));
        }
        const std::size_t heads = 2'000 / m_options.interval.count() + m_options.burst;
        EXPECT_LE(log.stats().swaps, 2 * heads) << "a seal and a swap of the head for each interval";
    }

}
}
