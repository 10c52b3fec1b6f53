// Learns how often the smallest model's answer is shown, for each route and size of prompt.
//
// The forwarding path notes each answer of a smallest model that states its confidence, and asks before it chooses the model
// to begin with. Pure.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace whinyard::policy {

struct SufficiencyRateSettings {
    double prior = 0.5; // Before any answer.
    double priorWeight = 8; // In answers.
    // Time constant of the memory. A route's questions change slowly; sizes that are no longer asked of the smallest model
    // return to the prior, and are tried again.
    std::chrono::seconds memory { 60 };
};

class SufficiencyRates {
public:
    explicit SufficiencyRates(const SufficiencyRateSettings& settings = {});

    // Notes whether an answer of the smallest model was shown, rather than a larger model asked for.
    void note(const std::string& route, std::uint32_t promptTokens, bool sufficed, SteadyTime now);

    // Returns the chance that it will be.
    double chance(const std::string& route, std::uint32_t promptTokens, SteadyTime now) const;

private:
    struct Count {
        double answers = 0; // Decayed.
        double shown = 0;
        SteadyTime at;
    };

    double kept(const Count& count, SteadyTime now) const;

    const SufficiencyRateSettings m_settings;
    std::map<std::pair<std::string, int>, Count> m_counts; // By route and size class.
};

}
