// Reports that are sent twice because datagrams get lost, and taken once.
//
// A report of memory that an engine will hold for seconds is wrong for as long where it is lost: of 58 instances that lost one in ten
// each believed engines to be a tenth emptier than they were. Sent once more soon after, one in a hundred is lost. Pure.
#pragma once

#include "whinyard/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <unordered_set>

namespace whinyard::policy {

// After which a report is sent again: long enough that a full link has emptied, short against the time that a request holds memory.
inline constexpr std::chrono::milliseconds reportRepeatedAfter { 100 };

// Tells reports that were taken already, at a receiver.
class TakenReports {
public:
    // Returns whether a report with this identity was not taken in the last second, and takes it. Zero is always new: such a report
    // isn't repeated.
    bool take(std::uint64_t identity, SteadyTime now);

private:
    static constexpr std::chrono::milliseconds remembered { 1'000 }; // At least; twice that at most.

    std::unordered_set<std::uint64_t> m_latest;
    std::unordered_set<std::uint64_t> m_earlier;
    SteadyTime m_turnedAt;
};

}
