// PlacePool's forecasts: expected waits, the latest start of a request, and when rejected callers are to come back.
#include "whinyard/policy/PlacePool.h"

#include "whinyard/policy/PlacePoolCalls.h"

#include <gtest/gtest.h>

#include <set>

namespace whinyard::policy {

using namespace pool;
using namespace std::chrono_literals;

// Guards against rejected callers who all come back at the same moment.
TEST(PlacePoolForecastTest, SpreadsTheReturnOfRejectedCallers)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 6), start);
    fill(pool, 1);
    std::set<std::chrono::milliseconds> waits;
    std::size_t rejected = 0;
    for (std::uint64_t i = 0; i < 100; ++i) {
        const PermitDecision decision = ask(pool, wish(100 + i));
        if (decision.verdict == PermitVerdict::rejected) {
            ++rejected;
            waits.insert(decision.wait);
        }
    }
    ASSERT_GT(rejected, 40U);
    EXPECT_EQ(waits.size(), rejected);
    // 8 permits of 50 ms: 160 a second, of which half are for those who come back.
    const std::chrono::milliseconds range = *waits.rbegin() - *waits.begin();
    EXPECT_NEAR(static_cast<double>(range.count()), static_cast<double>(rejected - 1) * 12.5, 20);
}

// Guards against forecasts from a service time that nobody measured.
TEST(PlacePoolForecastTest, LearnsHowLongPermitsAreHeld)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 6), start);
    SteadyTime now = start;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        ask(pool, wish(i), now);
        now += 100ms;
        giveBack(pool, i, now);
    }
    fill(pool, 200, now);
    for (std::uint64_t i = 300; i < 308; ++i)
        ASSERT_EQ(ask(pool, wish(i), now).verdict, PermitVerdict::waiting);
    // Behind 8 others, with 8 permits.
    const PermitDecision decision = ask(pool, wish(310), now);
    EXPECT_EQ(decision.verdict, PermitVerdict::waiting);
    EXPECT_NEAR(static_cast<double>(decision.wait.count()), 100, 5);
    EXPECT_NEAR(static_cast<double>(pool.state(now).expectedWait.count()), 125, 10);
}

// Guards against permits for requests that are late unless they are short ones: every second takes 100 ms longer.
TEST(PlacePoolForecastTest, ReservesTimeForLongRequests)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    for (std::uint64_t i = 1; i <= 100; ++i) {
        ask(pool, wish(i));
        pool.release(id(i), EndpointOutcome::succeeded, i % 2 == 0 ? 50ms : 150ms, start);
    }
    fill(pool, 200);
    PermitRequest request = wish(300);
    request.objectiveLeft = 400ms;
    ask(pool, request);
    // The mean is 100 ms and the standard deviation 50 ms.
    EXPECT_TRUE(pool.expire(start + 210ms).empty());
    EXPECT_EQ(verdictOf(pool.expire(start + 240ms), 300), PermitVerdict::rejected);
}

// Guards against long use of the assumed service time where the first answer tells better.
TEST(PlacePoolForecastTest, TakesTheFirstServiceTimeAsItIs)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    ask(pool, wish(1));
    pool.release(id(1), EndpointOutcome::succeeded, 200ms, start);
    fill(pool, 10);
    ask(pool, wish(20));
    EXPECT_TRUE(pool.expire(start + 90ms).empty());
    EXPECT_EQ(verdictOf(pool.expire(start + 110ms), 20), PermitVerdict::rejected);
}

// Guards against requests that wait in vain for an endpoint that is not tried again in time.
TEST(PlacePoolForecastTest, CountsThePauseOfAFailingEndpoint)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 6), start);
    for (std::uint64_t i = 1; i <= 5; ++i) {
        ask(pool, wish(i));
        giveBack(pool, i, start, EndpointOutcome::unreachable);
    }
    PermitRequest request = wish(10);
    request.objectiveLeft = 200ms;
    const PermitDecision rejected = ask(pool, request);
    EXPECT_EQ(rejected.verdict, PermitVerdict::rejected);
    EXPECT_GE(rejected.wait, 250ms);
    request.objectiveLeft = 1'400ms;
    request.id = id(11);
    EXPECT_EQ(ask(pool, request).verdict, PermitVerdict::waiting);
    request.id = id(12);
    const PermitDecision second = ask(pool, request);
    EXPECT_EQ(second.verdict, PermitVerdict::waiting);
    EXPECT_NEAR(static_cast<double>(second.wait.count()), 300, 10) << "the rest of the pause and one request";
    EXPECT_EQ(verdictOf(pool.expire(start + 250ms), 11), PermitVerdict::granted);
}

// Guards against a forecast that is no number.
TEST(PlacePoolForecastTest, HasAForecastWithoutEndpoints)
{
    const PlacePool pool;
    EXPECT_GE(pool.state(start).expectedWait, 0ms);
    EXPECT_LE(pool.state(start).expectedWait, 5s);
}

}
