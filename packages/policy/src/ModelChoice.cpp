#include "whinyard/policy/ModelChoice.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    constexpr double readShare = 0.25; // Of a generated token's cost, for a token that is read.
    constexpr double thousand = 1'000;

    // Prices are stated relative to the most urgent priority.
    ModelChoiceSettings withWorthOfFirst(ModelChoiceSettings settings)
    {
        if (!settings.worthOfPriorities.empty())
            settings.worthPerThousandTokens = settings.worthOfPriorities.front();
        return settings;
    }

    double weightedThousands(const ModelQuestion& question)
    {
        return (question.promptTokens * readShare + question.answerTokens) / thousand;
    }

}

ModelChoice::ModelChoice(const ModelChoiceSettings& settings)
    : m_settings(withWorthOfFirst(settings))
{
}

std::size_t ModelChoice::first(const ModelQuestion& question) const
{
    const std::size_t largest = question.costs.empty() ? 0 : question.costs.size() - 1;
    const bool mayStepUp = question.attemptsLeft > 1 && question.timeToFirstEvent.count() > 0;
    if (largest == 0 || !mayStepUp)
        return largest;
    if (question.costs.front() >= m_settings.cheapFirstBelow * question.costs.back())
        return largest;
    return m_settings.firstByValue && firstSmallValue(question) < valueOf(question, largest, 1) ? largest : 0;
}

// The smallest model's answer is shown, or a larger model is asked once it has begun. Engines read prompts of small models
// first, so the queue stands before the larger model only.
double ModelChoice::firstSmallValue(const ModelQuestion& question) const
{
    const std::size_t largest = question.costs.size() - 1;
    const std::chrono::nanoseconds reading = question.readingTimes.empty() ? std::chrono::nanoseconds(0) : question.readingTimes.front();
    ModelQuestion later = question;
    later.timeToFirstEvent -= reading;
    double afterStep = m_settings.poorWorth; // Of showing a poor answer.
    for (std::size_t larger = 1; larger <= largest; ++larger)
        afterStep = std::max(afterStep, valueOf(later, larger, larger == largest ? 1 : m_settings.middleGain));
    later.timeToFirstEvent = std::chrono::nanoseconds::max();
    const double spent = 1 - valueOf(later, 0, 1); // Cost and engine time of the smallest model, which are lost by a step.
    return question.smallSuffices * valueOf(question, 0, 1) + (1 - question.smallSuffices) * (afterStep - spent);
}

double ModelChoice::chanceOfGood(std::uint32_t confidence) const
{
    return 1 / (1 + std::exp((m_settings.evenConfidence - confidence) / m_settings.confidenceScale));
}

double ModelChoice::worthOf(std::uint8_t priority) const
{
    const std::vector<double>& worths = m_settings.worthOfPriorities;
    if (!worths.empty())
        return worths[std::min<std::size_t>(priority, worths.size() - 1)];
    return m_settings.worthPerThousandTokens * std::pow(m_settings.worthByPriority, priority);
}

double ModelChoice::valueOf(const ModelQuestion& question, std::size_t model, double chance) const
{
    const std::chrono::nanoseconds reading = model < question.readingTimes.size() ? question.readingTimes[model] : std::chrono::nanoseconds(0);
    const bool isLate = question.queue + reading > question.timeToFirstEvent;
    const double inTime = isLate ? m_settings.lateWorth : 1;
    const double rate = worthOf(question.priority);
    // Delays are stated as a share of what the engine makes by reading prompts of the most urgent priority.
    const double readPart = question.promptTokens * readShare / thousand / std::max(weightedThousands(question), readShare / thousand);
    const double largestReading = question.readingTimes.empty() ? 0 : std::chrono::duration<double>(question.readingTimes.back()).count();
    const double readingShare = largestReading > 0 ? std::chrono::duration<double>(reading).count() / largestReading : 0;
    const double delay = model < question.delayShares.size() ? question.delayShares[model] : 0;
    const double time = delay * readPart * readingShare * m_settings.worthPerThousandTokens / rate;
    return inTime * (chance + m_settings.poorWorth * (1 - chance)) - question.costs[model] / rate - time;
}

std::optional<std::size_t> ModelChoice::stepUp(const ModelQuestion& question, std::size_t model, std::optional<std::uint32_t> confidence) const
{
    if (question.costs.empty() || question.attemptsLeft <= 1 || !confidence || model + 1 >= question.costs.size())
        return std::nullopt;
    const double chance = chanceOfGood(*confidence);
    double best = chance + m_settings.poorWorth * (1 - chance);
    std::optional<std::size_t> choice;
    for (std::size_t larger = model + 1; larger < question.costs.size(); ++larger) {
        const bool isLargest = larger + 1 == question.costs.size();
        const double value = valueOf(question, larger, isLargest ? 1 : chance + m_settings.middleGain * (1 - chance));
        if (value > best) {
            best = value;
            choice = larger;
        }
    }
    return choice;
}

}
