#include "whinyard/policy/PromptRates.h"

namespace whinyard::policy {

namespace {

    constexpr double sizeWeight = 0.05; // Of a new sample in the mean size.

}

PromptRates::PromptRates(const PromptRateSettings& settings)
    : m_settings(settings)
{
}

std::chrono::nanoseconds PromptRates::initial(double costPerThousandTokens) const
{
    return std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(m_settings.initialTokenTime.count()) * costPerThousandTokens));
}

bool PromptRates::learn(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens, std::chrono::nanoseconds elapsed)
{
    if (tokens < m_settings.smallestSample || elapsed.count() <= 0)
        return false;
    const auto [known, isNew] = m_rates.try_emplace(model, Rate { static_cast<double>(initial(costPerThousandTokens).count()), static_cast<double>(tokens) });
    Rate& rate = known->second;
    rate.usualTokens += sizeWeight * (tokens - rate.usualTokens);
    const double sample = static_cast<double>(elapsed.count()) / (tokens * m_curve.factor(tokens));
    // A stochastic approximation of the quantile (Robbins, Monro, Annals of Mathematical Statistics 22, 1951).
    const double weight = sample > rate.nanoseconds ? m_settings.quantile : m_settings.quantile - 1;
    rate.nanoseconds *= 1 + m_settings.step * weight;
    if (tokens < m_settings.smallestCurveSample || rate.nanoseconds * tokens < static_cast<double>(m_settings.shortestCurveSample.count()))
        return false;
    const double before = m_curve.ratio();
    if (!m_curve.learn(model, tokens, elapsed))
        return false;
    // The time of a prompt of the usual size stays as it is.
    for (auto& [name, changed] : m_rates)
        changed.nanoseconds *= (1 + before * changed.usualTokens) / m_curve.factor(changed.usualTokens);
    return true;
}

std::chrono::nanoseconds PromptRates::firstTokenTime(const ModelName& model, double costPerThousandTokens) const
{
    const auto known = m_rates.find(model);
    if (known == m_rates.end())
        return initial(costPerThousandTokens);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(known->second.nanoseconds));
}

std::chrono::nanoseconds PromptRates::readingTime(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens) const
{
    return meanTokenTime(model, costPerThousandTokens, tokens) * tokens;
}

std::chrono::nanoseconds PromptRates::meanTokenTime(const ModelName& model, double costPerThousandTokens, std::uint32_t tokens) const
{
    const std::chrono::nanoseconds first = firstTokenTime(model, costPerThousandTokens);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(static_cast<double>(first.count()) * m_curve.factor(tokens)));
}

}
