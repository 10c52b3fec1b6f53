// Learns how long engines take to read a token of a prompt, for each model.
//
// The forwarding path reports the time to the first event of each answer; the rate prices the work that a request
// brings to an engine. Pure.
#pragma once

#include "whinyard/base/Identity.h"

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
};

class PromptRates {
public:
    explicit PromptRates(const PromptRateSettings& settings = {});

    // Notes that an engine took `elapsed` until the first event of an answer, with so many tokens believed unread.
    void learn(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens, std::chrono::nanoseconds elapsed);

    // Returns the time of reading one token.
    std::chrono::nanoseconds tokenTime(const ModelName& model, double costPerThousandTokens) const;

private:
    std::chrono::nanoseconds initial(double costPerThousandTokens) const;

    const PromptRateSettings m_settings;
    std::map<ModelName, double> m_nanoseconds; // Of one token.
};

}
