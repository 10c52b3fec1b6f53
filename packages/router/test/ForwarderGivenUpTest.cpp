// What a request without an answer yet, or that its caller has given up, says of a new version.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    class ForwarderGivenUpTest : public ::testing::Test {
    protected:
        ForwarderGivenUpTest()
        {
            const ServiceName service { "svc" };
            m_bench.shifts.takeOrder({ service, "v1", 20s, orderRevision }, m_bench.clock.now());
            // Others have told what is usual of the versions in use.
            policy::ShiftEvidence told;
            told.order = orderRevision;
            policy::KindCounts& kind = told.kinds[policy::kindPlace("r/")];
            kind.others = { 100, 0 };
            for (int i = 0; i < 100; ++i)
                policy::UsualValues::add(kind.times, usualTime / 15ms);
            told.otherFailures = { 100, 0 };
            m_bench.shifts.takeEvidence(service, { "other" }, told, m_bench.clock.now());
        }

        // Sends a request whose caller leaves after a while, without an answer until then.
        void giveUpAfter(std::chrono::milliseconds time)
        {
            FakeResponder caller;
            m_bench.answer(200, { "late" }).onRead = [&, time] {
                m_bench.clock.advance(time);
                caller.leave();
            };
            m_bench.send(caller);
        }

        policy::ShiftEvidence evidence() const { return m_bench.shifts.evidence({ "svc" }).value_or(policy::ShiftEvidence()); }

        static constexpr Revision orderRevision = 10;
        static constexpr std::chrono::duration<double, std::milli> usualTime { 60 };

        ForwarderBench m_bench;
    };

    // Guards against a slow version that shows its sound answers only, as callers give up before the slow ones.
    TEST_F(ForwarderGivenUpTest, CountsAsSlowWhereTheCallerHasWaitedForLong)
    {
        giveUpAfter(400ms);
        EXPECT_EQ(evidence().slowness.bad, 1U);
        EXPECT_EQ(evidence().failures.total(), 0U);
    }

    // Guards against a sound version that is blamed for impatient callers.
    TEST_F(ForwarderGivenUpTest, CountsForNothingWhereTheCallerLeavesSoon)
    {
        giveUpAfter(80ms);
        EXPECT_EQ(evidence().slowness.total(), 0U);
        EXPECT_EQ(evidence().failures.total(), 0U);
    }

    // Guards against a slow version that is completed as its slow answers are still on their way, and only the fast ones of the last
    // moment are counted.
    TEST_F(ForwarderGivenUpTest, CountsAsSlowWhileItWaitsAndNotOnceMore)
    {
        std::vector<std::uint64_t> slow;
        m_bench.answer(200, { "late" }).onRead = [&] {
            for (int i = 0; i < 8 && slow.size() < 8; ++i) {
                m_bench.clock.advance(50ms);
                m_bench.forwarder.tick();
                slow.push_back(evidence().slowness.bad);
            }
        };
        m_bench.send();
        EXPECT_EQ(slow, (std::vector<std::uint64_t> { 0, 0, 1, 1, 1, 1, 1, 1 })) << "at 2.5 times the usual 60 ms";
        EXPECT_EQ(evidence().slowness.bad, 1U);
        EXPECT_EQ(evidence().slowness.good, 0U);
        EXPECT_EQ(evidence().failures.good, 1U);
    }

}
}
