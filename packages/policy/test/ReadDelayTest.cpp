#include "whinyard/policy/ReadDelay.h"

#include <gtest/gtest.h>

namespace whinyard::policy {

namespace {

    using namespace std::chrono_literals;

    const SteadyTime start { 1h };

    // Turns 50 ms apart.
    void turn(ReadDelay& delay, SteadyTime from, SteadyTime to)
    {
        for (SteadyTime at = from; at <= to; at += 50ms)
            delay.noteTurn(at);
    }

    TEST(ReadDelayTest, TakesARequestForFreshWhileTurnsAreOnTime)
    {
        ReadDelay delay;
        EXPECT_EQ(delay.sentSince(start), start) << "before the first turn";
        turn(delay, start, start + 1s);
        EXPECT_EQ(delay.sentSince(start + 1'040ms), start + 1'040ms);
    }

    // Guards against requests that waited through a stall and count as sent after it, whether they are read before the first turn or after.
    TEST(ReadDelayTest, DatesWhatIsReadAfterAStallByItsBegin)
    {
        ReadDelay delay;
        turn(delay, start, start + 1s);
        EXPECT_EQ(delay.sentSince(start + 3'500ms), start + 1s) << "before the first turn after it";
        turn(delay, start + 3'500ms, start + 3'700ms);
        EXPECT_EQ(delay.sentSince(start + 3'700ms), start + 1s);
        turn(delay, start + 3'750ms, start + 4s);
        EXPECT_EQ(delay.sentSince(start + 4s), start + 4s) << "what waited has been read by now";
    }

    TEST(ReadDelayTest, DatesByTheLastTurnsWhereEachIsLate)
    {
        ReadDelay delay;
        for (SteadyTime at = start; at <= start + 10s; at += 400ms)
            delay.noteTurn(at);
        EXPECT_EQ(delay.sentSince(start + 10s), start + 9'600ms);
    }

    TEST(ReadDelayTest, DatesByTheLongestOfStallsThatFollowEachOther)
    {
        ReadDelay delay;
        turn(delay, start, start + 1s);
        delay.noteTurn(start + 3s);
        delay.noteTurn(start + 3'200ms);
        EXPECT_EQ(delay.sentSince(start + 3'250ms), start + 1s);
        EXPECT_EQ(delay.sentSince(start + 3'320ms), start + 3s);
    }

}

}
