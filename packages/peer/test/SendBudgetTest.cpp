#include "whinyard/peer/SendBudget.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::peer {
namespace {

    using namespace std::chrono_literals;

    // Guards against a source whose link is full of lists: none of them ends in time then.
    TEST(SendBudgetTest, LeavesHalfOfTheLink)
    {
        FakeClock clock;
        SendBudget budget(20);
        std::size_t bytes = 0;
        for (int millisecond = 0; millisecond < 10'000; ++millisecond, clock.advance(1ms)) {
            if (budget.wait(clock.now()).count() > 0)
                continue;
            budget.note(60'000, 0ns, clock.now());
            bytes += 60'000;
        }
        EXPECT_LE(bytes, 10 * 1'250'000 + 500'000 + 60'000);
        EXPECT_GE(bytes, 10 * 1'250'000);
    }

    TEST(SendBudgetTest, SaysWhenToComeBack)
    {
        FakeClock clock;
        SendBudget budget(20);
        budget.note(1'250'000, 0ns, clock.now());
        EXPECT_EQ(budget.wait(clock.now()), 600ms);
        clock.advance(600ms);
        EXPECT_EQ(budget.wait(clock.now()), 0ms);
    }

    // Guards against a source that makes answers for those that have given it up: each of them takes a small machine a good part of a
    // second, and more ask meanwhile.
    TEST(SendBudgetTest, LeavesHalfOfTheTime)
    {
        FakeClock clock;
        SendBudget budget(0);
        std::chrono::milliseconds worked { 0 };
        for (int look = 0; look < 1'000; ++look, clock.advance(10ms)) {
            if (budget.wait(clock.now()).count() > 0)
                continue;
            clock.advance(300ms);
            budget.note(1, 300ms, clock.now());
            worked += 300ms;
        }
        EXPECT_LE(worked, (clock.now() - FakeClock().now()) / 2 + 600ms);
    }

}
}
