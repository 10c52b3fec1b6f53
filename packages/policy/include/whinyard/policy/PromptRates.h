// Learns how long the engines of a service take to read a prompt, for each model and by the prompt's size.
//
// The forwarding path reports the time to the first event of each answer; the rate prices the work that a request
// brings to an engine. Pure.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/policy/PromptCurve.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace whinyard::policy {

struct PromptRateSettings {
    // Before any sample, for a model that costs 1 a thousand tokens; in proportion for others.
    std::chrono::nanoseconds initialTokenTime { 130'000 };
    std::uint32_t smallestSample = 1'000; // Tokens; the time of shorter prompts is mostly the engine's step.
    // The rate follows this quantile of the samples: most requests wait for others, or find parts of their prompt
    // cached, and only the ones in between show the time of reading.
    double quantile = 0.35;
    double step = 0.05; // Relative change by one sample.
    // Samples of smaller prompts, or of a shorter expected time, say nothing about the curve: the engine's step is a large
    // part of their time, and makes the time of a token fall with the size.
    std::uint32_t smallestCurveSample = 4'000;
    std::chrono::nanoseconds shortestCurveSample { 40'000'000 };
};

class PromptRates {
public:
    explicit PromptRates(const PromptRateSettings& settings = {});

    // Notes that an engine took `elapsed` until the first event of an answer, with so many tokens believed unread. Returns
    // whether ratio() has changed.
    bool learn(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens, std::chrono::nanoseconds elapsed);

    // Returns the time of reading a prompt of so many tokens.
    std::chrono::nanoseconds readingTime(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens) const;

    // Returns the mean time of one of a prompt's tokens; of an empty prompt that of a first one.
    std::chrono::nanoseconds meanTokenTime(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens) const;

    // Returns by which part the time of a token grows with each token of the prompt: b/a in a*n + b*n*n.
    double ratio() const { return m_curve.ratio(); }

private:
    // The part of a prompt's time that is proportional to its size.
    struct Rate {
        double nanoseconds = 0; // Of one token.
        double usualTokens = 0; // Mean size of the samples.
    };

    std::chrono::nanoseconds initial(double costPerThousandTokens) const;
    std::chrono::nanoseconds firstTokenTime(const ModelName& model, double costPerThousandTokens) const;

    const PromptRateSettings m_settings;
    std::map<ModelName, Rate> m_rates;
    PromptCurve m_curve;
};

}
