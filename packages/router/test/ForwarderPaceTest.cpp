// Which answers show how fast an engine is, and what the others are told of work.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: d\n\n"; }

    std::vector<net::HttpField> tokens(int count) { return { { "tokens", std::to_string(count) } }; }

    class ForwarderPaceTest : public testing::Test {
    protected:
        void SetUp() override { useGenerativeRoute(m_bench); }

        static void useGenerativeRoute(ForwarderBench& bench)
        {
            config::Route& route = bench.useRoute(config::RequestKind::streaming, true);
            route.isGenerative = true;
            route.objective = 2s;
            route.pauseObjective = 10s;
            route.timeout = 15s;
            bench.publish();
        }

        static policy::WaitSelectorSettings selector()
        {
            policy::WaitSelectorSettings settings;
            settings.sharesPaces = true;
            return settings;
        }

        // Scripts an answer of these pieces, each of which comes after `elapsed`.
        void answerSlowly(std::chrono::milliseconds elapsed, std::vector<std::string> pieces, bool lost = false)
        {
            m_bench.answer(200, std::move(pieces), lost).onRead = [this, elapsed] { m_bench.clock.advance(elapsed); };
        }

        std::vector<policy::PaceNews> samples() { return m_bench.directory.takePaceNewsToTell(24, m_bench.clock.now()); }

        ForwarderBench m_bench { 1, { .selector = selector() } };
    };

    // Guards against samples that come with the end of a stream, many seconds late, and measure all of it.
    TEST_F(ForwarderPaceTest, TakesTheTimeToTheFirstEvent)
    {
        std::vector<policy::PaceNews> atSecondEvent;
        m_bench.answer(200, { event(1), event(2) }).onRead = [this, &atSecondEvent, reads = 0]() mutable {
            if (++reads == 2)
                atSecondEvent = samples();
            m_bench.clock.advance(3s);
        };
        EXPECT_EQ(m_bench.send(tokens(12'000)).response.status, 200);
        ASSERT_EQ(atSecondEvent.size(), 1U);
        EXPECT_EQ(atSecondEvent.front().engine.value, m_bench.sent(0, "endpoint"));
        EXPECT_EQ(atSecondEvent.front().samples, 1U);
        EXPECT_GT(atSecondEvent.front().sum, 0);
        EXPECT_TRUE(samples().empty()) << "one sample of an answer";
    }

    // The fixed part of the time is the same at every engine.
    TEST_F(ForwarderPaceTest, TakesNoneOfAShortPrompt)
    {
        answerSlowly(1s, { event(1) });
        EXPECT_EQ(m_bench.send(tokens(500)).response.status, 200);
        EXPECT_TRUE(samples().empty());
    }

    // Guards against an engine that looks slow for the prompt ahead of this one.
    TEST_F(ForwarderPaceTest, TakesNoneOfARequestThatWaitedForAnother)
    {
        for (const char* name : { "e1", "e2" })
            m_bench.directory.recordWork({ name }, 2s, m_bench.clock.now());
        answerSlowly(3s, { event(1) });
        EXPECT_EQ(m_bench.send(tokens(12'000)).response.status, 200);
        EXPECT_TRUE(samples().empty());
    }

    // The engine prefills what was generated before as well, which the expectation doesn't hold.
    TEST_F(ForwarderPaceTest, TakesNoneOfAStreamThatIsResumed)
    {
        std::vector<net::HttpField> fields = tokens(12'000);
        fields.push_back({ "resume", "4" });
        answerSlowly(3s, { event(5) });
        EXPECT_EQ(m_bench.send(fields).response.status, 200);
        EXPECT_TRUE(samples().empty());
    }

    TEST_F(ForwarderPaceTest, TakesNoneOfTheAttemptThatGoesOnWithABrokenStream)
    {
        answerSlowly(1s, { event(1) }, true);
        answerSlowly(1s, { event(2) });
        EXPECT_EQ(m_bench.send(tokens(12'000)).response.status, 200);
        ASSERT_EQ(m_bench.client.requests.size(), 2U);
        const std::vector<policy::PaceNews> news = samples();
        ASSERT_EQ(news.size(), 1U) << "the first attempt's alone";
        EXPECT_EQ(news.front().engine.value, m_bench.sent(0, "endpoint"));
    }

    // Guards against failures and silence that count as a speed.
    TEST_F(ForwarderPaceTest, TakesNoneOfAttemptsWithoutAnEvent)
    {
        m_bench.answer(500, { "no" });
        m_bench.lose(50);
        m_bench.answer(200, { event(1) }).onRead = [this] {
            m_bench.clock.advance(5s);
            m_bench.forwarder.tick(); // Gives the attempt up.
        };
        m_bench.send(tokens(12'000));
        EXPECT_EQ(m_bench.client.requests.size(), 3U);
        EXPECT_TRUE(samples().empty());
    }

    // Guards against a factor that counts twice: each instance multiplies what it hears by its own belief.
    TEST_F(ForwarderPaceTest, TellsOthersTheWorkOfAnOrdinaryEngine)
    {
        struct Observer final : WorkObserver {
            double gave(const EndpointName&, std::chrono::nanoseconds work, const std::vector<std::uint64_t>&, const MemoryNeed&) override
            {
                told = work;
                return 0;
            }
            std::chrono::nanoseconds told { 0 };
        };
        Observer observer;
        ForwarderBench bench(1, { .selector = selector() });
        Forwarder forwarder({ bench.clock, bench.metrics, bench.source, bench.codec, bench.directory, bench.shifts, bench.models, bench.queries, bench.client, bench.listening, bench.fibers, &observer }, {}, Random(2));
        forwarder.useVersions({ "svc" }, { "v1" });
        useGenerativeRoute(bench);
        const SteadyTime now = bench.clock.now();
        bench.directory.takePaceNews({ { "e1" }, 0, 60, 60 }, now);
        bench.directory.takePaceNews({ { "e2" }, 0, 0, 60 }, now);
        bench.directory.refresh(now);
        const double pace = bench.directory.pace({ "e1" });
        ASSERT_GT(pace, 1.4);
        bench.directory.recordWork({ "e2" }, 60s, now); // So that e1 is chosen.
        bench.answer(200, { event(1) });
        FakeResponder caller;
        forwarder.handle({ .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k1" }, { "tokens", "12000" } }, .body = "body" }, caller);
        ASSERT_EQ(caller.response.status, 200);
        ASSERT_EQ(bench.sent(0, "endpoint"), "e1");
        ASSERT_GT(observer.told, 0ns);
        EXPECT_NEAR(static_cast<double>(bench.directory.backlog({ "e1" }, now).count()) / static_cast<double>(observer.told.count()), pace, 0.01);
    }

}
}
