#include "whinyard/policy/PromptCurve.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace whinyard::policy {

namespace {

    constexpr std::size_t maximumSamples = 256;
    constexpr std::size_t leastSamples = 32;
    constexpr std::size_t samplesPerFit = 8;

    // Ratios that are compared, for a thousand tokens. Those of the known engines are near 0.017.
    constexpr std::array<double, 17> ratios { 0, 0.002, 0.004, 0.006, 0.008, 0.01, 0.0125, 0.015, 0.0175, 0.02, 0.0225, 0.025, 0.03, 0.035, 0.04, 0.05, 0.06 };
    constexpr double thousand = 1'000;

    // Bins of the logarithm of a normalized time. Times of prompts that neither waited nor were cached lie within three of them.
    constexpr double binWidth = 0.04;
    constexpr std::size_t binCount = 160;
    constexpr std::size_t kernelReach = 2;
    constexpr std::array<double, 2 * kernelReach + 1> kernel { 1.0 / 3, 2.0 / 3, 1, 2.0 / 3, 1.0 / 3 };

    // Another ratio must agree with more samples than chance lets it: with few long prompts all ratios agree about equally.
    constexpr double leastGain = 2;
    constexpr double leastGainShare = 0.02; // Of the samples.
    constexpr double equalWithin = 1; // Ratios that agree with about as many samples as the best one are averaged.
    constexpr double step = 0.5; // Of the way to the ratio found.

    class Histogram {
    public:
        explicit Histogram(double least)
            : m_least(least)
        {
        }

        void add(double value)
        {
            const double position = (value - m_least) / binWidth;
            const auto bin = static_cast<std::size_t>(position);
            if (bin + 1 >= binCount)
                return;
            const double part = position - static_cast<double>(bin);
            m_bins[bin] += 1 - part;
            m_bins[bin + 1] += part;
        }

        // Returns the weight of the densest place.
        double peak() const
        {
            double most = 0;
            for (std::size_t center = kernelReach; center + kernelReach < binCount; ++center) {
                double sum = 0;
                for (std::size_t i = 0; i < kernel.size(); ++i)
                    sum += kernel[i] * m_bins[center + i - kernelReach];
                most = std::max(most, sum);
            }
            return most;
        }

    private:
        double m_least;
        std::array<double, binCount> m_bins {};
    };

}

std::size_t PromptCurve::indexOf(const ModelName& model)
{
    const auto known = std::find(m_models.begin(), m_models.end(), model);
    if (known != m_models.end())
        return static_cast<std::size_t>(known - m_models.begin());
    m_models.push_back(model);
    return m_models.size() - 1;
}

bool PromptCurve::learn(const ModelName& model, std::uint32_t tokens, std::chrono::nanoseconds elapsed)
{
    if (tokens == 0 || elapsed.count() <= 0)
        return false;
    const Sample sample { tokens, indexOf(model), std::log(static_cast<double>(elapsed.count()) / tokens) };
    if (m_samples.size() < maximumSamples)
        m_samples.push_back(sample);
    else
        m_samples[m_next] = sample;
    m_next = (m_next + 1) % maximumSamples;
    if (++m_unfitted < samplesPerFit || m_samples.size() < leastSamples)
        return false;
    m_unfitted = 0;
    return fit();
}

// Returns how many samples lie at the densest place of each model's times, once these are divided by the factor for their
// size. Waits and cached parts spread their samples over many places; the others are at one place with the right ratio only.
double PromptCurve::agreement(double ratio) const
{
    constexpr double margin = binWidth * kernelReach;
    std::vector<double> least(m_models.size(), std::numeric_limits<double>::max());
    std::vector<double> values;
    values.reserve(m_samples.size());
    for (const Sample& sample : m_samples) {
        values.push_back(sample.logTime - std::log1p(ratio * sample.tokens));
        least[sample.model] = std::min(least[sample.model], values.back() - margin);
    }
    std::vector<Histogram> histograms;
    for (const double start : least)
        histograms.emplace_back(start);
    for (std::size_t i = 0; i < m_samples.size(); ++i)
        histograms[m_samples[i].model].add(values[i]);
    double sum = 0;
    for (const Histogram& histogram : histograms)
        sum += histogram.peak();
    return sum;
}

bool PromptCurve::fit()
{
    std::array<double, ratios.size()> agreements {};
    for (std::size_t i = 0; i < ratios.size(); ++i)
        agreements[i] = agreement(ratios[i] / thousand);
    const double best = *std::max_element(agreements.begin(), agreements.end());
    const double gain = best - agreement(m_ratio);
    if (gain < std::max(leastGain, leastGainShare * static_cast<double>(m_samples.size())))
        return false;
    double sum = 0;
    double weights = 0;
    for (std::size_t i = 0; i < ratios.size(); ++i) {
        const double weight = std::max(0.0, equalWithin - (best - agreements[i]));
        sum += weight * ratios[i] / thousand;
        weights += weight;
    }
    m_ratio += step * (sum / weights - m_ratio);
    return true;
}

}
