#include "whinyard/policy/PromptRates.h"

namespace whinyard::policy {

PromptRates::PromptRates(const PromptRateSettings& settings)
    : m_settings(settings)
{
}

std::chrono::nanoseconds PromptRates::initial(double costPerThousandTokens) const
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(m_settings.initialTokenTime.count()) * costPerThousandTokens));
}

void PromptRates::learn(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens, std::chrono::nanoseconds elapsed)
{
    if (tokens < m_settings.smallestSample || elapsed.count() <= 0)
        return;
    const double sample = static_cast<double>(elapsed.count()) / tokens;
    const auto [known, isNew] = m_nanoseconds.try_emplace(model, static_cast<double>(initial(costPerThousandTokens).count()));
    double& rate = known->second;
    // A stochastic approximation of the quantile (Robbins, Monro, Annals of Mathematical Statistics 22, 1951).
    const double weight = sample > rate ? m_settings.quantile : m_settings.quantile - 1;
    rate *= 1 + m_settings.step * weight;
}

std::chrono::nanoseconds PromptRates::tokenTime(const ModelName& model, double costPerThousandTokens) const
{
    const auto known = m_nanoseconds.find(model);
    if (known == m_nanoseconds.end())
        return initial(costPerThousandTokens);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(known->second));
}

}
