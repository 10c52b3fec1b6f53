// Requests of an instance that ends: none is sent to an endpoint when there may be no time left for its answer, and what is under way is
// answered.
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
            if (onAcquire)
                onAcquire();
            for (int looks = 0; looks < 20; ++looks) {
                if (isGivenUp())
                    return {};
                m_clock.advance(50ms);
            }
            return { .kind = PlaceAnswer::Kind::granted, .permit = 1, .endpoint = { "e1" } };
        }

        void giveBack(std::uint64_t, std::optional<policy::EndpointOutcome>, std::chrono::nanoseconds) override { ++returned; }

        int returned = 0;
        std::function<void()> onAcquire;

    private:
        FakeClock& m_clock;
    };

    TEST(ForwarderEndTest, SendsNothingWhereTheWaitForAPermitOutlastsTheInstance)
    {
        ForwarderBench bench;
        LatePlaceBroker places(bench.clock);
        Forwarder forwarder({ bench.clock, bench.metrics, bench.source, bench.codec, bench.directory, bench.shifts, bench.models, bench.queries, bench.client, bench.listening, bench.fibers, nullptr, nullptr, &places }, {}, Random(1));
        forwarder.useVersions({ "svc" }, { "v1" });
        places.onAcquire = [&] { forwarder.endBy(bench.clock.now() + 300ms); };
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
            bench.forwarder.endBy(SteadyTime::max());
            bench.client.onCall = [&] {
                bench.forwarder.endBy(bench.clock.now() + 300ms);
                bench.clock.advance(400ms);
            };
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

    // Has the bench's forwarder end after `left`, and returns what a caller gets who waits for `wait`.
    int statusBeforeTheEnd(ForwarderBench& bench, std::chrono::milliseconds left, const char* wait)
    {
        bench.forwarder.endBy(bench.clock.now() + left);
        bench.client.exchanges.clear();
        bench.answer(200, { "id: 1\ndata: x\n\n" });
        return bench.send({ { "wait", wait } }).response.status;
    }

    // Guards against a request that is taken while its instance ends, has run, and gets no answer.
    TEST(ForwarderEndTest, RefusesWhatMayLastLongerThanTheInstance)
    {
        for (const config::RequestKind kind : { config::RequestKind::nonIdempotent, config::RequestKind::idempotent, config::RequestKind::streaming }) {
            ForwarderBench bench;
            bench.useRoute(kind).timeout = 11s;
            bench.publish();
            EXPECT_EQ(statusBeforeTheEnd(bench, 6s, "20000"), 503) << "the route allows eleven seconds";
            EXPECT_EQ(statusBeforeTheEnd(bench, 6s, "6100"), 503);
            EXPECT_TRUE(bench.client.requests.empty()) << "not run";
            EXPECT_EQ(statusBeforeTheEnd(bench, 6s, "5900"), 200);
            EXPECT_EQ(statusBeforeTheEnd(bench, 12s, "20000"), 200);
            EXPECT_EQ(bench.metrics.counter("whinyard_refusals_total{kind=\"shuttingDown\"}"), 2U);
        }
    }

    // Guards against streams that are refused for seconds around a planned stop, though few of them last as long as they may.
    TEST(ForwarderEndTest, TakesAStreamThatItsCallerCanTakeUpElsewhere)
    {
        ForwarderBench bench;
        bench.useRoute(config::RequestKind::streaming, true).timeout = 11s;
        bench.publish();
        EXPECT_EQ(statusBeforeTheEnd(bench, 6s, "20000"), 200);
    }

    // Guards against requests that were under way before, and whose connection is closed without an answer.
    TEST(ForwarderEndTest, AnswersWhatIsUnderWayBeforeTheInstanceEnds)
    {
        for (const config::RequestKind kind : { config::RequestKind::nonIdempotent, config::RequestKind::idempotent, config::RequestKind::streaming }) {
            ForwarderBench bench;
            bench.useRoute(kind, true).timeout = 11s;
            bench.publish();
            bench.answer(200, { "never read" }).onRead = [&] {
                bench.forwarder.endBy(bench.clock.now() + 300ms);
                bench.clock.advance(290ms);
                bench.forwarder.tick();
                bench.clock.advance(20ms);
                bench.forwarder.tick();
            };
            const FakeResponder caller = bench.send({ { "wait", "20000" } });
            EXPECT_EQ(caller.response.status, 502) << "it may have run";
            EXPECT_EQ(bench.client.requests.size(), 1U);
            EXPECT_EQ(bench.metrics.counter("whinyard_repeats_total"), 0U) << "nothing is sent any more";
        }
    }

    // Guards against a stream whose last events are lost to a caller who reads it already.
    TEST(ForwarderEndTest, LetsAStreamGoOnThatHasBegun)
    {
        ForwarderBench bench;
        bench.useRoute(config::RequestKind::streaming, true);
        int reads = 0;
        bench.answer(200, { "id: 1\ndata: x\n\n", "id: 2\ndata: x\n\n" }).onRead = [&] {
            if (++reads != 2)
                return;
            bench.forwarder.endBy(bench.clock.now());
            bench.forwarder.tick();
        };
        const FakeResponder caller = bench.send();
        EXPECT_EQ(caller.response.body, "id: 1\ndata: x\n\nid: 2\ndata: x\n\n");
        EXPECT_TRUE(caller.ended);
    }

}
}
