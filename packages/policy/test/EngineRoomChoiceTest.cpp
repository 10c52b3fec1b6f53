// Choices among engines whose memory is used: what a request needs, and which engine has room for it.
#include "whinyard/policy/EndpointChoice.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t capacity = 399'372;
    const VersionName version { "lm-1" };
    const SteadyTime start { 1h };

    class EngineRoomChoiceTest : public testing::Test {
    protected:
        void SetUp() override
        {
            fill(8);
            request.tokenTime = 9us;
            request.promptTokens = 25'000;
            request.neededTokens = 25'500;
            request.roomBy = start + 10s;
        }

        void fill(int count, std::uint64_t cacheTokens = capacity)
        {
            members.clear();
            for (int i = 0; i < count; ++i) {
                EndpointMember member { name(i), ZoneName { i % 2 == 0 ? "zilina-a" : "zilina-b" }, { version }, {}, false };
                member.incarnation = 1;
                member.cacheTokens = cacheTokens;
                members.push_back(member);
            }
            table.replaceMembers(members);
            request.target = *table.find(version);
        }

        static EndpointName name(int number) { return { "engine-" + std::to_string(number) }; }
        EndpointIndex endpoint(int number) const { return *table.find(name(number)); }
        EndpointPlan choose() { return selector->choose(table, request, start, random); }
        void use(int number, std::uint32_t tokens, std::chrono::milliseconds duration) { table.memory().report(endpoint(number), tokens, start + duration, start); }

        void useAll(std::uint32_t tokens, std::chrono::milliseconds duration)
        {
            for (int i = 0; i < static_cast<int>(members.size()); ++i)
                use(i, tokens, duration);
        }

        EndpointTable table;
        std::unique_ptr<EndpointSelector> selector = makeWaitSelector();
        EndpointRequest request;
        Random random { 7 };
        std::vector<EndpointMember> members;
    };

    // Guards against prompts that go where the cached prefix or the affinity sends them, and overfill the engine.
    TEST_F(EngineRoomChoiceTest, KeepsAwayFromAnEngineThatWouldBeOverfilled)
    {
        const std::uint64_t prefix[] = { 11, 22 };
        request.prefix = prefix;
        table.recordPrefixes(endpoint(5), prefix, start);
        ASSERT_EQ(choose().endpoint, endpoint(5));
        EXPECT_FALSE(choose().avoidedFull);
        use(5, 340'000, 4s);
        const EndpointPlan plan = choose();
        ASSERT_TRUE(plan);
        EXPECT_NE(plan.endpoint, endpoint(5));
        EXPECT_TRUE(plan.avoidedFull);
        request.neededTokens = 5'000;
        EXPECT_EQ(choose().endpoint, endpoint(5)) << "a smaller request still fits";
        request.neededTokens = 0;
        EXPECT_EQ(choose().endpoint, endpoint(5)) << "the account is off";
    }

    // Guards against a request that finds no engine because the few that it compares first are full.
    TEST_F(EngineRoomChoiceTest, FindsTheOnlyEngineWithRoom)
    {
        for (const int only : { 0, 3, 7 }) {
            fill(8, 0);
            fill(8);
            for (int i = 0; i < 8; ++i) {
                if (i != only)
                    use(i, 350'000, 4s);
            }
            EXPECT_EQ(choose().endpoint, endpoint(only));
        }
    }

    // Guards against engines that stay partly unused in an overload: above the limit, and within the capacity, they are filled.
    TEST_F(EngineRoomChoiceTest, TakesTheEngineWithTheMostRoomWhereNoneIsBelowTheLimit)
    {
        useAll(365'000, 4s);
        use(2, 10'000, 4s);
        table.memory().clear(endpoint(6));
        use(6, 360'000, 4s);
        const EndpointPlan plan = choose();
        EXPECT_EQ(plan.endpoint, endpoint(6));
        EXPECT_EQ(plan.reason, ChoiceReason::mostRoom);
        EXPECT_EQ(plan.roomWait, 0us);
    }

    // Guards against a request that is sent where it doesn't fit yet, and against one that is refused although it will fit in time.
    TEST_F(EngineRoomChoiceTest, TellsTheWaitForRoom)
    {
        useAll(390'000, 4s);
        table.memory().clear(endpoint(6));
        use(6, 385'000, 3s);
        const EndpointPlan plan = choose();
        EXPECT_EQ(plan.endpoint, endpoint(6));
        EXPECT_EQ(plan.roomWait, 3s);
        EXPECT_GE(plan.expectedWait, 3s);
    }

    // Guards against a request that waits in vain: it is refused at once, with the time at which room is expected.
    TEST_F(EngineRoomChoiceTest, RefusesWhatNoEngineHasRoomForInTime)
    {
        useAll(390'000, 11s);
        const EndpointPlan plan = choose();
        EXPECT_FALSE(plan);
        EXPECT_EQ(plan.reason, ChoiceReason::noRoom);
        EXPECT_EQ(plan.expectedWait, 11s);
        EXPECT_NEAR(plan.room, 9'372, 1);
    }

    // Guards against a request that was begun already, and is refused or held back as if it had not been.
    TEST_F(EngineRoomChoiceTest, SendsWhatWasBegunAlreadyInAnyCase)
    {
        useAll(390'000, 11s);
        request.roomBy = SteadyTime::max();
        const EndpointPlan plan = choose();
        EXPECT_TRUE(plan);
        EXPECT_EQ(plan.roomWait, 0us);
        request.neededTokens = capacity + 1;
        EXPECT_TRUE(choose());
    }

    // Guards against a request that waits for room that no engine will ever have.
    TEST_F(EngineRoomChoiceTest, RefusesWhatIsLargerThanAnEnginesMemory)
    {
        request.neededTokens = capacity;
        EXPECT_TRUE(choose());
        request.neededTokens = capacity + 1;
        EXPECT_EQ(choose().reason, ChoiceReason::largerThanMemory);
    }

    // Guards against an engine that is kept from requests for what it held before its restart.
    TEST_F(EngineRoomChoiceTest, AnEngineThatRestartedHoldsNothing)
    {
        useAll(390'000, 11s);
        ASSERT_FALSE(choose());
        members[4].incarnation = 2;
        table.changeMembers(std::span(members).subspan(4, 1), {});
        EXPECT_EQ(choose().endpoint, endpoint(4));
    }

    // Guards against engines that count as empty once the list names them anew, as it does for any change of theirs.
    TEST_F(EngineRoomChoiceTest, KeepsTheAccountWhileAnEngineStaysTheSame)
    {
        useAll(390'000, 11s);
        table.replaceMembers(members);
        EXPECT_FALSE(choose());
        members[4].isEvacuated = true;
        table.changeMembers(std::span(members).subspan(4, 1), {});
        members[4].isEvacuated = false;
        table.changeMembers(std::span(members).subspan(4, 1), {});
        EXPECT_FALSE(choose());
    }

    // Guards against a probe of an engine that came back from an ejection and is full.
    TEST_F(EngineRoomChoiceTest, ChoosesAmongEjectedEnginesByRoomToo)
    {
        fill(2);
        for (int i = 0; i < 2; ++i) {
            table.recordDispatch(endpoint(i), {}, start);
            table.recordEnd(endpoint(i), EndpointOutcome::unreachable, 1ms, start);
        }
        useAll(390'000, 11s);
        EXPECT_FALSE(choose());
        table.memory().clear(endpoint(1));
        EXPECT_EQ(choose().endpoint, endpoint(1));
    }

    // Guards against refusals by engines whose capacity the configuration doesn't state.
    TEST_F(EngineRoomChoiceTest, EnginesOfUnknownCapacityAlwaysHaveRoom)
    {
        fill(8, 0);
        useAll(390'000, 11s);
        request.neededTokens = 4'000'000;
        EXPECT_TRUE(choose());
    }

}
}
