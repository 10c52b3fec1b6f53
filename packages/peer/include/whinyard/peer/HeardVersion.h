// Notices that other instances act on a newer configuration than this one.
//
// A watch of the store may stay silent over a change without being cut. The daemon takes in the versions that other
// instances state, and reads the configuration anew when it stays behind. Pure.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace whinyard::peer {

class HeardVersion {
public:
    // Takes the version that another instance acts on.
    void hear(std::uint64_t version, SteadyTime now);

    // Returns whether a version newer than `own` was heard so long ago that the store's own word should have come. True
    // once in that time, so that each call may be followed by a read.
    bool isBehind(std::uint64_t own, SteadyTime now);

private:
    // The store tells all watches within some ten milliseconds of each other.
    static constexpr std::chrono::milliseconds patience { 200 };

    std::uint64_t m_newest = 0;
    SteadyTime m_since; // When the newest was heard first, or this instance was last found behind.
};

}
