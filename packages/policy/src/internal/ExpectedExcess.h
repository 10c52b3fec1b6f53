// How many requests are ahead of a new one, of a load that is known with a variance.
#pragma once

#include "whinyard/policy/EndpointTable.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace whinyard::policy {

// The expected part of a normal variable above `bound`: how many requests are ahead of a new one.
inline double expectedExcess(const LoadEstimate& load, double bound)
{
    constexpr double smallestDeviation = 1e-3;
    const double distance = load.mean - bound;
    const double deviation = std::sqrt(load.variance);
    if (deviation < smallestDeviation)
        return std::max(distance, 0.0);
    const double z = distance / deviation;
    const double below = 0.5 * std::erfc(-z * std::numbers::sqrt2 / 2);
    const double density = std::exp(-z * z / 2) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
    return distance * below + deviation * density;
}

}
