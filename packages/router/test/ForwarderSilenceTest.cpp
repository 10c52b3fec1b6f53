// Engines that fall silent amid a stream and go on.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    class ForwarderSilenceTest : public ::testing::Test {
    protected:
        ForwarderSilenceTest()
        {
            config::Route& route = m_bench.useRoute(config::RequestKind::streaming, true);
            route.timeout = 20s;
            route.objective = 2s;
            route.pauseObjective = 1'500ms;
            m_bench.publish();
        }

        // Has an engine send two events with a silence between, and another one the second event. Returns how many engines were asked.
        std::size_t enginesAsked(std::chrono::milliseconds silence)
        {
            m_bench.client.requests.clear();
            m_bench.client.exchanges.clear();
            int reads = 0;
            m_bench.answer(200, { event(1), event(2) }).onRead = [&, silence] {
                for (std::chrono::milliseconds passed { 0 }; ++reads == 2 && passed < silence; passed += 10ms, --reads) {
                    m_bench.clock.advance(10ms);
                    m_bench.forwarder.tick();
                }
            };
            m_bench.answer(200, { event(2) });
            const FakeResponder caller = m_bench.send({ { "wait", "20000" } });
            EXPECT_EQ(caller.response.body, event(1) + event(2));
            EXPECT_TRUE(caller.ended);
            return m_bench.client.requests.size();
        }

        static std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

        ForwarderBench m_bench;
    };

    // Guards against a stream on which two engines work, because the first one was silent for about a second and is sound.
    TEST_F(ForwarderSilenceTest, LeavesAStreamWithAnEngineThatIsSilentForAMoment)
    {
        EXPECT_EQ(enginesAsked(880ms), 1U);
    }

    TEST_F(ForwarderSilenceTest, TakesAStreamElsewhereInTimeForItsCaller)
    {
        EXPECT_EQ(enginesAsked(1'200ms), 2U);
    }

}
}
