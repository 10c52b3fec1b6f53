// What is usual of each of several measures, so that a value far above it can be told.
//
// VersionShifts compares a new version's times and pauses with those of the other versions. A mean of logarithms: waits have
// long tails, and a mean of theirs would hide an answer that takes several times the usual.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace whinyard::policy {

// What values of comparable answers add up to, so that instances can tell each other.
struct LogSum {
    std::uint64_t count = 0;
    std::int64_t thousandths = 0; // Of the sum of natural logarithms.

    bool operator==(const LogSum&) const = default;
};

class UsualValues {
public:
    // A value is unusual above `factor` times the usual, which is known after `leastSamples`.
    UsualValues(double factor, std::uint32_t leastSamples);

    void learn(const std::string& measure, double value);

    // Adds a value to a sum.
    static void add(LogSum& sum, double value);

    // Returns whether the usual value is known, here or from what others have told.
    bool isKnown(const std::string& measure, const LogSum& told) const;

    // Returns whether a value is unusual; not while too few are known.
    bool exceeds(const std::string& measure, double value, const LogSum& told) const;

    // Calls with each measure and what is known of it.
    void forEach(const std::function<void(const std::string&, const LogSum&)>& use) const;

private:
    struct Usual {
        double logMean = 0;
        std::uint32_t samples = 0;
    };

    const Usual* known(const std::string& measure) const;

    double m_factor;
    std::uint32_t m_leastSamples;
    std::map<std::string, Usual> m_usual; // By measure.
};

}
