#include "whinyard/policy/SizeBands.h"

#include "whinyard/base/FakeClock.h"

#include <gtest/gtest.h>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    TEST(SizeBandsTest, SharesEndpointsByWork)
    {
        FakeClock clock;
        SizeBands bands({ .longPrompt = 4'096, .longWeight = 1, .smallestPart = 0.2, .memory = 15s });
        EXPECT_TRUE(bands.bandFor(100).isWhole());
        for (int i = 0; i < 100; ++i) {
            bands.note(12'000, 3, clock.now());
            bands.note(700, 1, clock.now());
        }
        const EndpointBand longBand = bands.bandFor(12'000);
        const EndpointBand shortBand = bands.bandFor(700);
        EXPECT_NEAR(longBand.to, 0.75, 0.01);
        EXPECT_EQ(longBand.to, shortBand.from);
        EXPECT_EQ(shortBand.to, 1);
    }

    TEST(SizeBandsTest, LeavesAllEndpointsToTheOnlySize)
    {
        FakeClock clock;
        SizeBands bands;
        bands.note(700, 1, clock.now());
        EXPECT_TRUE(bands.bandFor(700).isWhole());
        bands.note(9'000, 1, clock.now());
        EXPECT_FALSE(bands.bandFor(700).isWhole());
        clock.advance(2min);
        bands.note(700, 1, clock.now());
        EXPECT_TRUE(bands.bandFor(700).isWhole()) << "long prompts have not come for a while";
    }

    TEST(SizeBandsTest, LeavesEitherSizeASmallestPart)
    {
        FakeClock clock;
        SizeBands bands;
        bands.note(9'000, 95, clock.now());
        bands.note(700, 5, clock.now());
        EXPECT_NEAR(bands.bandFor(700).from, 0.8, 1e-9);
    }

}
}
