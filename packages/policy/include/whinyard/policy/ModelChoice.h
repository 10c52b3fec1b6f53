// Chooses which of a route's models answers a request, and whether an answer that has begun is good enough to show.
//
// The forwarding path asks before the first attempt and when a model states its confidence. Pure.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::policy {

// What a choice needs to know about a request.
struct ModelQuestion {
    std::string route;
    std::vector<double> costs; // Of a thousand generated tokens, the smallest model first.
    std::uint32_t promptTokens = 0;
    std::uint32_t answerTokens = 0;
    std::uint32_t attemptsLeft = 1;
    std::chrono::milliseconds timeToFirstEvent { 0 }; // Left of the objective.
    std::vector<std::chrono::milliseconds> firstEvents; // That each model takes to its first event; empty: unknown.
};

struct ModelChoiceSettings {
    std::uint32_t acceptFrom = 60; // Confidence, 0 to 100, from which a smaller model's answer is shown.
    std::uint32_t acceptLateFrom = 40; // The same where the largest model's answer would be late.
    double cheapFirstBelow = 0; // Ask a smaller model first when it costs less than this share of the largest one.
};

class ModelChoice {
public:
    explicit ModelChoice(const ModelChoiceSettings& settings = {});

    // Returns the index of the model to ask first.
    std::size_t first(const ModelQuestion& question) const;

    // Returns the model to ask instead of `model`, whose answer began with this confidence; nothing to show it.
    std::optional<std::size_t> stepUp(const ModelQuestion& question, std::size_t model, std::optional<std::uint32_t> confidence) const;

private:
    // Returns the largest model whose answer begins within the objective.
    static std::size_t largestInTime(const ModelQuestion& question);

    const ModelChoiceSettings m_settings;
};

}
