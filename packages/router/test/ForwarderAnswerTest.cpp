// Whole answers that are read in vain: what is told of their bytes, and of those that leave no room for others.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    constexpr std::size_t bound = 128 * 1024;

    const ForwarderBenchParts bounded { .forwarder = { .repeatRatio = 1, .repeatsPerSecond = 10, .answerBytes = bound } };

    // Guards against what an endpoint wastes being counted as what a caller's connection costs.
    TEST(ForwarderAnswerTest, TellsHowMuchWasReadInVain)
    {
        ForwarderBench bench;
        bench.answer(200, { "half" }, true);
        bench.answer(200, { "whole" });
        EXPECT_EQ(bench.send().response.body, "whole");
        EXPECT_EQ(bench.forwarder.takeWastedBytes(), 4U);
        EXPECT_EQ(bench.forwarder.takeWastedBytes(), 0U) << "told once";
    }

    // Guards against an answer that takes all memory, and against a caller who is told that such a request has not run.
    TEST(ForwarderAnswerTest, TakesAnAnswerThatLeavesNoRoomForItsEndpointsFailure)
    {
        const std::vector<std::string> large(bound / 1'024 + 1, std::string(1'024, 'x'));
        ForwarderBench bench(1, bounded);
        bench.answer(200, large);
        bench.answer(200, { "whole" });
        EXPECT_EQ(bench.send().response.body, "whole") << "it is repeated";
        EXPECT_GT(bench.forwarder.takeWastedBytes(), 0U);
        bench.useRoute(config::RequestKind::nonIdempotent);
        bench.answer(200, large);
        EXPECT_EQ(bench.send().response.status, 502) << "it may have run";
        bench.answer(500, large);
        EXPECT_EQ(bench.send().response.status, 502) << "a failure that doesn't fit isn't the endpoint's own";
        EXPECT_EQ(bench.metrics.counter("whinyard_answers_given_up_total"), 3U);
    }

    // Guards against sound answers that are lost because a larger one takes the room.
    TEST(ForwarderAnswerTest, GivesTheLargerOfTwoAnswersUp)
    {
        ForwarderBench bench(1, bounded);
        bench.useRoute(config::RequestKind::nonIdempotent);
        int reads = 0;
        bench.answer(200, std::vector<std::string>(60, std::string(1'024, 'x'))).onRead = [&] {
            if (++reads != 30)
                return;
            // Another request's answer grows while this one is read.
            bench.answer(200, std::vector<std::string>(200, std::string(1'024, 'y')));
            EXPECT_EQ(bench.send().response.status, 502);
        };
        EXPECT_EQ(bench.send().response.body.size(), 60U * 1'024);
    }

}
}
