// Chooses which of a route's models answers a request, and whether an answer that has begun is good enough to show.
//
// The forwarding path asks before the first attempt and when a model states its confidence. All that speaks for or against
// a larger model is compared as shares of the answer's worth: that the answer begun is poor, what the larger model costs,
// that its answer would be late, and the engine's time, which others need while engines are short of it. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace whinyard::policy {

// What a choice needs to know about a request.
struct ModelQuestion {
    std::vector<double> costs; // Of a thousand generated tokens, the smallest model first.
    std::vector<std::chrono::nanoseconds> readingTimes; // Of the prompt by each model.
    std::uint8_t priority = 0; // Of the route; 0 is the most urgent.
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint32_t attemptsLeft = 1;
    std::chrono::nanoseconds timeToFirstEvent { 0 }; // Left of the objective.
    std::chrono::nanoseconds queue { 0 }; // Before an engine reads another prompt, on average.
    std::vector<double> delayShares; // By each model; see EnginePrice::share().
    double smallSuffices = 0.5; // Chance that the smallest model's answer is shown; see SufficiencyRates.
};

// Worth and costs have one unit, that of the operators' prices.
struct ModelChoiceSettings {
    double cheapFirstBelow = 0; // Ask a smaller model first when it costs less than this share of the largest one.
    // And when its expected value is the higher one: a long prompt may leave no time for a larger model after it.
    bool firstByValue = false;

    // Worth of an answer for each thousand tokens generated, where those read count a quarter as in costs: of the most
    // urgent priority, and its factor for each further one. Operators set both.
    double worthPerThousandTokens = 1.2;
    double worthByPriority = 0.7;
    // The same for each priority, the last one for all further ones. If given, it replaces both of the above.
    std::vector<double> worthOfPriorities {};

    // The chance that an answer is good, by its stated confidence, is a logistic curve.
    double evenConfidence = 48; // At which the chance is a half.
    double confidenceScale = 6.6;
    double poorWorth = 0.05; // Of a poor answer, as a share of a good one.
    double lateWorth = 0.5; // Of a late answer, likewise.
    double middleGain = 0.2; // Chance that a model between answers well what the one before it can't.
};

class ModelChoice {
public:
    explicit ModelChoice(const ModelChoiceSettings& settings = {});

    // Returns the index of the model to ask first.
    std::size_t first(const ModelQuestion& question) const;

    // Returns the model to ask instead of `model`, whose answer began with this confidence; nothing to show it.
    std::optional<std::size_t> stepUp(const ModelQuestion& question, std::size_t model, std::optional<std::uint32_t> confidence) const;

private:
    double chanceOfGood(std::uint32_t confidence) const;

    double firstSmallValue(const ModelQuestion& question) const;

    // Returns the worth of an answer for each thousand tokens generated.
    double worthOf(std::uint8_t priority) const;

    // Returns what asking `model` is worth, as a share of a good answer in time.
    double valueOf(const ModelQuestion& question, std::size_t model, double chance) const;

    const ModelChoiceSettings m_settings;
};

}
