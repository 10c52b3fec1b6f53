// Which endpoint PlacePool grants, and which of the waiting requests gets the next permit.
#include "whinyard/policy/PlacePool.h"

#include "whinyard/policy/PlacePoolCalls.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace whinyard::policy {

using namespace pool;
using namespace std::chrono_literals;

// Guards against requests of one customer that are served late because another one sends many.
TEST(PlacePoolChoiceTest, TakesTurnsBetweenCustomers)
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
TEST(PlacePoolChoiceTest, TakesTheEarliestDeadlineOfACustomerFirst)
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
TEST(PlacePoolChoiceTest, SkipsExcludedEndpointsWithoutBlockingOthers)
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
TEST(PlacePoolChoiceTest, DecidesAnewWhenTheGrantedEndpointIsExcluded)
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
TEST(PlacePoolChoiceTest, PrefersTheLeastWaitAndThenTheRequestersZone)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(3, 6), start);
    PermitRequest request = wish(1);
    request.zone = { "z-2" };
    EXPECT_EQ(ask(pool, request).endpoint.value, "b");
    request.id = id(2);
    EXPECT_NE(ask(pool, request).endpoint.value, "b");
}

// Guards against equal endpoints of which only one is used.
TEST(PlacePoolChoiceTest, UsesEqualEndpointsInTurn)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(3, 6), start);
    std::map<EndpointName, int> counts;
    for (std::uint64_t i = 1; i <= 30; ++i) {
        PermitRequest request = wish(i);
        request.zone = { "z-9" };
        ++counts[ask(pool, request).endpoint];
        giveBack(pool, i, start);
    }
    for (const auto& [endpoint, count] : counts)
        EXPECT_EQ(count, 10) << endpoint.value;
}

// Guards against a choice by the number of permits, which fills the endpoint with few slots or long service times first.
TEST(PlacePoolChoiceTest, CountsSlotsAndServiceTimes)
{
    PlacePool pool;
    std::vector<PooledEndpoint> list = endpoints(2, 12);
    list[1].slots = 3;
    pool.useEndpoints(list, start);
    std::map<EndpointName, int> bySlots;
    for (std::uint64_t i = 1; i <= 10; ++i)
        ++bySlots[ask(pool, wish(i)).endpoint];
    EXPECT_EQ(bySlots[{ "a" }], 8);

    PlacePool learned;
    learned.useEndpoints(endpoints(2, 12), start);
    for (std::uint64_t i = 1; i <= 20; ++i) {
        const PermitDecision decision = ask(learned, wish(i));
        learned.release(id(i), EndpointOutcome::succeeded, decision.endpoint.value == "a" ? 200ms : 50ms, start);
    }
    std::map<EndpointName, int> byTime;
    for (std::uint64_t i = 101; i <= 110; ++i)
        ++byTime[ask(learned, wish(i)).endpoint];
    EXPECT_EQ(byTime[{ "b" }], 8);
}

// Guards against an endpoint without stated slots that gets nothing or breaks the choice of others.
TEST(PlacePoolChoiceTest, CountsOneSlotWhereNoneIsStated)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 0), start);
    EXPECT_EQ(fill(pool, 1), 4U);
}

// Guards against requests that are taken out of the order while no permit is free for them, so that a more urgent one comes after them.
TEST(PlacePoolChoiceTest, KeepsTheOrderOfRequestsThatCannotUseWhatIsFree)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 1), start);
    std::map<EndpointName, std::uint64_t> holders;
    for (std::uint64_t i = 1; i <= 4; ++i)
        holders[ask(pool, wish(i)).endpoint] = i;
    PermitRequest notA = wish(10);
    notA.excluded = { { "a" } };
    ask(pool, notA);
    giveBack(pool, holders.at({ "a" }), start);
    notA.id = id(11);
    notA.objectiveLeft = 200ms;
    ask(pool, notA);
    EXPECT_EQ(verdictOf(giveBack(pool, holders.at({ "b" }), start), 11), PermitVerdict::granted);
}

// Guards against a grant of an endpoint that a requester has excluded while it waited.
TEST(PlacePoolChoiceTest, TakesTheExclusionsOfARepetition)
{
    PlacePool pool;
    pool.useEndpoints(endpoints(2, 1), start);
    std::map<EndpointName, std::uint64_t> holders;
    for (std::uint64_t i = 1; i <= 4; ++i)
        holders[ask(pool, wish(i)).endpoint] = i;
    PermitRequest request = wish(10);
    ask(pool, request);
    request.excluded = { { "a" } };
    ask(pool, request);
    EXPECT_TRUE(giveBack(pool, holders.at({ "a" }), start).empty());
    request.excluded.push_back({ "b" });
    EXPECT_EQ(ask(pool, request).verdict, PermitVerdict::noEndpoint);
}

// Guards against requests that were passed over because of their exclusions and gather without bound.
TEST(PlacePoolChoiceTest, BoundsTheRequestsThatWerePassedOver)
{
    PlacePoolSettings settings;
    settings.queueCapacity = 4;
    PlacePool pool(settings);
    pool.useEndpoints(endpoints(2, 1), start);
    std::map<EndpointName, std::vector<std::uint64_t>> holders;
    for (std::uint64_t i = 1; i <= 4; ++i)
        holders[ask(pool, wish(i)).endpoint].push_back(i);
    std::uint64_t ofA = holders.at({ "a" }).front();
    std::uint64_t number = 100;
    for (int round = 0; round < 5; ++round) {
        for (int i = 0; i < 3; ++i) {
            PermitRequest notA = wish(++number);
            notA.excluded = { { "a" } };
            notA.objectiveLeft = 1'000ms;
            ask(pool, notA);
        }
        PermitRequest any = wish(++number);
        any.objectiveLeft = 1'100ms;
        if (ask(pool, any).verdict != PermitVerdict::waiting)
            continue;
        ASSERT_EQ(verdictOf(giveBack(pool, ofA, start), number), PermitVerdict::granted);
        ofA = number;
    }
    EXPECT_LE(pool.state(start).waiting, 8U);
    EXPECT_GE(pool.state(start).waiting, 4U);
}

// Guards against a queue that grows without bound, and against a full one that keeps out a customer with few requests.
TEST(PlacePoolChoiceTest, AFullQueueRejectsThoseOfTheLongestPart)
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
TEST(PlacePoolChoiceTest, ServesManyCustomersOneAfterTheOther)
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
TEST(PlacePoolChoiceTest, TakesBackAWaitingRequest)
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
