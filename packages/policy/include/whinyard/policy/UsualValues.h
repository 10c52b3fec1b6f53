// What is usual of each of several measures, so that a value far above it can be told.
//
// VersionShifts compares a new version's times and pauses with those of the other versions. A mean of logarithms: waits have
// long tails, and a mean of theirs would hide an answer that takes several times the usual.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace whinyard::policy {

class UsualValues {
public:
    // A value is unusual above `factor` times the usual, which is known after `leastSamples`.
    UsualValues(double factor, std::uint32_t leastSamples);

    void learn(const std::string& measure, double value);

    // Returns whether a value is unusual; not while too few are known.
    bool exceeds(const std::string& measure, double value) const;

private:
    struct Usual {
        double logMean = 0;
        std::uint32_t samples = 0;
    };

    double m_factor;
    std::uint32_t m_leastSamples;
    std::map<std::string, Usual> m_usual; // By measure.
};

}
