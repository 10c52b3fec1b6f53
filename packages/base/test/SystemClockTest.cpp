#include "whinyard/base/Clock.h"

#include "whinyard/base/SuspendedClock.h"

#include <gtest/gtest.h>

namespace whinyard {
namespace {

    using namespace std::chrono_literals;

    // A configuration, a lease or a statement of another instance that was fresh when the machine was suspended is old when it
    // wakes. The steady clock stands still meanwhile.
    TEST(SystemClockTest, CountsTheTimeOfASuspension)
    {
        const SystemClock clock;
        const SteadyTime before = clock.now();
        const WallTime wallBefore = clock.wallNow();
        suspend(20s);
        EXPECT_GE(clock.now() - before, 20s);
        EXPECT_LT(clock.now() - before, 30s);
        EXPECT_GE(clock.wallNow() - wallBefore, 20s);
    }

    TEST(SystemClockTest, GoesOnByItself)
    {
        const SystemClock clock;
        const SteadyTime before = clock.now();
        while (clock.now() == before)
            ;
        EXPECT_GT(clock.now(), before);
    }

}
}
