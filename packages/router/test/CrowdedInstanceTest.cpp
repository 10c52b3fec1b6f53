// One instance that most new connections go to, behind a link that bears a few even shares of them.
#include "whinyard/router/CrowdedInstance.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    constexpr double evenShare = 8; // Connections a second.
    constexpr double largestCrowd = 60; // Even shares.

    // Of the requests that an instance reads, the share that it serves may fall to this part of what it was.
    constexpr double leastServedPart = 0.75;

    constexpr std::chrono::milliseconds calm { 5'000 };
    constexpr std::chrono::milliseconds timeToNotice { 3'000 };
    constexpr std::chrono::milliseconds counted { 10'000 };

    // How a crowd comes.
    enum class Arrival : std::uint8_t {
        step, // All at once.
        ramp, // Over `counted`.
    };

    std::vector<CrowdSettings> crowds()
    {
        std::vector<CrowdSettings> all;
        for (const double megabits : { 10.0, 40.0, 1'000.0 }) {
            for (const std::size_t prompt : { 1'000U, 5'000U, 50'000U }) {
                for (const bool othersLive : { true, false })
                    all.push_back({ .linkMegabits = megabits, .promptBytes = prompt, .othersLive = othersLive });
            }
        }
        return all;
    }

    std::string describe(const CrowdSettings& crowd)
    {
        return "link of " + std::to_string(crowd.linkMegabits) + " Mbit/s, prompts of " + std::to_string(crowd.promptBytes) + " bytes, others " + (crowd.othersLive ? "alive" : "gone");
    }

    // Returns what becomes of the requests of a crowd, from a while after it has come on.
    CrowdedInstance::Count countOf(const CrowdSettings& crowd, double shares, Arrival arrival)
    {
        CrowdedInstance instance(crowd);
        instance.useCallers(evenShare);
        instance.run(calm);
        for (double part = 0.1; arrival == Arrival::ramp && part < 1; part += 0.1) {
            instance.useCallers(evenShare * (1 + part * (shares - 1)));
            instance.run(counted / 10);
        }
        instance.useCallers(shares * evenShare);
        instance.run(timeToNotice);
        instance.countFromNow();
        instance.run(counted);
        instance.useCallers(0);
        return instance.takeCount();
    }

    // Guards against an instance that reads the requests of a crowd, and refuses or loses them.
    TEST(CrowdedInstanceTest, ServesWhatItReads)
    {
        for (const CrowdSettings& crowd : crowds()) {
            for (const Arrival arrival : { Arrival::step, Arrival::ramp }) {
                for (const double shares : { 1.0, 4.0, 10.0, 30.0, largestCrowd }) {
                    const CrowdedInstance::Count count = countOf(crowd, shares, arrival);
                    EXPECT_GT(count.read, 0U) << describe(crowd) << ", " << shares << " even shares";
                    EXPECT_GE(count.servedShare(), leastServedPart) << describe(crowd) << ", " << shares << " even shares: " << count.served << " of " << count.read << " served";
                }
            }
        }
    }

    // Guards against an instance that serves fewer requests the more come.
    TEST(CrowdedInstanceTest, ServesNoLessAsTheCrowdGrows)
    {
        constexpr double tolerance = 0.9;
        for (const CrowdSettings& crowd : crowds()) {
            std::size_t most = 0;
            for (const double shares : { 1.0, 4.0, 10.0, 30.0, largestCrowd }) {
                const std::size_t answered = countOf(crowd, shares, Arrival::step).answered;
                EXPECT_GE(static_cast<double>(answered), tolerance * static_cast<double>(most)) << describe(crowd) << ", " << shares << " even shares";
                most = std::max(most, answered);
            }
        }
    }

    // Guards against an instance that takes the fullness of its own link for a path that was lost.
    TEST(CrowdedInstanceTest, KeepsToItsOwnPathWhileItsLinkIsFull)
    {
        for (const CrowdSettings& crowd : crowds()) {
            CrowdedInstance instance(crowd);
            instance.useCallers(evenShare);
            instance.run(calm);
            instance.useCallers(largestCrowd * evenShare);
            for (int i = 0; i < 100 && instance.reachesDirectly(); ++i)
                instance.run(100ms);
            EXPECT_TRUE(instance.reachesDirectly()) << describe(crowd);
            EXPECT_EQ(instance.relaysAsked(), 0U) << describe(crowd);
        }
    }

    // Guards against a path that is lost in fact and isn't noticed, since the instance is crowded.
    TEST(CrowdedInstanceTest, FindsALostPathWhileItIsCrowded)
    {
        for (const CrowdSettings& crowd : crowds()) {
            if (!crowd.othersLive)
                continue;
            CrowdedInstance instance(crowd);
            instance.useCallers(evenShare);
            instance.run(calm);
            instance.useCallers(largestCrowd * evenShare);
            instance.run(timeToNotice);
            instance.cutPath(true);
            instance.run(timeToNotice);
            EXPECT_FALSE(instance.reachesDirectly()) << describe(crowd);
            instance.countFromNow();
            instance.run(counted);
            instance.useCallers(0);
            const CrowdedInstance::Count count = instance.takeCount();
            EXPECT_GE(count.servedShare(), leastServedPart) << describe(crowd) << ": " << count.served << " of " << count.read << " served";
        }
    }

    // Guards against an instance that is ready and takes nobody.
    TEST(CrowdedInstanceTest, TakesAConnectionNowAndThen)
    {
        for (const CrowdSettings& crowd : crowds()) {
            CrowdedInstance instance(crowd);
            instance.useCallers(largestCrowd * evenShare);
            instance.run(counted);
            EXPECT_LT(instance.longestWithoutAccept(), 1s) << describe(crowd);
        }
    }

}
}
