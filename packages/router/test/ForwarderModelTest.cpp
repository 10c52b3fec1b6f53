// Which model a request is sent to first, by the size of its prompt and by what was seen of the smallest model's answers.
#include "whinyard/router/Forwarder.h"

#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    // Before any sample the large model reads 30,700 tokens within the objective of a second, and 28,400 after the small one.
    constexpr std::uint32_t largeAloneInTime = 29'500;
    constexpr std::uint32_t bothInTime = 20'000;

    class ForwarderModelTest : public ::testing::Test {
    protected:
        explicit ForwarderModelTest(bool firstByValue = true)
            : m_bench(1, { .choice = { .cheapFirstBelow = 1, .firstByValue = firstByValue }, .forwarder = { .repeatRatio = 1, .repeatsPerSecond = 10, .enginePrice = { .delayShare = 0 } } })
        {
            config::Route& route = m_bench.useRoute(config::RequestKind::streaming, true);
            route.models = { { "small" }, { "large" } };
            route.isGenerative = true;
            m_bench.publish();
        }

        // Returns the model that the request is sent to first. Its answer states the confidence.
        std::string firstModel(std::uint32_t tokens, int confidence)
        {
            const std::size_t before = m_bench.client.requests.size();
            m_bench.script(200, { { "id", "q" }, { "signed", "s" }, { "confidence", std::to_string(confidence) } }, { "id: 1\ndata: x\n\n" });
            m_bench.script(200, { { "id", "q" }, { "signed", "t" }, { "confidence", "99" } }, { "id: 1\ndata: x\n\n" });
            m_bench.send({ { "model", "any" }, { "tokens", std::to_string(tokens) } });
            m_bench.client.exchanges.clear();
            return m_bench.sent(before, "model");
        }

        ForwarderBench m_bench;
    };

    class ForwarderModelOffTest : public ForwarderModelTest {
    protected:
        ForwarderModelOffTest()
            : ForwarderModelTest(false)
        {
        }
    };

    TEST_F(ForwarderModelTest, AsksTheLargeModelFirstWhereOnlyItAloneIsInTime)
    {
        EXPECT_EQ(firstModel(bothInTime, 60), "small");
        EXPECT_EQ(firstModel(largeAloneInTime, 60), "large");
    }

    // The chance that the small model suffices would stay at one half if its answers were not noted, or only those of a step.
    TEST_F(ForwarderModelTest, AsksTheSmallModelFirstWhereItsAnswersWereShown)
    {
        for (int i = 0; i < 20; ++i)
            EXPECT_EQ(firstModel(bothInTime, 95), "small");
        EXPECT_EQ(firstModel(largeAloneInTime, 95), "small");
        for (int i = 0; i < 40; ++i)
            firstModel(bothInTime, 10);
        EXPECT_EQ(firstModel(largeAloneInTime, 95), "large");
    }

    TEST_F(ForwarderModelOffTest, AsksTheSmallModelFirstWhateverTheSize)
    {
        EXPECT_EQ(firstModel(largeAloneInTime, 60), "small");
        EXPECT_EQ(firstModel(60'000, 60), "small");
    }

    // Sends three prompts at once that are read for 910 ms each, where two of twelve engines are meant for those that stall others.
    // Returns whether the third goes to an engine of its own.
    bool leavesGroup(bool leavesLateGroup, std::chrono::milliseconds objective)
    {
        ForwarderBench bench(1, { .selector = { .leavesLateGroup = leavesLateGroup }, .choice = {} });
        std::vector<std::string> names;
        for (int i = 0; i < 12; ++i)
            names.push_back("e" + std::to_string(i));
        bench.listEndpoints(names);
        config::Route& route = bench.useRoute(config::RequestKind::streaming, true);
        route.isGenerative = true;
        route.objective = objective;
        bench.publish();
        std::vector<std::string> used;
        for (std::size_t i = 0; i < 3; ++i) {
            bench.answer(200, { "id: 1\ndata: x\n\n" });
            bench.send({ { "tokens", "7000" } });
            used.push_back(bench.sent(i, "endpoint"));
        }
        EXPECT_NE(used[0], used[1]);
        const bool leaves = used[2] != used[0] && used[2] != used[1];
        EXPECT_EQ(bench.metrics.counter("whinyard_stalling_prompts_total{place=\"other\"}"), leaves ? 1U : 0U);
        return leaves;
    }

    // The third prompt would begin 1,820 ms after its arrival at an engine of the group.
    TEST(ForwarderStallingTest, LeavesTheGroupWhereTheObjectiveOfTheRouteWouldBeMissed)
    {
        using namespace std::chrono_literals;
        EXPECT_TRUE(leavesGroup(true, 1'800ms));
        EXPECT_FALSE(leavesGroup(true, 3'000ms)) << "in time, it stalls no further streams";
        EXPECT_FALSE(leavesGroup(false, 1'800ms)) << "off, the penalty holds";
    }

}
}
