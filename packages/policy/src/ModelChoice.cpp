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

std::optional<std::size_t> ModelChoice::stepUp(const ModelQuestion& question, std::size_t model, std::optional<std::uint32_t> confidence) const
{
    const std::size_t largest = question.costs.empty() ? 0 : question.costs.size() - 1;
    const bool wouldBeLate = question.largestFirstEvent > question.timeToFirstEvent;
    const bool isGood = !confidence || *confidence >= (wouldBeLate ? m_settings.acceptLateFrom : m_settings.acceptFrom);
    if (model >= largest || isGood || question.attemptsLeft <= 1)
        return std::nullopt;
    return largest;
}

}
