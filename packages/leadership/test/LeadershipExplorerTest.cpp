// Every order of the steps of two instances that may lead, up to a depth. bench/LeadershipCheck goes deeper.
#include "whinyard/leadership/LeadershipExplorer.h"

#include <gtest/gtest.h>

namespace whinyard::leadership {
namespace {

    TEST(LeadershipExplorerTest, NoOrderOfStepsShowsTheProviderTwoLeaders)
    {
        const ExplorerResult result = explore({ .steps = 5, .faults = 1 });
        EXPECT_FALSE(result.violation) << *result.violation;
        EXPECT_GT(result.calls, 1'000U);
        RecordProperty("runs", std::to_string(result.runs));
        RecordProperty("calls", std::to_string(result.calls));
    }

    // Guards against two leaders, or two counts of a window, where the store loses the leader's record and gives out its numbers again.
    TEST(LeadershipExplorerTest, NoReturnOfTheStoreShowsTheProviderTwoLeaders)
    {
        const ExplorerResult result = explore({ .steps = 7, .faults = 0, .returns = 1 });
        EXPECT_FALSE(result.violation) << *result.violation;
        EXPECT_GT(result.calls, 1'000U);
    }

    TEST(LeadershipExplorerTest, FindsALeaderThatActsWithoutProofOfItsLease)
    {
        const ExplorerResult result = explore({ .steps = 6, .faults = 0, .actsWithoutProof = true });
        ASSERT_TRUE(result.violation);
        EXPECT_NE(result.violation->find("fence went back"), std::string::npos) << *result.violation;
    }

    TEST(LeadershipExplorerTest, FindsCountsThatAreNotFixedBeforeTheyAreSent)
    {
        const ExplorerResult result = explore({ .steps = 6, .faults = 0, .fixesForItself = true });
        ASSERT_TRUE(result.violation);
        EXPECT_NE(result.violation->find("two counts"), std::string::npos) << *result.violation;
    }

}
}
