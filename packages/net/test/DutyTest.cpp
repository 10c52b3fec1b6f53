#include "whinyard/net/Duty.h"

#include "whinyard/base/EndedChild.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <future>
#include <stdexcept>
#include <vector>

namespace whinyard::net {
namespace {

    using std::chrono::milliseconds;
    constexpr std::chrono::seconds longTime { 60 };

    [[gnu::noinline]] int overflow(int depth)
    {
        volatile char frame[512] = {};
        frame[0] = static_cast<char>(depth);
        return depth < 0 ? 0 : overflow(depth + 1) + frame[0];
    }

    TEST(DutyTest, RunsTasksInFibersOfItsThread)
    {
        Duty duty("first");
        std::vector<int> order;
        runOn(duty, [&] {
            EXPECT_EQ(Duty::current(), &duty);
            Signal signal;
            duty.spawn([&] {
                order.push_back(1);
                signal.notify();
                order.push_back(2);
            });
            EXPECT_TRUE(signal.wait(longTime));
            order.push_back(3);
        });
        EXPECT_EQ(order, (std::vector<int> { 1, 2, 3 }));
        EXPECT_FALSE(duty.isCurrent());
    }

    TEST(DutyTest, FullRingRefuses)
    {
        Duty duty("small", 2);
        std::promise<void> entered;
        std::promise<void> release;
        ASSERT_TRUE(duty.post([&] {
            entered.set_value();
            release.get_future().wait(); // Holds the whole thread.
        }));
        entered.get_future().wait();
        std::promise<void> last;
        EXPECT_TRUE(duty.post([] {}));
        EXPECT_TRUE(duty.post([&] { last.set_value(); }));
        EXPECT_FALSE(duty.post([] {}));
        EXPECT_FALSE(callOn(duty, [] { return 1; }));
        release.set_value();
        last.get_future().wait();
        EXPECT_EQ(callOn(duty, [] { return 1; }), 1);
    }

    TEST(DutyTest, CallsAnotherDutyWithoutBlockingItsOwn)
    {
        Duty first("first");
        Duty second("second");
        bool otherFiberRan = false;
        runOn(first, [&] {
            Signal answered;
            second.post([&] {
                // The second duty calls back into the first one while that waits for it.
                EXPECT_EQ(callOn(first, [&] { return otherFiberRan = true; }), true);
            });
            const auto result = callOn(second, [] {
                sleepFor(milliseconds(1));
                return Duty::current()->name();
            });
            EXPECT_EQ(result, "second");
        });
        EXPECT_EQ(callOn(first, [] { return 7; }), 7);
        second.stop();
        EXPECT_TRUE(otherFiberRan);
        EXPECT_FALSE(callOn(second, [] { return 1; }));
        EXPECT_FALSE(second.post([] {}));
    }

    TEST(DutyTest, StopAbandonsFibersThatWait)
    {
        struct Unwound {
            bool& flag;
            ~Unwound() { flag = true; }
        };
        static bool unwound = false; // The abandoned stack refers to it for ever.
        Duty duty("stopped");
        runOn(duty, [&] {
            duty.spawn([] {
                const Unwound guard { unwound };
                sleepFor(std::chrono::hours(1));
            });
        });
        duty.stop();
        EXPECT_FALSE(unwound);
        EXPECT_FALSE(callOn(duty, [] { return 1; }));
    }

    TEST(SignalTest, WakesAllThatWaitAndTimesOut)
    {
        Duty duty("signal");
        runOn(duty, [&] {
            Signal signal;
            Signal done;
            int woken = 0;
            for (int i = 0; i < 3; ++i) {
                duty.spawn([&] {
                    EXPECT_TRUE(signal.wait(std::chrono::nanoseconds::max()));
                    if (++woken == 3)
                        done.notify();
                });
            }
            EXPECT_FALSE(signal.wait(milliseconds(1)));
            signal.notify();
            EXPECT_TRUE(woken == 3 || done.wait(longTime));
            EXPECT_EQ(woken, 3);
        });
    }

    // Guards against an end without a line: the signal's handler finds no room on a stack that has overflowed.
    TEST(DutyTest, TellsAnOverflowOfAFibersStack)
    {
        const EndedChild child = runInChild([] {
            Duty duty("deep");
            runOn(duty, [] { overflow(0); });
        });
        EXPECT_TRUE(child.endedBy(SIGSEGV)) << child.status;
        ASSERT_EQ(child.lines.size(), 1U);
        const nlohmann::json line = nlohmann::json::parse(child.lines.back());
        EXPECT_EQ(line["signal"], "SIGSEGV");
        EXPECT_EQ(line["threadName"], "deep");
        EXPECT_GT(line["stack"].size(), 10U) << "the calls that filled it";
    }

    TEST(DutyTest, TellsAnExceptionThatLeavesAFiber)
    {
        const EndedChild child = runInChild([] {
            Duty duty("throwing");
            runOn(duty, [] { throw std::runtime_error("from a fiber"); });
        });
        EXPECT_TRUE(child.endedBy(SIGABRT)) << child.status;
        ASSERT_EQ(child.lines.size(), 1U);
        const nlohmann::json line = nlohmann::json::parse(child.lines.back());
        EXPECT_EQ(line["exception"], "std::runtime_error");
        EXPECT_EQ(line["what"], "from a fiber");
        EXPECT_EQ(line["threadName"], "throwing");
    }

}
}
