#include "whinyard/policy/UsualValues.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    constexpr double newestWeight = 0.1; // Of a new sample in the mean; more while there are fewer than ten.
    constexpr double smallestValue = 1e-3; // Has a logarithm.
    constexpr double thousand = 1'000;
    constexpr std::uint64_t mostTold = 20; // The mean forgets what is older.

}

UsualValues::UsualValues(double factor, std::uint32_t leastSamples)
    : m_factor(factor)
    , m_leastSamples(leastSamples)
{
}

void UsualValues::learn(const std::string& measure, double value)
{
    Usual& usual = m_usual[measure];
    ++usual.samples;
    const double weight = std::max(newestWeight, 1.0 / usual.samples);
    usual.logMean += weight * (std::log(std::max(value, smallestValue)) - usual.logMean);
}

void UsualValues::add(LogSum& sum, double value)
{
    ++sum.count;
    sum.thousandths += std::llround(thousand * std::log(std::max(value, smallestValue)));
}

const UsualValues::Usual* UsualValues::known(const std::string& measure) const
{
    const auto found = m_usual.find(measure);
    return found != m_usual.end() && found->second.samples >= m_leastSamples ? &found->second : nullptr;
}

bool UsualValues::isKnown(const std::string& measure, const LogSum& told) const
{
    return known(measure) || told.count >= m_leastSamples;
}

bool UsualValues::exceeds(const std::string& measure, double value, const LogSum& told) const
{
    if (!isKnown(measure, told))
        return false;
    const Usual* own = known(measure);
    const double logMean = own ? own->logMean : static_cast<double>(told.thousandths) / thousand / static_cast<double>(told.count);
    return value > m_factor * std::exp(logMean);
}

void UsualValues::forEach(const std::function<void(const std::string&, const LogSum&)>& use) const
{
    for (const auto& [measure, usual] : m_usual) {
        const auto count = std::min<std::uint64_t>(usual.samples, mostTold);
        use(measure, { count, std::llround(thousand * usual.logMean * static_cast<double>(count)) });
    }
}

}
