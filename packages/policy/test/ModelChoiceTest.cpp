#include "whinyard/policy/ModelChoice.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    ModelQuestion question()
    {
        ModelQuestion asked;
        asked.costs = { 0.02, 0.2, 0.4 };
        asked.attemptsLeft = 3;
        asked.timeToFirstEvent = 2s;
        asked.firstEvents = { 30ms, 80ms, 300ms };
        return asked;
    }

    const ModelChoice choice({ .acceptFrom = 55, .acceptLateFrom = 40, .cheapFirstBelow = 0.5 });

    TEST(ModelChoiceTest, AsksTheSmallestFirstWhereItIsMuchCheaper)
    {
        EXPECT_EQ(choice.first(question()), 0U);
        ModelQuestion alike = question();
        alike.costs = { 0.3, 0.4 };
        EXPECT_EQ(choice.first(alike), 1U);
    }

    TEST(ModelChoiceTest, AsksTheLargestWhereItCanNotStepUp)
    {
        ModelQuestion last = question();
        last.attemptsLeft = 1;
        EXPECT_EQ(choice.first(last), 2U);
    }

    TEST(ModelChoiceTest, ShowsAnAnswerThatIsSure)
    {
        EXPECT_EQ(choice.stepUp(question(), 0, 54), 2U);
        EXPECT_FALSE(choice.stepUp(question(), 0, 55));
        EXPECT_FALSE(choice.stepUp(question(), 0, std::nullopt)) << "without a stated confidence nothing speaks against it";
        EXPECT_FALSE(choice.stepUp(question(), 2, 0)) << "there is no larger one";
    }

    TEST(ModelChoiceTest, ShowsALessSureOneWhereTheLargestWouldBeLate)
    {
        ModelQuestion late = question();
        late.firstEvents = { 300ms, 800ms, 3s };
        EXPECT_FALSE(choice.stepUp(late, 0, 45));
        EXPECT_EQ(choice.stepUp(late, 0, 39), 1U) << "the one between is in time";
        late.firstEvents = { 1s, 3s, 9s };
        EXPECT_EQ(choice.stepUp(late, 0, 39), 2U);
    }

}
}
