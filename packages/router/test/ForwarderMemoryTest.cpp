// Requests for engines whose memory is accounted: what they count for, for how long, and which are refused.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    constexpr std::uint32_t capacity = 100'000;

    class FakeWorkObserver final : public WorkObserver {
    public:
        std::vector<MemoryNeed> needs;

        double gave(const EndpointName&, std::chrono::nanoseconds, const std::vector<std::uint64_t>&, const MemoryNeed& need) override
        {
            needs.push_back(need);
            return 1;
        }
    };

    class ForwarderMemoryTest : public ::testing::Test {
    protected:
        void SetUp() override
        {
            config::Route& route = m_bench.useRoute(config::RequestKind::streaming, true);
            route.isGenerative = true;
            route.timeout = 15s;
            m_bench.routing.services.front().cacheTokens = capacity;
            m_bench.routing.services.front().tokensPerEvent = 6;
            m_bench.publish();
        }

        static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

        // Returns the status that the caller of a request for so many tokens sees.
        int send(std::uint32_t prompt, std::uint32_t limit, std::vector<net::HttpField> more = {})
        {
            more.push_back({ "prompt", std::to_string(prompt) });
            more.push_back({ "limit", std::to_string(limit) });
            return m_bench.send(std::move(more)).response.status;
        }

        void use(const std::string& engine, std::uint32_t tokens, std::chrono::milliseconds duration)
        {
            m_bench.directory.takeMemoryNews({ engine }, tokens, duration, m_bench.clock.now());
        }

        double largestShare() { return m_bench.directory.memoryShares(m_bench.clock.now()).largest; }

        FakeWorkObserver m_work;
        ForwarderBench m_bench { 1, { .forwarder = { .repeatRatio = 1, .repeatsPerSecond = 10, .accountMemory = true }, .work = &m_work } };
    };

    // Guards against requests that count while they don't run: before, after, or after a failed attempt.
    TEST_F(ForwarderMemoryTest, CountsARequestWhileItRuns)
    {
        double during = 0;
        m_bench.answer(200, { event(1), event(2) }).onRead = [&] { during = std::max(during, largestShare()); };
        EXPECT_EQ(send(30'000, 1'000), 200);
        EXPECT_NEAR(during, 0.31, 1e-9);
        EXPECT_EQ(largestShare(), 0);
        ASSERT_EQ(m_work.needs.size(), 1U);
        EXPECT_EQ(m_work.needs[0].tokens, 31'000U);
        EXPECT_GT(m_work.needs[0].duration, 1s);
        m_bench.lose(1);
        m_bench.answer(200, { event(1) }).onRead = [&] { during = largestShare(); };
        EXPECT_EQ(send(20'000, 1'000), 200);
        EXPECT_NEAR(during, 0.21, 1e-9) << "the first attempt's engine, which lost the request, is free";
        EXPECT_EQ(largestShare(), 0);
    }

    // Guards against a caller's limit that is counted although answers are shorter, once that is known.
    TEST_F(ForwarderMemoryTest, LearnsHowLongAnswersAre)
    {
        for (int i = 0; i < 40; ++i) {
            m_bench.answer(200, { event(1), event(2), event(3) }).onRead = [&] { m_bench.clock.advance(60ms); };
            ASSERT_EQ(send(30'000, 1'000), 200);
        }
        EXPECT_LT(m_work.needs.back().tokens, 30'100U);
        EXPECT_GE(m_work.needs.back().tokens, 30'018U);
    }

    // Guards against a stream that is resumed and counts only for what is still to come.
    TEST_F(ForwarderMemoryTest, CountsWhatAResumedStreamHasGenerated)
    {
        m_bench.answer(200, { event(200) });
        EXPECT_EQ(send(30'000, 4'000, { { "resume", "199" }, { "estimate", "100" } }), 200);
        EXPECT_GE(m_work.needs.at(0).tokens, 30'000U + 199 * 6);
        EXPECT_LE(m_work.needs.at(0).tokens, 34'000U);
    }

    // Guards against an engine that is given more than it holds while the other one has room.
    TEST_F(ForwarderMemoryTest, KeepsAwayFromAFullEngine)
    {
        m_bench.answer(200, { event(1) });
        ASSERT_EQ(send(10, 10), 200);
        use("e1", 80'000, 5s);
        for (int i = 0; i < 20; ++i) {
            m_bench.answer(200, { event(1) });
            ASSERT_EQ(send(30'000, 1'000), 200);
            EXPECT_EQ(m_bench.client.requests.back().fields[1].value, "e2");
        }
        EXPECT_GT(m_bench.metrics.counter("whinyard_full_engines_avoided_total"), 0U);
    }

    // Guards against a request that is kept until its deadline, and against a refusal without the time to come back.
    TEST_F(ForwarderMemoryTest, RefusesAtOnceWhatFitsNowhereInTime)
    {
        m_bench.answer(200, { event(1) });
        ASSERT_EQ(send(10, 10), 200);
        use("e1", 95'000, 40s);
        use("e2", 95'000, 40s);
        const SteadyTime before = m_bench.clock.now();
        const std::size_t sent = m_bench.client.requests.size();
        const FakeResponder caller = m_bench.send({ { "prompt", "30000" }, { "limit", "1000" } });
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_GE(std::stoll(caller.field("retry-after")), 40'000);
        EXPECT_EQ(m_bench.clock.now(), before);
        EXPECT_EQ(m_bench.client.requests.size(), sent);
        EXPECT_EQ(m_bench.metrics.counter("whinyard_memory_refusals_total"), 1U);
    }

    // Guards against a request that is sent where it doesn't fit yet: it waits here for the short time until it does.
    TEST_F(ForwarderMemoryTest, WaitsForRoomThatIsExpectedSoon)
    {
        m_bench.answer(200, { event(1) });
        ASSERT_EQ(send(10, 10), 200);
        use("e1", 95'000, 800ms);
        use("e2", 95'000, 9s);
        const SteadyTime before = m_bench.clock.now();
        m_bench.answer(200, { event(1) });
        EXPECT_EQ(send(30'000, 1'000), 200);
        EXPECT_GE(m_bench.clock.now() - before, 800ms);
        EXPECT_LT(m_bench.clock.now() - before, 801ms);
        EXPECT_EQ(m_bench.client.requests.back().fields[1].value, "e1");
    }

    // Guards against a request that waits for room until its deadline because others always come first.
    TEST_F(ForwarderMemoryTest, EndsTheWaitForRoomThatOthersTake)
    {
        m_bench.answer(200, { event(1) });
        ASSERT_EQ(send(10, 10), 200);
        const SteadyTime before = m_bench.clock.now();
        use("e1", 95'000, 1s);
        use("e2", 95'000, 1s);
        m_bench.fibers.onPause = [&] {
            use("e1", 20'000, 1s);
            use("e2", 20'000, 1s);
        };
        EXPECT_EQ(send(15'000, 1'000), 503);
        EXPECT_EQ(m_bench.metrics.counter("whinyard_waits_for_memory_total"), 1U);
        EXPECT_LE(m_bench.clock.now() - before, 1'600ms) << "half a second more than was expected first, and a look";
    }

    // Guards against an engine that counts as used by a request that it turned away, while that waits for another engine.
    TEST_F(ForwarderMemoryTest, HoldsNothingAtAnEngineThatTurnedItAway)
    {
        m_bench.answer(200, { event(1) });
        ASSERT_EQ(send(10, 10), 200);
        use("e2", 95'000, 800ms);
        m_bench.script(503, { { "not-run", "1" } }, {});
        m_bench.answer(200, { event(1) });
        double mean = 0;
        m_bench.fibers.onPause = [&] { mean = std::max(mean, m_bench.directory.memoryShares(m_bench.clock.now()).mean); };
        EXPECT_EQ(send(30'000, 1'000), 200);
        EXPECT_EQ(m_bench.sent(1, "endpoint"), "e1");
        EXPECT_EQ(m_bench.sent(2, "endpoint"), "e2");
        EXPECT_NEAR(mean, 0.475, 0.001) << "of the full engine alone";
    }

    // Guards against an engine that counts as used by an answer which only its caller is slow to take.
    TEST_F(ForwarderMemoryTest, HoldsNothingOnceTheEngineHasAnswered)
    {
        FakeResponder caller;
        double share = -1;
        caller.onEnd = [&] { share = largestShare(); };
        m_bench.answer(200, { event(1) });
        m_bench.send(caller, { { "prompt", "30000" }, { "limit", "1000" } });
        EXPECT_EQ(share, 0);
    }

    // Guards against a request that comes back for ever although no engine can hold it.
    TEST_F(ForwarderMemoryTest, RefusesWhatIsLargerThanAnEngine)
    {
        EXPECT_EQ(send(99'500, 1'000), 503);
        EXPECT_EQ(m_bench.client.requests.size(), 0U);
        EXPECT_EQ(m_bench.metrics.counter("whinyard_memory_refusals_total"), 1U);
    }

    // Guards against a stream that is cut although another engine could go on with it, because the engines are full.
    TEST_F(ForwarderMemoryTest, GoesOnWithAStreamOnAFullEngine)
    {
        m_bench.answer(200, { event(1) }, true).onRead = [&] {
            use("e1", 95'000, 40s);
            use("e2", 95'000, 40s);
        };
        m_bench.answer(200, { event(2) });
        const FakeResponder caller = m_bench.send({ { "prompt", "30000" }, { "limit", "1000" } });
        EXPECT_EQ(caller.response.status, 200);
        EXPECT_EQ(m_bench.client.requests.size(), 2U);
    }

    // Guards against behavior that nobody asked for.
    TEST_F(ForwarderMemoryTest, AccountsNothingWithoutTheSetting)
    {
        ForwarderBench bench;
        bench.useRoute(config::RequestKind::streaming, true).isGenerative = true;
        bench.routing.services.front().cacheTokens = capacity;
        bench.publish();
        bench.answer(200, { event(1) });
        EXPECT_EQ(bench.send({ { "prompt", "200000" }, { "limit", "1000" } }).response.status, 200);
        bench.directory.takeMemoryNews({ "e1" }, 95'000, 40s, bench.clock.now());
        EXPECT_EQ(bench.directory.memoryShares(bench.clock.now()).largest, 0);
    }

}
}
