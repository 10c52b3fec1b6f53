// How PlacePool answers requests, repetitions, releases and requests that are late; the other tests of PlacePool have the choice of the
// endpoint and of the next request, its forecasts, faults of endpoints and instances, and its load.
#include "whinyard/policy/PlacePool.h"

#include "whinyard/policy/PlacePoolCalls.h"

#include <gtest/gtest.h>

namespace whinyard::policy {

using namespace pool;
using namespace std::chrono_literals;

// Guards against slots that idle during the transit of a release, and against a rounding error that adds one permit.
TEST(PlacePoolTest, GrantsAThirdMorePermitsThanSlots)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 6), start);
    EXPECT_EQ(fill(pool, 1), 16U);
    EXPECT_EQ(pool.state(start).permits, 16U);
    EXPECT_EQ(pool.state(start).held, 16U);
    EXPECT_EQ(ask(pool, wish(100)).verdict, PermitVerdict::waiting);
}

// Guards against a second permit for a request whose answer was lost.
TEST(PlacePoolTest, AnswersARepeatedRequestTheSame)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 1), start);
    const PermitDecision first = ask(pool, wish(1));
    const PermitDecision again = ask(pool, wish(1), start + 40ms);
    EXPECT_EQ(again.verdict, PermitVerdict::granted);
    EXPECT_EQ(again.endpoint, first.endpoint);
    EXPECT_EQ(pool.state(start).held, 1U);

    // It is a sign of life like a report of held permits.
    for (SteadyTime now = start + 100ms; now <= start + 900ms; now += 100ms)
        pool.expire(now);
    EXPECT_EQ(pool.state(start + 900ms).held, 0U);
    EXPECT_EQ(ask(pool, wish(1), start + 900ms).verdict, PermitVerdict::granted);
    for (SteadyTime now = start + 1s; now <= start + 2'500ms; now += 100ms) {
        ask(pool, wish(1), now - 50ms);
        pool.expire(now);
        EXPECT_EQ(pool.state(now).held, 1U);
    }
}

// Guards against a waiting request that a repetition puts into the queue once more.
TEST(PlacePoolTest, AnswersARepeatedWaitingRequestTheSame)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 1), start);
    ask(pool, wish(1));
    const std::uint64_t others = fill(pool, 2);
    EXPECT_EQ(others, 3U);
    EXPECT_EQ(ask(pool, wish(10)).verdict, PermitVerdict::waiting);
    EXPECT_EQ(ask(pool, wish(10), start + 40ms).verdict, PermitVerdict::waiting);
    EXPECT_EQ(pool.state(start).waiting, 1U);
}

// Guards against a permit for a requester who has told its caller of the rejection already.
TEST(PlacePoolTest, RepeatsARejection)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest late = wish(10);
    late.objectiveLeft = 0ms;
    const PermitDecision rejected = ask(pool, late);
    ASSERT_EQ(rejected.verdict, PermitVerdict::rejected);
    giveBack(pool, 1, start + 2ms);
    const PermitDecision again = ask(pool, late, start + 2ms);
    EXPECT_EQ(again.verdict, PermitVerdict::rejected);
    EXPECT_EQ(again.wait, rejected.wait - 2ms);
    EXPECT_EQ(ask(pool, wish(11), start + 2ms).verdict, PermitVerdict::granted);
}

// Guards against requests that are dropped although their requesters repeat them, and against permits for those who went away.
TEST(PlacePoolTest, DropsAWaitingRequestThatIsNotRepeated)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest patient = wish(10);
    patient.objectiveLeft = 1'400ms;
    PermitRequest gone = patient;
    gone.id = id(11);
    ask(pool, patient);
    ask(pool, gone);
    for (SteadyTime now = start; now <= start + 400ms; now += 50ms) {
        if (now == start + 250ms)
            ask(pool, patient, now);
        EXPECT_TRUE(pool.expire(now).empty());
    }
    EXPECT_EQ(pool.state(start + 400ms).waiting, 1U);
    EXPECT_EQ(verdictOf(giveBack(pool, 1, start + 410ms), 10), PermitVerdict::granted);
}

// Guards against a grant to a requester who has moved on, when a release arrives before expire() is called.
TEST(PlacePoolTest, GrantsNothingToASilentRequester)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest gone = wish(10);
    gone.objectiveLeft = 1'400ms;
    ask(pool, gone);
    EXPECT_TRUE(giveBack(pool, 1, start + 301ms).empty());
    EXPECT_EQ(pool.state(start + 301ms).waiting, 0U);
}

// Guards against more permits than slots allow after a release that the network duplicates.
TEST(PlacePoolTest, IgnoresASecondReleaseAndUnknownPermits)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 3), start);
    ASSERT_EQ(fill(pool, 1), 4U);
    giveBack(pool, 1, start);
    giveBack(pool, 1, start);
    giveBack(pool, 999, start);
    EXPECT_EQ(pool.state(start).held, 3U);
    EXPECT_EQ(fill(pool, 20), 1U);
}

// Guards against a request that is rejected although an endpoint could run it, whatever its objective.
TEST(PlacePoolTest, GrantsALateRequestOnlyWhenNobodyWaits)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 3), start);
    PermitRequest late = wish(1);
    late.objectiveLeft = -10ms;
    EXPECT_EQ(ask(pool, late).verdict, PermitVerdict::granted);
    fill(pool, 2);
    late.id = id(10);
    const PermitDecision rejected = ask(pool, late);
    EXPECT_EQ(rejected.verdict, PermitVerdict::rejected);
    EXPECT_GT(rejected.wait, 0ms);
    late.id = id(13);
    late.objectiveLeft = -1h;
    EXPECT_LT(ask(pool, late).wait, 1s) << "the forecast is that of the queue, not how late the request is";

    // One that becomes late while it waits comes after one that can still be in time.
    PermitRequest tight = wish(11);
    tight.objectiveLeft = 120ms;
    ASSERT_EQ(ask(pool, tight).verdict, PermitVerdict::waiting);
    ASSERT_EQ(ask(pool, wish(12)).verdict, PermitVerdict::waiting);
    const std::vector<PermitDecision> decisions = giveBack(pool, 1, start + 100ms);
    EXPECT_EQ(verdictOf(decisions, 12), PermitVerdict::granted);
    EXPECT_EQ(verdictOf(decisions, 11), PermitVerdict::rejected);
}

// Guards against a request that waits although it is late, until its deadline.
TEST(PlacePoolTest, ServesALateRequestWithAPermitThatNobodyElseWants)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest tight = wish(10);
    tight.objectiveLeft = 120ms;
    ASSERT_EQ(ask(pool, tight).verdict, PermitVerdict::waiting);
    EXPECT_EQ(verdictOf(giveBack(pool, 1, start + 100ms), 10), PermitVerdict::granted);
}

// Guards against a request that is held until its deadline although its answer would be late.
TEST(PlacePoolTest, RejectsAWaitingRequestOnceItIsLate)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest tight = wish(10);
    tight.objectiveLeft = 120ms;
    ASSERT_EQ(ask(pool, tight).verdict, PermitVerdict::waiting);
    EXPECT_TRUE(pool.expire(start + 50ms).empty());
    EXPECT_EQ(verdictOf(pool.expire(start + 100ms), 10), PermitVerdict::rejected);
}

// Guards against a deadline that doesn't count where it is nearer than the objective, and against a request that has timed out.
TEST(PlacePoolTest, GrantsNothingAfterTheDeadline)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    PermitRequest request = wish(99);
    request.deadlineLeft = 0ms;
    EXPECT_EQ(ask(pool, request).verdict, PermitVerdict::rejected);
    fill(pool, 1);
    request = wish(10);
    request.deadlineLeft = 200ms;
    ask(pool, request);
    // The pool was suspended for 250 ms: less than the lifetime of a request.
    EXPECT_EQ(verdictOf(giveBack(pool, 1, start + 250ms), 10), PermitVerdict::rejected);
    EXPECT_EQ(pool.state(start + 250ms).held, 1U);
}

// Guards against sums of times that overflow: requesters without an objective may state the longest time there is.
TEST(PlacePoolTest, TakesRequestsWithoutObjectiveOrDeadline)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest request = wish(10);
    request.objectiveLeft = std::chrono::milliseconds::max();
    request.deadlineLeft = std::chrono::milliseconds::max();
    ASSERT_EQ(ask(pool, request).verdict, PermitVerdict::waiting);
    EXPECT_EQ(verdictOf(giveBack(pool, 1, start + 50ms), 10), PermitVerdict::granted);
    request.id = id(11);
    request.objectiveLeft = std::chrono::milliseconds::min();
    EXPECT_EQ(ask(pool, request, start + 50ms).verdict, PermitVerdict::rejected);
}

}
