// Repeats on the path of a request: when they count, and who gets the last of them.
#include "whinyard/router/FakePlaceBroker.h"
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;
    using config::RequestKind;

    class ForwarderRepeatTest : public ::testing::Test {
    protected:
        // An endpoint answers that it hasn't run the request.
        void rejectNext() { m_bench.script(503, { { "id", "q" }, { "not-run", "yes" } }, { "full" }); }

        void useTimeout(std::chrono::milliseconds timeout)
        {
            m_bench.useRoute(RequestKind::idempotent).timeout = timeout;
            m_bench.publish();
        }

        FakePlaceBroker m_places;
        ForwarderBench m_bench { 1, { .places = &m_places, .forwarder = { .repeatRatio = 0, .repeatsPerSecond = 0.1 } } };
    };

    // Guards against a repeat that is granted in one window and sent in the next, beside what is granted there: one in ten seconds is
    // allowed.
    TEST_F(ForwarderRepeatTest, CountsARepeatThatWaitedForItsPlaceWhenItIsSent)
    {
        useTimeout(60s);
        m_places.grant("e1");
        rejectNext();
        FakeResponder other;
        int asked = 0;
        m_places.waits = 1;
        m_places.onWait = [&] {
            if (++asked != 2)
                return;
            m_bench.clock.advance(11s);
            m_places.grant("e1");
            rejectNext();
            m_places.grant("e2");
            m_bench.answer(200, { "whole" });
            m_bench.send(other);
            m_places.grant("e2");
            m_bench.answer(200, { "whole" });
        };
        const FakeResponder first = m_bench.send();
        EXPECT_EQ(other.response.status, 200);
        EXPECT_EQ(first.response.status, 503) << "the repeat of this window was made";
        EXPECT_EQ(m_bench.client.requests.size(), 3U);
        EXPECT_EQ(m_places.outstanding(), 0U);
    }

    TEST_F(ForwarderRepeatTest, SendsARepeatThatWaitedWhereOneIsLeft)
    {
        useTimeout(60s);
        m_places.grant("e1");
        rejectNext();
        int asked = 0;
        m_places.waits = 1;
        m_places.onWait = [&] {
            if (++asked == 2)
                m_bench.clock.advance(2s);
        };
        m_places.grant("e2");
        m_bench.answer(200, { "whole" });
        EXPECT_EQ(m_bench.send().response.status, 200);
    }

    // Guards against a system that repeats nothing for the first callers of its life, where nobody can have spent its slack.
    TEST(ForwarderFirstStartTest, RepeatsFromTheFirstRequestOnWhereNothingRanBefore)
    {
        for (const bool isFirstStart : { false, true }) {
            ForwarderBench bench { 1, { .forwarder = { .repeatRatio = 0, .repeatsPerSecond = 0, .sharedRepeats = 50, .isFirstStart = isFirstStart } } };
            bench.forwarder.useInstances(6);
            bench.script(503, { { "id", "q" }, { "not-run", "yes" } }, { "full" });
            bench.answer(200, { "whole" });
            EXPECT_EQ(bench.send().response.status, isFirstStart ? 200 : 503);
        }
    }

}
}
