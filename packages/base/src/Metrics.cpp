#include "whinyard/base/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>
#include <sstream>

namespace whinyard {

namespace {

    namespace acc = boost::accumulators;

    constexpr std::array<double, 3> quantiles { 0.5, 0.95, 0.99 };

    using Accumulator = acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::max, acc::tag::extended_p_square_quantile>>;

    struct Summary {
        Accumulator values { acc::extended_p_square_probabilities = quantiles };
    };

    // Splits `name{labels}` so that further labels or a suffix can be put in.
    std::string withSuffix(const std::string& name, std::string_view suffix, std::string_view label)
    {
        const auto brace = name.find('{');
        std::string labels = brace == std::string::npos ? "" : name.substr(brace + 1, name.size() - brace - 2);
        if (!label.empty())
            labels += (labels.empty() ? "" : ",") + std::string(label);
        std::string text = name.substr(0, brace) + std::string(suffix);
        if (!labels.empty())
            text += "{" + labels + "}";
        return text;
    }

    void renderSummary(std::ostringstream& out, const std::string& name, const Accumulator& values)
    {
        for (const double quantile : quantiles) {
            std::ostringstream label;
            label << "quantile=\"" << quantile << '"';
            out << withSuffix(name, "", label.str()) << ' ' << acc::quantile(values, acc::quantile_probability = quantile) << '\n';
        }
        out << withSuffix(name, "_max", "") << ' ' << acc::max(values) << '\n';
        out << withSuffix(name, "_sum", "") << ' ' << acc::sum(values) << '\n';
        out << withSuffix(name, "_count", "") << ' ' << acc::count(values) << '\n';
    }

}

struct Metrics::State {
    mutable std::mutex mutex;
    std::map<std::string, std::uint64_t, std::less<>> counters;
    std::map<std::string, double, std::less<>> gauges;
    std::map<std::string, Summary, std::less<>> summaries;
};

Metrics::Metrics()
    : m_state(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(std::string_view name, std::uint64_t amount)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->counters.find(name);
    if (found != m_state->counters.end())
        found->second += amount;
    else
        m_state->counters.emplace(name, amount);
}

void Metrics::set(std::string_view name, double value)
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->gauges.find(name);
    if (found != m_state->gauges.end())
        found->second = value;
    else
        m_state->gauges.emplace(name, value);
}

void Metrics::observe(std::string_view name, std::chrono::nanoseconds duration)
{
    const std::lock_guard lock(m_state->mutex);
    auto found = m_state->summaries.find(name);
    if (found == m_state->summaries.end())
        found = m_state->summaries.emplace(std::string(name), Summary {}).first;
    found->second.values(std::chrono::duration<double>(duration).count());
}

std::uint64_t Metrics::counter(std::string_view name) const
{
    const std::lock_guard lock(m_state->mutex);
    const auto found = m_state->counters.find(name);
    return found == m_state->counters.end() ? 0 : found->second;
}

std::string Metrics::render() const
{
    const std::lock_guard lock(m_state->mutex);
    std::ostringstream out;
    for (const auto& [name, value] : m_state->counters)
        out << name << ' ' << value << '\n';
    for (const auto& [name, value] : m_state->gauges)
        out << name << ' ' << value << '\n';
    for (const auto& [name, summary] : m_state->summaries)
        renderSummary(out, name, summary.values);
    return out.str();
}

}
