#include "whinyard/policy/AnswerLengths.h"

#include "whinyard/base/Random.h"

#include <gtest/gtest.h>

#include <cmath>
#include <numbers>

namespace whinyard::policy {
namespace {

    using namespace std::chrono_literals;

    double normal(Random& random)
    {
        return std::sqrt(-2 * std::log(1 - uniform(random))) * std::cos(2 * std::numbers::pi * uniform(random));
    }

    // Answers of 380 tokens in the median, half of them between about 240 and 600.
    std::uint32_t drawLength(Random& random)
    {
        return static_cast<std::uint32_t>(380 * std::exp(0.7 * normal(random)));
    }

    // Guards against a request that counts less than it may generate where nothing is known yet, or more than it ever may.
    TEST(AnswerLengthsTest, TakesTheCallersWordBeforeAnythingIsKnown)
    {
        const AnswerLengths lengths;
        EXPECT_EQ(lengths.expected("r", 300, 1'000), 300U);
        EXPECT_EQ(lengths.expected("r", 3'000, 1'000), 1'000U);
        EXPECT_EQ(lengths.expected("r", 0, 1'000), 1'000U);
        EXPECT_GT(lengths.expected("r", 0, 0), 0U);
        EXPECT_GT(lengths.tokenTime("r"), 0ns);
    }

    // Guards against estimates that are right at the median and often off by a factor of ten: what many requests on one engine
    // need together must not be far from what they were expected to.
    TEST(AnswerLengthsTest, BoundsEstimatesThatAreFarOff)
    {
        Random random(5);
        AnswerLengths lengths;
        double needed = 0;
        double expected = 0;
        double estimated = 0;
        for (int i = 0; i < 6'000; ++i) {
            const std::uint32_t length = drawLength(random);
            const auto estimate = static_cast<std::uint32_t>(1 + length * std::exp(1.5 * normal(random)));
            if (i >= 2'000) {
                needed += length;
                expected += lengths.expected("r", estimate, 0);
                estimated += estimate;
            }
            lengths.learn("r", length, 10ms * length);
        }
        EXPECT_GT(estimated, 2 * needed);
        EXPECT_GT(expected, 0.9 * needed);
        EXPECT_LT(expected, 1.5 * needed);
        EXPECT_NEAR(static_cast<double>(lengths.tokenTime("r").count()), 10e6, 1e6);
    }

    // Guards against the whole limit being counted for each request of callers that give no estimate.
    TEST(AnswerLengthsTest, LearnsWhatIsUsualOnARoute)
    {
        Random random(6);
        AnswerLengths lengths;
        double needed = 0;
        for (int i = 0; i < 2'000; ++i) {
            const std::uint32_t length = drawLength(random);
            needed += length / 2'000.0;
            lengths.learn("r", length, 0ns);
        }
        EXPECT_GT(lengths.expected("r", 0, 8'000), 0.9 * needed);
        EXPECT_LT(lengths.expected("r", 0, 8'000), 1.5 * needed);
        EXPECT_EQ(lengths.expected("other", 0, 8'000), 8'000U);
    }

    // Guards against a stream that goes on elsewhere being counted with fewer tokens than it has already.
    TEST(AnswerLengthsTest, CountsWhatAStreamHasGeneratedAlready)
    {
        const AnswerLengths lengths;
        EXPECT_GT(lengths.expected("r", 300, 2'000, 900), 900U);
        EXPECT_EQ(lengths.expected("r", 300, 1'000, 900), 1'000U);
        EXPECT_EQ(lengths.expected("r", 300, 2'000, 100), 300U);
    }

    // Guards against memory that grows with the names of routes that a configuration had over time.
    TEST(AnswerLengthsTest, RemembersABoundedNumberOfRoutes)
    {
        AnswerLengths lengths;
        for (std::size_t route = 0; route <= AnswerLengths::mostRoutes; ++route) {
            for (int i = 0; i < 100; ++i)
                lengths.learn("r" + std::to_string(route), 50, 0ns);
        }
        EXPECT_LT(lengths.expected("r0", 0, 8'000), 100U);
        EXPECT_EQ(lengths.expected("r" + std::to_string(AnswerLengths::mostRoutes), 0, 8'000), 8'000U);
    }

}
}
