#include "whinyard/policy/EnginePaces.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace whinyard::policy {

namespace {

    constexpr double leastSamples = 0.01; // An engine with fewer, decayed, has the service's mean.

    // The mean bias follows about so many of the latest samples of its model and size.
    constexpr double biasSamples = 50;

}

EnginePaces::EnginePaces(const EnginePaceSettings& settings)
    : m_settings(settings)
{
}

void EnginePaces::useEngine(const EndpointName& engine, const ServiceName& service, std::uint64_t incarnation)
{
    Service* const group = &m_services[service];
    const auto known = m_engines.find(engine);
    if (known != m_engines.end()) {
        const bool isSame = known->second.service == group && (incarnation == 0 || known->second.incarnation == incarnation);
        if (isSame)
            return;
        forget(engine);
    }
    m_engines[engine] = { .service = group, .incarnation = incarnation };
}

void EnginePaces::forget(const EndpointName& engine)
{
    const auto known = m_engines.find(engine);
    if (known == m_engines.end())
        return;
    if (known->second.isSlow)
        m_changes.push_back({ .engine = engine });
    m_sampled.erase(engine);
    m_engines.erase(known);
}

void EnginePaces::learn(const EndpointName& engine, std::uint64_t incarnation, const PaceSample& sample, SteadyTime now)
{
    const auto known = m_engines.find(engine);
    if (known == m_engines.end() || known->second.incarnation != incarnation || sample.elapsed.count() <= 0 || sample.expected.count() <= 0)
        return;
    const double log = withoutBias(sample, known->second.logFactor);
    add(engine, known->second, log, 1, now);
    if (known->second.newSamples < mostSamples) {
        known->second.newSum += log;
        ++known->second.newSamples;
    }
}

// Long prompts come to fast engines more often. A time that is expected too long or too short for some sizes must not count as the
// speed of the engines that get these sizes.
double EnginePaces::withoutBias(const PaceSample& sample, double logFactor)
{
    const auto expected = sample.expected + m_settings.fixedTime;
    const double log = std::clamp(std::log(static_cast<double>(sample.elapsed.count()) / static_cast<double>(expected.count())), -2 * m_settings.largestLog, 2 * m_settings.largestLog);
    Bias& bias = m_biases[{ sample.model, std::bit_width(sample.tokens) }];
    const double corrected = std::clamp(log - bias.mean, -m_settings.largestLog, m_settings.largestLog);
    bias.samples = std::min(bias.samples + 1, biasSamples);
    bias.mean += (log - logFactor - bias.mean) / (bias.samples + 1);
    return corrected;
}

void EnginePaces::take(const PaceNews& news, SteadyTime now)
{
    const auto known = m_engines.find(news.engine);
    if (known == m_engines.end() || known->second.incarnation != news.incarnation || news.samples == 0 || !std::isfinite(news.sum))
        return;
    const std::uint32_t samples = std::min(news.samples, mostSamples);
    const double mean = std::clamp(news.sum / news.samples, -m_settings.largestLog, m_settings.largestLog);
    add(news.engine, known->second, mean * samples, samples, now);
}

void EnginePaces::add(const EndpointName& name, Engine& engine, double sum, std::uint32_t samples, SteadyTime now)
{
    decay(engine, now);
    engine.sum += sum;
    engine.samples += samples;
    m_sampled[name] = &engine;
}

void EnginePaces::decay(Engine& engine, SteadyTime now) const
{
    const double kept = std::exp(-std::max(0.0, std::chrono::duration<double>(now - engine.at) / m_settings.memory));
    engine.sum *= kept;
    engine.samples *= kept;
    engine.at = now;
}

std::vector<PaceNews> EnginePaces::takeNews(std::size_t most, SteadyTime now)
{
    std::vector<PaceNews> news;
    if (m_toldAt && now - *m_toldAt < m_settings.tellInterval)
        return news;
    auto next = m_sampled.upper_bound(m_toldLast);
    for (std::size_t looked = 0; looked < m_sampled.size() && news.size() < most; ++looked, ++next) {
        if (next == m_sampled.end())
            next = m_sampled.begin();
        Engine& engine = *next->second;
        if (engine.newSamples == 0)
            continue;
        news.push_back({ next->first, engine.incarnation, std::exchange(engine.newSum, 0), std::exchange(engine.newSamples, 0) });
        m_toldLast = next->first;
        m_toldAt = now;
    }
    return news;
}

// Of means with the same spread, each has the weight n / (n + prior) in the best estimate of the mean of all (DerSimonian and Laird,
// Controlled Clinical Trials 7, 1986). The logarithms of the factors then add up to zero.
void EnginePaces::refresh(SteadyTime now)
{
    for (auto& [name, service] : m_services)
        service = {};
    for (auto& [name, engine] : m_sampled) {
        decay(*engine, now);
        engine->service->weight += weightOf(*engine);
        engine->service->weighted += weightOf(*engine) * (engine->samples > 0 ? engine->sum / engine->samples : 0);
    }
    std::erase_if(m_sampled, [&](const auto& entry) {
        Engine& engine = *entry.second;
        if (engine.samples < leastSamples) {
            engine = { .service = engine.service, .incarnation = engine.incarnation, .isSlow = engine.isSlow };
            noteFactor(entry.first, engine, 0);
            return true;
        }
        const double serviceMean = engine.service->weighted / engine.service->weight;
        noteFactor(entry.first, engine, weightOf(engine) * (engine.sum / engine.samples - serviceMean));
        return false;
    });
}

void EnginePaces::noteFactor(const EndpointName& name, Engine& engine, double logFactor)
{
    engine.logFactor = std::clamp(logFactor, std::log(m_settings.leastFactor), std::log(m_settings.largestFactor));
    const bool isSlow = std::exp(engine.logFactor) >= (engine.isSlow ? m_settings.slowUntil : m_settings.slowFrom);
    if (std::exchange(engine.isSlow, isSlow) != isSlow)
        m_changes.push_back({ name, isSlow, std::exp(engine.logFactor), engine.samples });
}

double EnginePaces::factor(const EndpointName& engine) const
{
    const auto known = m_sampled.find(engine);
    return known == m_sampled.end() ? 1 : std::exp(known->second->logFactor);
}

std::vector<std::pair<EndpointName, double>> EnginePaces::factors() const
{
    std::vector<std::pair<EndpointName, double>> factors;
    for (const auto& [name, engine] : m_sampled)
        factors.emplace_back(name, std::exp(engine->logFactor));
    return factors;
}

std::vector<PaceChange> EnginePaces::takeChanges()
{
    return std::exchange(m_changes, {});
}

std::size_t EnginePaces::slowEngines() const
{
    return static_cast<std::size_t>(std::count_if(m_sampled.begin(), m_sampled.end(), [](const auto& entry) { return entry.second->isSlow; }));
}

}
