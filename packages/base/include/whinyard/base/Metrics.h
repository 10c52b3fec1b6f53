// Counters, gauges and latency summaries of a process, rendered in the usual exposition format.
//
// Boost.Accumulators keeps the summaries. Every package may hold a reference to one registry.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace whinyard {

// Collects the metrics of a process. Safe to call from any thread. Names follow the exposition
// format, for example `whinyard_requests_total` or `whinyard_refusals_total{kind="overloaded"}`.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    // Adds to a counter.
    void add(std::string_view name, std::uint64_t amount = 1);

    // Sets a gauge.
    void set(std::string_view name, double value);

    // Adds a duration to a summary with count, mean, maximum, p50, p95 and p99, in seconds.
    void observe(std::string_view name, std::chrono::nanoseconds duration);

    // Returns the counter's value, zero if it was never added to.
    std::uint64_t counter(std::string_view name) const;

    // Renders all metrics as text.
    std::string render() const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
