// What operators see of connects to endpoints.
#include "whinyard/router/ForwarderFakes.h"

#include <gtest/gtest.h>

namespace whinyard::router {
namespace {

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

}
}
