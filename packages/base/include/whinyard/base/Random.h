// Seeded random numbers, passed in like the clock so that every run can be repeated.
#pragma once

#include <cstdint>
#include <random>

namespace whinyard {

// The generator used everywhere: std::mt19937_64 with an explicit seed.
using Random = std::mt19937_64;

// Returns a number in [0, 1), the same for the same state on every standard library.
inline double uniform(Random& random)
{
    return static_cast<double>(random() >> 11) * 0x1.0p-53;
}

// The product of two 64-bit numbers, which ISO C++ has no type for.
__extension__ using Uint128 = unsigned __int128;

// Returns a number in [0, bound); `bound` must be positive. The bias is below bound / 2^64.
inline std::uint64_t below(Random& random, std::uint64_t bound)
{
    return static_cast<std::uint64_t>((static_cast<Uint128>(random()) * bound) >> 64);
}

}
