#include "whinyard/policy/ModelChoice.h"

namespace whinyard::policy {

ModelChoice::ModelChoice(const ModelChoiceSettings& settings)
    : m_settings(settings)
{
}

std::size_t ModelChoice::first(const ModelQuestion& question) const
{
    const std::size_t largest = question.costs.empty() ? 0 : question.costs.size() - 1;
    const bool mayStepUp = question.attemptsLeft > 1 && question.timeToFirstEvent.count() > 0;
    if (largest == 0 || !mayStepUp)
        return largest;
    return question.costs.front() < m_settings.cheapFirstBelow * question.costs.back() ? 0 : largest;
}

std::size_t ModelChoice::largestInTime(const ModelQuestion& question)
{
    std::size_t model = question.costs.size() - 1;
    while (model > 0 && model < question.firstEvents.size() && question.firstEvents[model] > question.timeToFirstEvent)
        --model;
    return model;
}

std::optional<std::size_t> ModelChoice::stepUp(const ModelQuestion& question, std::size_t model, std::optional<std::uint32_t> confidence) const
{
    if (question.costs.empty() || question.attemptsLeft <= 1 || !confidence)
        return std::nullopt;
    const std::size_t largest = question.costs.size() - 1;
    const std::size_t inTime = largestInTime(question);
    const bool isGood = *confidence >= (inTime < largest ? m_settings.acceptLateFrom : m_settings.acceptFrom);
    if (model >= largest || isGood)
        return std::nullopt;
    // A late answer of the largest model is worth more than one in time that is most likely wrong.
    return inTime > model ? inTime : largest;
}

}
