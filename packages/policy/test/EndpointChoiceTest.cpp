#include "whinyard/policy/EndpointChoice.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const VersionName version { "lm-1" };
    const SteadyTime start { 1h };

    class EndpointChoiceTest : public testing::Test {
    protected:
        void SetUp() override { fill(8); }

        void fill(int count)
        {
            std::vector<EndpointMember> members;
            for (int i = 0; i < count; ++i)
                members.push_back({ name(i), ZoneName { i % 2 == 0 ? "zilina-a" : "zilina-b" }, { version }, {}, false });
            table.replaceMembers(members);
            request.target = *table.find(version);
        }

        static EndpointName name(int number) { return { "engine-" + std::to_string(number) }; }
        EndpointIndex endpoint(int number) const { return *table.find(name(number)); }
        EndpointPlan choose() { return selector->choose(table, request, start, random); }

        void load(EndpointIndex loaded, int requests)
        {
            for (int i = 0; i < requests; ++i)
                table.recordDispatch(loaded, {}, start);
        }

        EndpointTable table;
        std::unique_ptr<EndpointSelector> selector = makeWaitSelector();
        EndpointRequest request;
        Random random { 7 };
    };

}

TEST_F(EndpointChoiceTest, FailuresInARowMakeNoEndpointBusy)
{
    fill(1);
    const EndpointIndex only = endpoint(0);
    for (int failures = 0; failures < 4; ++failures) {
        table.recordDispatch(only, {}, start);
        table.recordEnd(only, EndpointOutcome::failed, 2s, start);
    }
    ASSERT_GT(table.row(only).consecutiveFailures, 0U);
    const EndpointPlan plan = choose();
    EXPECT_EQ(plan.endpoint, only);
    EXPECT_LT(plan.expectedWait - plan.unqueuedWait, 200ms);
}

TEST_F(EndpointChoiceTest, TellsTheWaitOfASoundEndpointApart)
{
    fill(1);
    request.tokenTime = 50us;
    request.promptTokens = 2'000;
    EXPECT_EQ(choose().expectedWait, 100ms);
    for (int i = 0; i < 20; ++i)
        table.recordExpectation(endpoint(0), 800ms, 100ms, start);
    EXPECT_GT(choose().expectedWait, 500ms);
    EXPECT_EQ(choose().soundWait, 100ms);
    table.recordWork(endpoint(0), 40ms, start);
    EXPECT_EQ(choose().soundWait, 140ms);
}

TEST_F(EndpointChoiceTest, CachedPrefixWinsUntilItsEndpointIsLoaded)
{
    const std::uint64_t prefix[] = { 11, 22, 33 };
    request.prefix = prefix;
    request.promptTokens = 2'000;
    table.recordDispatch(endpoint(5), prefix, start);
    for (int i = 0; i < 20; ++i) {
        const EndpointPlan plan = choose();
        EXPECT_EQ(plan.endpoint, endpoint(5));
        EXPECT_EQ(toText(plan.reason), "cachedPrefix");
    }
    load(endpoint(5), 64);
    EXPECT_NE(choose().endpoint, endpoint(5));
}

TEST_F(EndpointChoiceTest, SessionsOfAllInstancesAgreeOnAnIdleEndpoint)
{
    request.affinity = stableHash("session-1");
    const EndpointIndex first = choose().endpoint;
    random.seed(8);
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(choose().endpoint, first);
}

TEST_F(EndpointChoiceTest, OwnZoneIsKeptWhileItIsNotOverloaded)
{
    request.zone = table.find(ZoneName { "zilina-b" });
    for (int i = 0; i < 50; ++i)
        EXPECT_EQ(table.row(choose().endpoint).zone, *request.zone);
    for (int i = 1; i < 8; i += 2)
        load(endpoint(i), 64);
    const EndpointPlan plan = choose();
    EXPECT_NE(table.row(plan.endpoint).zone, *request.zone);
    EXPECT_EQ(toText(plan.reason), "otherZone");
}

TEST_F(EndpointChoiceTest, PlainServicesGetTheLeastInFlightOfTheCandidates)
{
    for (int i = 0; i < 80; ++i)
        load(choose().endpoint, 1);
    for (int i = 0; i < 8; ++i)
        EXPECT_NEAR(table.row(endpoint(i)).ownInFlight, 10, 2) << i;
}

TEST_F(EndpointChoiceTest, TriedAndWaitingEndpointsAreLeftOut)
{
    std::vector<EndpointIndex> tried;
    for (int i = 0; i < 7; ++i)
        tried.push_back(endpoint(i));
    request.excluded = tried;
    EXPECT_EQ(choose().endpoint, endpoint(7));
    table.recordComeBackAt(endpoint(7), start + 300ms);
    const EndpointPlan plan = choose();
    EXPECT_FALSE(plan);
    EXPECT_EQ(toText(plan.reason), "askedToWait");
    EXPECT_EQ(plan.expectedWait, 300ms);
}

TEST_F(EndpointChoiceTest, ProbesOnlyWithRequestsThatMayBeRepeated)
{
    for (int i = 0; i < 5; ++i) {
        table.recordDispatch(endpoint(0), {}, start);
        table.recordEnd(endpoint(0), EndpointOutcome::failed, 1ms, start);
    }
    table.refresh(start + 2s);
    ASSERT_EQ(table.row(endpoint(0)).health, HealthState::probing);
    const auto probes = [&] {
        int count = 0;
        for (int i = 0; i < 1'000; ++i)
            count += choose().reason == ChoiceReason::probe ? 1 : 0;
        return count;
    };
    EXPECT_GT(probes(), 20);
    request.mayProbe = false;
    EXPECT_EQ(probes(), 0);
}

TEST_F(EndpointChoiceTest, RefusesWhenTheWaitEndsAfterTheDeadline)
{
    for (int i = 0; i < 8; ++i)
        load(endpoint(i), 160);
    request.deadline = start + 100ms;
    const EndpointPlan plan = choose();
    EXPECT_FALSE(plan);
    EXPECT_EQ(toText(plan.reason), "noneBeforeDeadline");
    EXPECT_GT(plan.expectedWait, 1s);
}

// Many instances decide on the same old reports for 40 rounds; each knows only its own requests since.
TEST_F(EndpointChoiceTest, InstancesWithTheSameOldReportsDoNotHerd)
{
    constexpr int instances = 40;
    constexpr int endpoints = 20;
    std::vector<EndpointTable> tables(instances);
    std::vector<int> sent(endpoints, 0);
    for (EndpointTable& each : tables) {
        table = EndpointTable();
        fill(endpoints);
        LoadReport idle;
        idle.measuredAt = start;
        idle.slots = 16;
        table.recordReport(endpoint(0), idle, start);
        LoadReport busy = idle;
        busy.running = 4;
        for (int i = 1; i < endpoints; ++i)
            table.recordReport(endpoint(i), busy, start);
        table.refresh(start);
        each = table;
    }
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        for (EndpointTable& each : tables) {
            const EndpointPlan plan = selector->choose(each, request, start + 50ms, random);
            each.recordDispatch(plan.endpoint, {}, start + 50ms);
            ++sent[static_cast<std::size_t>(plan.endpoint)];
        }
    }
    const int mean = instances * rounds / endpoints;
    EXPECT_LE(*std::max_element(sent.begin(), sent.end()), 5 * mean);
}

}
