// The decisions of PlacePool, each by itself; PlacePoolLoadTest has those under load.
#include "whinyard/policy/PlacePool.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };
    const InstanceName requester { "e-1" };

    PermitId id(std::uint64_t number) { return { requester, number }; }

    PermitRequest wish(std::uint64_t number, const std::string& customer = "c-1")
    {
        return { id(number), { "z-1" }, { customer }, 1, 300ms, 1'500ms, {} };
    }

    // The endpoints "a", "b", ... in the zones "z-1", "z-2", ...
    std::vector<PooledEndpoint> endpoints(std::size_t count, std::uint32_t slots)
    {
        std::vector<PooledEndpoint> list;
        for (std::size_t i = 0; i < count; ++i)
            list.push_back({ { std::string(1, static_cast<char>('a' + i)) }, { "z-" + std::to_string(i + 1) }, slots });
        return list;
    }

    // Returns the pool's own decision about a request.
    PermitDecision ask(PlacePool& pool, const PermitRequest& request, SteadyTime now = start) { return pool.request(request, now).front(); }

    std::vector<PermitDecision> giveBack(PlacePool& pool, std::uint64_t number, SteadyTime now, std::optional<EndpointOutcome> outcome = EndpointOutcome::succeeded)
    {
        return pool.release(id(number), outcome, 50ms, now);
    }

    // Grants permits with the numbers from `first` until none is free; returns how many.
    std::uint64_t fill(PlacePool& pool, std::uint64_t first, SteadyTime now = start)
    {
        std::uint64_t count = 0;
        while (ask(pool, wish(first + count), now).verdict == PermitVerdict::granted)
            ++count;
        giveBack(pool, first + count, now, std::nullopt);
        return count;
    }

    std::optional<PermitVerdict> verdictOf(const std::vector<PermitDecision>& decisions, std::uint64_t number)
    {
        const auto found = std::find_if(decisions.begin(), decisions.end(), [&](const PermitDecision& decision) { return decision.id == id(number); });
        return found == decisions.end() ? std::nullopt : std::optional(found->verdict);
    }

}

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
        ask(pool, patient, now);
        EXPECT_TRUE(pool.expire(now).empty());
    }
    EXPECT_EQ(pool.state(start + 400ms).waiting, 1U);
    EXPECT_EQ(verdictOf(giveBack(pool, 1, start + 410ms), 10), PermitVerdict::granted);
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

// Guards against requests of one customer that are served late because another one sends many.
TEST(PlacePoolTest, TakesTurnsBetweenCustomers)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 12), start);
    ASSERT_EQ(fill(pool, 1), 16U);
    for (std::uint64_t i = 0; i < 16; ++i)
        ask(pool, wish(100 + i, "many"));
    for (std::uint64_t i = 0; i < 4; ++i)
        ask(pool, wish(200 + i, "few"));
    std::set<std::uint64_t> granted;
    for (std::uint64_t i = 1; i <= 8; ++i) {
        for (const PermitDecision& decision : giveBack(pool, i, start + 20ms))
            granted.insert(decision.id.number);
    }
    EXPECT_EQ(granted.size(), 8U);
    EXPECT_EQ(std::count_if(granted.begin(), granted.end(), [](std::uint64_t number) { return number >= 200; }), 4);
}

// Guards against a queue that ignores how urgent its requests are.
TEST(PlacePoolTest, TakesTheEarliestDeadlineOfACustomerFirst)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    PermitRequest urgent = wish(11);
    urgent.objectiveLeft = 200ms;
    ask(pool, wish(10));
    ask(pool, urgent);
    EXPECT_EQ(verdictOf(giveBack(pool, 1, start + 10ms), 11), PermitVerdict::granted);
}

// Guards against a request that blocks all others because it must not use the endpoint that is free.
TEST(PlacePoolTest, SkipsExcludedEndpointsWithoutBlockingOthers)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 1), start);
    std::map<EndpointName, std::uint64_t> holders;
    for (std::uint64_t i = 1; i <= 4; ++i)
        holders[ask(pool, wish(i)).endpoint] = i;
    PermitRequest notA = wish(10);
    notA.excluded = { { "a" } };
    ASSERT_EQ(ask(pool, notA).verdict, PermitVerdict::waiting);
    ASSERT_EQ(ask(pool, wish(11)).verdict, PermitVerdict::waiting);
    EXPECT_EQ(verdictOf(giveBack(pool, holders.at({ "a" }), start + 10ms), 11), PermitVerdict::granted);
    ASSERT_EQ(ask(pool, wish(12), start + 10ms).verdict, PermitVerdict::waiting);
    EXPECT_EQ(verdictOf(giveBack(pool, holders.at({ "b" }), start + 20ms), 10), PermitVerdict::granted);

    PermitRequest none = wish(13);
    none.excluded = { { "a" }, { "b" } };
    EXPECT_EQ(ask(pool, none, start + 20ms).verdict, PermitVerdict::noEndpoint);
}

// Guards against a grant that is repeated for ever to a requester who can't use it.
TEST(PlacePoolTest, DecidesAnewWhenTheGrantedEndpointIsExcluded)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 1), start);
    PermitRequest request = wish(1);
    request.excluded = { ask(pool, request).endpoint };
    const PermitDecision again = ask(pool, request, start + 5ms);
    EXPECT_EQ(again.verdict, PermitVerdict::granted);
    EXPECT_NE(again.endpoint, request.excluded.front());
    EXPECT_EQ(pool.state(start + 5ms).held, 1U);
}

// Guards against calls that cross availability zones without need, and against a near endpoint that is used although it is fuller.
TEST(PlacePoolTest, PrefersTheLeastWaitAndThenTheRequestersZone)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(3, 6), start);
    PermitRequest request = wish(1);
    request.zone = { "z-2" };
    EXPECT_EQ(ask(pool, request).endpoint.value, "b");
    request.id = id(2);
    EXPECT_NE(ask(pool, request).endpoint.value, "b");
}

// Guards against rejected callers who all come back at the same moment.
TEST(PlacePoolTest, SpreadsTheReturnOfRejectedCallers)
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
    EXPECT_GT(rejected, 40U);
    EXPECT_EQ(waits.size(), rejected);
    // 8 permits of 50 ms: 160 a second, of which half are for those who come back.
    const std::chrono::milliseconds range = *waits.rbegin() - *waits.begin();
    EXPECT_NEAR(static_cast<double>(range.count()), static_cast<double>(rejected - 1) * 12.5, 20);
}

// Guards against a queue that grows without bound, and against a full one that keeps out a customer with few requests.
TEST(PlacePoolTest, AFullQueueRejectsThoseOfTheLongestPart)
{
    PlacePoolSettings settings;
    settings.queueCapacity = 8;
    PlacePool pool(settings);
    pool.useEndpoints(endpoints(1, 12), start);
    ASSERT_EQ(fill(pool, 1), 16U);
    for (std::uint64_t i = 0; i < 8; ++i)
        ASSERT_EQ(ask(pool, wish(100 + i, "many")).verdict, PermitVerdict::waiting);
    EXPECT_EQ(ask(pool, wish(108, "many")).verdict, PermitVerdict::rejected);
    const std::vector<PermitDecision> decisions = pool.request(wish(200, "few"), start);
    ASSERT_EQ(decisions.size(), 2U);
    EXPECT_EQ(decisions[0].id, id(200));
    EXPECT_EQ(decisions[0].verdict, PermitVerdict::waiting);
    EXPECT_EQ(decisions[1].verdict, PermitVerdict::rejected);
    EXPECT_EQ(pool.state(start).waiting, 8U);
    EXPECT_EQ(ask(pool, wish(200, "few")).verdict, PermitVerdict::waiting);
}

// Guards against requests of customers who have long gone that take up room, and against one customer's requests in another's part.
TEST(PlacePoolTest, ServesManyCustomersOneAfterTheOther)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    SteadyTime now = start;
    std::uint64_t last = 1;
    for (std::uint64_t i = 100; i < 1'100; ++i) {
        now += 1ms;
        ASSERT_EQ(ask(pool, wish(i, "c-" + std::to_string(i)), now).verdict, PermitVerdict::waiting);
        ASSERT_EQ(verdictOf(giveBack(pool, last, now), i), PermitVerdict::granted);
        last = i;
    }
}

// Guards against a request that is served after its requester took it back.
TEST(PlacePoolTest, TakesBackAWaitingRequest)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(1, 1), start);
    fill(pool, 1);
    ASSERT_EQ(ask(pool, wish(10)).verdict, PermitVerdict::waiting);
    EXPECT_TRUE(giveBack(pool, 10, start, std::nullopt).empty());
    EXPECT_TRUE(giveBack(pool, 1, start).empty());
    EXPECT_EQ(pool.state(start).held, 1U);
}

}
