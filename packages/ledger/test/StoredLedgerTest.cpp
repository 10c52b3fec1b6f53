// The drivers on a real duty: they pass on what the state machines decide, and end when they are told to.
#include "whinyard/backing/FakeStore.h"
#include "whinyard/ledger/FakeLiveWriters.h"
#include "whinyard/ledger/IntentRecord.h"
#include "whinyard/ledger/StoredIntentLedger.h"
#include "whinyard/ledger/StoredUsageLedger.h"
#include "whinyard/ledger/UsageReader.h"

#include <gtest/gtest.h>

namespace whinyard::ledger {
namespace {

    // Holds lines for one origin, or refuses.
    class FakeMirrorChannel final : public MirrorChannel {
    public:
        std::vector<MirrorPeer> reachable;
        bool refuses = false;
        std::size_t sent = 0;

        std::vector<MirrorPeer> peers() const override { return reachable; }

        bool hold(const MirrorPeer&, const std::vector<NumberedLine>& lines, std::chrono::milliseconds, Failure&) override
        {
            sent += lines.size();
            return !refuses;
        }

        bool release(const MirrorPeer&, std::uint64_t, std::chrono::milliseconds, Failure&) override { return true; }
    };

    class StoredLedgerTest : public testing::Test {
    protected:
        static Writer writerOf(const std::string& name) { return { InstanceName { name }, Incarnation { 1 } }; }

        static UsageLine lineOf(std::uint64_t request)
        {
            UsageLine line;
            line.request = { 1, request };
            line.identity = toText(line.request);
            line.customer.value = "customer";
            line.billedUnits = 5;
            return line;
        }

        SystemClock clock;
        FakeLiveWriters live;
        backing::FakeStore store { clock };
        net::Duty duty { "store" };
    };

    TEST_F(StoredLedgerTest, RetryInTheSameProcessWaitsForTheOutcome)
    {
        net::runOn(duty, [&] {
            StoredIntentLedgerOptions options;
            options.runningWait = std::chrono::minutes(1);
            StoredIntentLedger ledger(duty, store, writerOf("a"), options, clock, live);
            const CallIdentity call { CustomerName { "customer" }, ServiceName { "service" }, "key", "body" };
            Failure failure;
            const auto first = ledger.admit(call, { 1, 1 }, failure);
            ASSERT_TRUE(first) << failure.reason;
            ASSERT_EQ(first->admission, Admission::granted);
            net::Signal retried;
            std::optional<AdmissionAnswer> second;
            duty.spawn([&] {
                Failure retryFailure;
                second = ledger.admit(call, { 1, 2 }, retryFailure);
                retried.notify();
            });
            EXPECT_TRUE(ledger.finish(first->ticket, { 200, "text/plain", "done" }, lineOf(1), failure)) << failure.reason;
            if (!second)
                retried.wait(std::chrono::minutes(1));
            ASSERT_TRUE(second);
            EXPECT_EQ(second->admission, Admission::finished);
            EXPECT_EQ(second->answer.body, "done");
            EXPECT_EQ(second->firstRequest, (RequestId { 1, 1 }));
            EXPECT_TRUE(ledger.drain(std::chrono::minutes(1)));
        });
    }

    TEST_F(StoredLedgerTest, RefusesAsNotRunWhileTheStoreIsDown)
    {
        net::runOn(duty, [&] {
            StoredIntentLedgerOptions options;
            options.log.admissionBound = std::chrono::milliseconds(20);
            StoredIntentLedger ledger(duty, store, writerOf("a"), options, clock, live);
            store.setDown(true);
            Failure failure;
            EXPECT_FALSE(ledger.admit({ CustomerName { "customer" }, ServiceName { "service" }, "key", "body" }, { 1, 1 }, failure));
            EXPECT_EQ(failure.kind, ErrorKind::storeUnavailable);
            EXPECT_EQ(failure.runState, RunState::notRun);
            EXPECT_GT(failure.retryAfter.count(), 0);
        });
    }

    TEST_F(StoredLedgerTest, MirrorsALineOrWritesItAtOnce)
    {
        net::runOn(duty, [&] {
            FakeMirrorChannel channel;
            channel.reachable = { { writerOf("b"), ZoneName { "zone-b" } }, { writerOf("c"), ZoneName { "zone-c" } } };
            live.alive = { writerOf("b"), writerOf("c") };
            StoredUsageLedgerOptions options;
            options.segments.flushInterval = std::chrono::minutes(1);
            StoredUsageLedger ledger(duty, store, channel, writerOf("a"), options, clock, live);
            Failure failure;
            EXPECT_EQ(ledger.record(lineOf(1), failure), "mirrored to b, c");
            EXPECT_EQ(store.calls().swaps, 0U);
            channel.refuses = true;
            EXPECT_EQ(ledger.record(lineOf(2), failure), "segment usage/a/1/1");
            EXPECT_TRUE(ledger.drain(std::chrono::minutes(1)));
            UsageReader reader(store, 1);
            const auto totals = reader.totals({}, failure);
            ASSERT_TRUE(totals);
            EXPECT_EQ(totals->sums.begin()->second.requests, 2U);
        });
    }

    TEST_F(StoredLedgerTest, SendsALineThatWaitedForTheInterval)
    {
        net::runOn(duty, [&] {
            FakeMirrorChannel channel;
            channel.reachable = { { writerOf("b"), ZoneName { "zone-b" } }, { writerOf("c"), ZoneName { "zone-c" } } };
            live.alive = { writerOf("b"), writerOf("c") };
            StoredUsageLedgerOptions options;
            options.segments.flushInterval = std::chrono::minutes(1);
            options.tick = std::chrono::minutes(1); // So that only the waiting request itself can send its line.
            options.mirror.mirrorBound = std::chrono::minutes(1);
            options.mirror.messageBurst = 1;
            options.mirror.messageInterval = std::chrono::milliseconds(5);
            StoredUsageLedger ledger(duty, store, channel, writerOf("a"), options, clock, live);
            Failure failure;
            for (std::uint64_t request = 1; request <= 3; ++request)
                EXPECT_EQ(ledger.record(lineOf(request), failure), "mirrored to b, c") << failure.reason;
            EXPECT_EQ(channel.sent, 6U);
        });
    }

    TEST_F(StoredLedgerTest, ReaderListsWhatItDoesNotTrustAndFiltersByCustomer)
    {
        net::runOn(duty, [&] {
            FakeMirrorChannel channel;
            StoredUsageLedger ledger(duty, store, channel, writerOf("a"), {}, clock, live);
            Failure failure;
            ASSERT_TRUE(ledger.record(lineOf(1), failure)) << failure.reason;
            UsageLine other = lineOf(2);
            other.customer.value = "other";
            ASSERT_TRUE(ledger.record(other, failure)) << failure.reason;
            store.memory().put("usage/a/1/9", "what is this");
            store.memory().put(headKey(0), "and this");
            UsageReader reader(store, 1);
            const auto totals = reader.totals({ .customer = CustomerName { "other" }, .from = std::nullopt, .until = std::nullopt }, failure);
            ASSERT_TRUE(totals);
            ASSERT_EQ(totals->sums.size(), 1U);
            EXPECT_EQ(totals->sums.begin()->first.customer.value, "other");
            ASSERT_EQ(totals->corrupt.size(), 2U);
            EXPECT_TRUE(totals->corrupt[0].starts_with("intents/0: ")) << totals->corrupt[0];
            EXPECT_TRUE(totals->corrupt[1].starts_with("usage/a/1/9: ")) << totals->corrupt[1];
            store.setDown(true);
            EXPECT_FALSE(reader.totals({}, failure)) << "a total without every answer";
        });
    }

}
}
