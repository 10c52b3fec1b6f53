// What operators see of connects to endpoints.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

    using namespace std::chrono_literals;

    // Guards against a lost way to the endpoints that looks like endpoints that are full.
    TEST(ForwarderConnectTest, TellsUnreachableEndpointsFromFullOnes)
    {
        ForwarderBench bench;
        bench.listEndpoints({ "e1" });
        bench.lose(0);
        EXPECT_EQ(bench.send().response.status, 503);
        EXPECT_EQ(bench.metrics.counter("whinyard_refusals_total{kind=\"noEndpoint\"}"), 1U);
        EXPECT_EQ(bench.metrics.counter("whinyard_refusals_total{kind=\"overloaded\"}"), 0U);
        EXPECT_EQ(bench.metrics.counter("whinyard_endpoint_connects_total{outcome=\"refused\"}"), 1U);
        bench.answer(200, { "x" });
        bench.clock.advance(std::chrono::seconds(10));
        bench.directory.refresh(bench.clock.now());
        EXPECT_EQ(bench.send().response.status, 200);
        EXPECT_EQ(bench.metrics.counter("whinyard_endpoint_connects_total{outcome=\"connected\"}"), 1U);
    }

    // Guards against an instance that doesn't notice that its own link is full: no endpoint is reached in time then.
    TEST(ForwarderConnectTimeTest, IsThatOfTheShortestThatSucceeded)
    {
        ForwarderBench bench;
        EXPECT_EQ(bench.forwarder.takeShortestConnect(), std::nullopt);
        for (const auto time : { 90ms, 7ms, 30ms }) {
            bench.answer(200, { "x" }).connectTime = time;
            bench.send();
        }
        bench.lose(0);
        bench.client.exchanges.back().connectTime = 1ms;
        bench.answer(200, { "x" }).connectTime = 50ms;
        bench.send();
        EXPECT_EQ(bench.forwarder.takeShortestConnect(), 7ms);
        EXPECT_EQ(bench.forwarder.takeShortestConnect(), std::nullopt);
    }

}
}
