// Sessions that a trial must leave on their version.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

#include <string>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    // Seen: sessions were drawn to a new version two seconds after a long answer, since they were remembered from its begin on.
    TEST(ForwarderSessionTest, LeavesASessionOnItsVersionForItsGapAfterAnAnswer)
    {
        ForwarderBench bench;
        bench.useRoute(config::RequestKind::idempotent).timeout = 20s;
        bench.publish();
        std::vector<backing::ListedEndpoint> listed;
        for (const std::string version : { "v1", "v2" }) {
            listed.push_back(ForwarderBench::endpointIn({ "" }, version));
            listed.back().versions = { targetName({ "svc" }, version) };
        }
        bench.directory.replace(listed, bench.clock.now());
        bench.forwarder.useVersions({ "svc" }, { "v1" });
        const auto isDrawnFirst = [](const std::string& session) { return static_cast<double>(stableHash(session) >> 11) * 0x1.0p-53 < 0.01; };
        int number = 0;
        while (!isDrawnFirst("s" + std::to_string(number)))
            ++number;
        const std::string session = "s" + std::to_string(number);

        bench.answer(200, { "yes" });
        bench.client.onCall = [&] { bench.clock.advance(4s); };
        bench.send({ { "session", session } });
        ASSERT_EQ(bench.sent(0, "endpoint"), "v1");
        bench.forwarder.useVersions({ "svc" }, { "v1", "v2" });
        bench.shifts.takeOrder({ { "svc" }, "v2", 24s, 10 }, bench.clock.now());
        bench.clock.advance(2s);
        bench.answer(200, { "yes" });
        bench.send({ { "session", session } });
        EXPECT_EQ(bench.sent(1, "endpoint"), "v1");

        bench.clock.advance(6s);
        bench.answer(200, { "yes" });
        bench.send({ { "session", session } });
        EXPECT_EQ(bench.sent(2, "endpoint"), "v2") << "after its gap it is a new one";
    }

}
}
