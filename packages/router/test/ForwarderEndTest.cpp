// Requests that wait while their instance ends: none is sent to an endpoint when there is no time left for its answer.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    // Grants a place as soon as it is asked whether its caller has given up often enough.
    class LatePlaceBroker final : public PlaceBroker {
    public:
        explicit LatePlaceBroker(FakeClock& clock)
            : m_clock(clock)
        {
        }

        bool isShared(const ServiceName&) const override { return true; }

        PlaceAnswer acquire(const PlaceWish&, const std::function<bool()>& isGivenUp) override
        {
            for (int looks = 0; looks < 20; ++looks) {
                if (isGivenUp())
                    return {};
                m_clock.advance(50ms);
            }
            return { .kind = PlaceAnswer::Kind::granted, .permit = 1, .endpoint = { "e1" } };
        }

        void giveBack(std::uint64_t, std::optional<policy::EndpointOutcome>, std::chrono::nanoseconds) override { ++returned; }

        int returned = 0;

    private:
        FakeClock& m_clock;
    };

    TEST(ForwarderEndTest, SendsNothingWhereTheWaitForAPermitOutlastsTheInstance)
    {
        ForwarderBench bench;
        LatePlaceBroker places(bench.clock);
        Forwarder forwarder({ bench.clock, bench.metrics, bench.source, bench.codec, bench.directory, bench.shifts, bench.models, bench.queries, bench.client, bench.listening, bench.fibers, nullptr, nullptr, &places }, {}, Random(1));
        forwarder.useVersions({ "svc" }, { "v1" });
        forwarder.endBy(bench.clock.now() + 300ms);
        FakeResponder caller;
        forwarder.handle({ .method = "POST", .target = "/p/x", .fields = { { "id", "q" }, { "host", "a.example" }, { "key", "k1" } }, .body = {} }, caller);
        EXPECT_EQ(caller.response.status, 503);
        EXPECT_TRUE(bench.client.requests.empty());
    }

    TEST(ForwarderEndTest, SendsNothingWhereTheWaitForRoomOutlastsTheInstance)
    {
        ForwarderBench bench { 1, { .forwarder = { .repeatRatio = 1, .repeatsPerSecond = 10, .accountMemory = true } } };
        config::Route& route = bench.useRoute(config::RequestKind::streaming, true);
        route.isGenerative = true;
        route.timeout = 15s;
        bench.routing.services.front().cacheTokens = 100'000;
        bench.routing.services.front().tokensPerEvent = 6;
        bench.publish();
        bench.answer(200, { "id: 1\ndata: x\n\n" });
        ASSERT_EQ(bench.send({ { "prompt", "10" }, { "limit", "10" } }).response.status, 200);
        for (const char* engine : { "e1", "e2" })
            bench.directory.takeMemoryNews({ engine }, 95'000, 800ms, bench.clock.now());
        const SteadyTime end = bench.clock.now() + 300ms;
        bench.forwarder.endBy(end);
        EXPECT_EQ(bench.send({ { "prompt", "30000" }, { "limit", "1000" } }).response.status, 503);
        EXPECT_EQ(bench.client.requests.size(), 1U);
        EXPECT_LE(bench.clock.now(), end + 100ms) << "a look later";
    }

    TEST(ForwarderEndTest, RepeatsNothingWhereTheFirstAttemptOutlastsTheInstance)
    {
        ForwarderBench bench;
        for (const std::size_t bytesWritten : { 0U, 50U }) {
            const std::size_t sent = bench.client.requests.size();
            bench.forwarder.endBy(bench.clock.now() + 300ms);
            bench.client.onCall = [&] { bench.clock.advance(400ms); };
            bench.lose(bytesWritten);
            bench.answer(200, { "whole" });
            const int status = bench.send().response.status;
            EXPECT_EQ(status, bytesWritten == 0 ? 503 : 502) << "only what has not run is said to be so";
            EXPECT_EQ(bench.client.requests.size(), sent + 1);
            bench.client.exchanges.clear();
        }
    }

    TEST(ForwarderEndTest, RefusesWhatWaitsForTheStart)
    {
        ForwarderBench bench;
        bench.useList({});
        bench.forwarder.endBy(bench.clock.now() + 30ms);
        const SteadyTime before = bench.clock.now();
        EXPECT_EQ(bench.send().response.status, 503);
        EXPECT_LE(bench.clock.now(), before + 30ms);
    }

}
}
