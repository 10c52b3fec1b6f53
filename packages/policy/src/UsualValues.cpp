#include "whinyard/policy/UsualValues.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    constexpr double newestWeight = 0.1; // Of a new sample in the mean; more while there are fewer than ten.
    constexpr double smallestValue = 1e-3; // Has a logarithm.

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

bool UsualValues::exceeds(const std::string& measure, double value) const
{
    const auto found = m_usual.find(measure);
    if (found == m_usual.end() || found->second.samples < m_leastSamples)
        return false;
    return value > m_factor * std::exp(found->second.logMean);
}

}
