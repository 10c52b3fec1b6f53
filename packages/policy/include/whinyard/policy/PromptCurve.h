// Learns how much more than proportional to its size the prefill time of a prompt is, for all models of a service together.
//
// The prefill time of n tokens is a*n + b*n*n. The factor a differs between models, the ratio b/a does not. PromptRates uses it.
// Pure.
#pragma once

#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace whinyard::policy {

class PromptCurve {
public:
    // Notes the time to the first event for a prompt of so many tokens. Returns whether the ratio has changed.
    bool learn(const ModelName& model, std::uint32_t tokens, std::chrono::nanoseconds elapsed);

    // Returns the prefill time of a prompt as a multiple of a*n; 1 before enough samples are known.
    double factor(double tokens) const { return 1 + m_ratio * tokens; }

    // Returns b/a for a token; 0 before enough samples are known.
    double ratio() const { return m_ratio; }

private:
    struct Sample {
        std::uint32_t tokens = 0;
        std::size_t model = 0;
        double logTime = 0; // Of the time for one token.
    };

    std::size_t indexOf(const ModelName& model);
    double agreement(double ratio) const;
    bool fit();

    std::vector<ModelName> m_models;
    std::vector<Sample> m_samples; // The latest ones, as a ring.
    std::size_t m_next = 0;
    std::size_t m_unfitted = 0; // Samples since the last fit.
    double m_ratio = 0;
};

}
