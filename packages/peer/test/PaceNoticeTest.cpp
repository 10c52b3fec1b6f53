#include "whinyard/peer/Notices.h"

#include <gtest/gtest.h>

#include <limits>

namespace whinyard::peer {
namespace {

    policy::PaceNews news(double sum, std::uint32_t samples = 1) { return { { "engine-1" }, 7, sum, samples }; }

    double readSum(double sum) { return std::get<PaceNotice>(*decodeNotice(encodeNotice(PaceNotice { { news(sum) } }))).paces.front().sum; }

    // Guards against a notice that makes the receiver reserve or count without bounds.
    TEST(PaceNoticeTest, RefusesMoreThanOneNoticeHolds)
    {
        EXPECT_TRUE(decodeNotice(encodeNotice(PaceNotice { std::vector<policy::PaceNews>(mostPaces, news(1)) })));
        EXPECT_FALSE(decodeNotice(encodeNotice(PaceNotice { std::vector<policy::PaceNews>(mostPaces + 1, news(1)) })));
        EXPECT_TRUE(decodeNotice(encodeNotice(PaceNotice { { news(1, policy::EnginePaces::mostSamples) } })));
        EXPECT_FALSE(decodeNotice(encodeNotice(PaceNotice { { news(1, policy::EnginePaces::mostSamples + 1) } })));
    }

    TEST(PaceNoticeTest, KeepsTheSignOfSumsAndBoundsThem)
    {
        EXPECT_NEAR(readSum(0.5978), 0.598, 1e-9);
        EXPECT_NEAR(readSum(-0.5978), -0.598, 1e-9);
        EXPECT_EQ(readSum(0), 0);
        EXPECT_EQ(readSum(1e9), 1'000);
        EXPECT_EQ(readSum(-1e9), -1'000);
        EXPECT_EQ(readSum(std::numeric_limits<double>::infinity()), 0);
        EXPECT_EQ(readSum(std::numeric_limits<double>::quiet_NaN()), 0);
    }

    // A datagram that is cut into fragments is lost with any of them.
    TEST(PaceNoticeTest, AFullNoticeFitsIntoADatagram)
    {
        std::vector<policy::PaceNews> paces(mostPaces, { { "svc-large-language-0123456789" }, 1'764'766'000'000, 1.182, 5 });
        EXPECT_LE(encodeNotice(PaceNotice { paces }).size(), 1'400U);
    }

}
}
