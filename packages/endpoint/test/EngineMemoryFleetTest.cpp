// Long prompts that affinity keeps together on a few engines, and how full the engines get with and without the account of memory.
#include "whinyard/endpoint/EngineFleet.h"

#include <gtest/gtest.h>

namespace whinyard::endpoint {
namespace {

    using namespace std::chrono_literals;
    using namespace fleet;

    // What callers need: nearly all long prompts are served, and not fewer of them in time than without the account.
    constexpr double leastServed = 0.99;

    std::size_t shareOf(std::size_t count, double share) { return static_cast<std::size_t>(share * static_cast<double>(count)); }

    // The long prompts of a deployment of 58 instances and 90 engines, of which the longest are kept together on a tenth of the
    // engines. Guards against engines that preempt requests because they are given more than their memory holds.
    TEST(EngineMemoryFleetTest, KeepsEnginesOfADeploymentWithinTheirMemory)
    {
        for (const std::uint64_t seed : { 1U, 2U, 3U }) {
            EngineFleet without({ .accounts = false, .seed = seed });
            without.run(40s);
            EXPECT_GT(without.mostShare, 1) << "the load is too light to show anything";
            EngineFleet with({ .seed = seed });
            with.run(40s);
            EXPECT_LE(with.mostShare, 1);
            EXPECT_GT(with.avoided, 0U);
            EXPECT_EQ(with.refused, 0U);
            EXPECT_GE(with.longServed, shareOf(without.longServed, leastServed));
            EXPECT_GE(with.longInTime, without.longInTime);
        }
    }

    // Each request is told to a part of a larger fleet. Guards against instances that believe what they hear to be all. The account
    // is right in the mean only, so engines are overfilled at times, though less than without it.
    TEST(EngineMemoryFleetTest, EstimatesWhatIsToldToOtherInstancesOnly)
    {
        EngineFleet without({ .instances = 200, .accounts = false });
        without.run(40s);
        EngineFleet with({ .instances = 200 });
        with.run(40s);
        EXPECT_LE(with.overfilled, without.overfilled / 2);
        EXPECT_EQ(with.refused, 0U);
        EXPECT_GE(with.longInTime, without.longInTime);
    }

    // One notice in ten is lost. Guards against an account that holds only while every notice arrives: what an instance believes to
    // be 0.9 of an engine's memory is the whole of it in the mean, and by chance one of the largest prompts more.
    TEST(EngineMemoryFleetTest, BearsLostNotices)
    {
        EngineFleet without({ .accounts = false, .lostNotices = 0.1 });
        without.run(40s);
        EngineFleet with({ .lostNotices = 0.1 });
        with.run(40s);
        EXPECT_LE(with.mostShare, 1 + 60'000.0 / capacity);
        EXPECT_LE(with.overfilled, without.overfilled / 20);
        EXPECT_EQ(with.refused, 0U);
        EXPECT_GE(with.longInTime, without.longInTime);
    }

    // Guards against usage of an instance that ended which stays in the account of the others, and shuts the engines to them.
    TEST(EngineMemoryFleetTest, ForgetsWhatAnEndedInstanceHeld)
    {
        EngineFleet fleet({ .instances = 6, .engines = 12, .longPerSecond = 12, .shortPerSecond = 20 });
        fleet.run(10s);
        ASSERT_GT(fleet.directory(1).memoryShares(fleet.now).largest, 0.2);
        fleet.kill(0);
        fleet.kill(2);
        fleet.stopLoad();
        fleet.run(90s);
        for (const std::size_t survivor : { 1U, 3U, 4U, 5U })
            EXPECT_LT(fleet.directory(survivor).memoryShares(fleet.now).largest, 0.001);
        EXPECT_EQ(fleet.refused, 0U);
    }

    // Guards against an engine that stays shut after a restart, for requests that its earlier process held.
    TEST(EngineMemoryFleetTest, UsesAnEngineThatRestartedAtOnce)
    {
        EngineFleet fleet({ .instances = 6, .engines = 3, .slots = 32, .longPerSecond = 20, .shortPerSecond = 0 });
        fleet.run(30s);
        ASSERT_GT(fleet.directory(0).memoryShares(fleet.now).mean, 0.8);
        fleet.restart(1);
        fleet.dispatches.clear();
        fleet.run(1s);
        EXPECT_GE(fleet.dispatches[1], 10U) << "half of the load, since the other engines are full";
    }

    // More than the engines hold together. Guards against engines that are overfilled when all are full, but for one prompt that was
    // sent while the notice of another one was on its way; against requests that are kept until their deadline and then refused; and
    // against an account that shuts engines which have room.
    TEST(EngineMemoryFleetTest, RefusesEarlyWhatTheEnginesCanNotHold)
    {
        EngineFleet fleet({ .engines = 22, .slots = 32, .shortPerSecond = 10 });
        fleet.run(40s);
        EXPECT_LE(fleet.mostShare, 1 + 20'000.0 / capacity);
        EXPECT_GT(fleet.refused, 0U);
        EXPECT_LT(fleet.longestHeldBack, deadline / 2);
        double held = 0;
        for (std::size_t i = 0; i < 22; ++i)
            held += fleet.held(i) / capacity / 22;
        EXPECT_GT(held, 0.6);
    }

}
}
