// Counts the requests that endpoints began to run, by customer and by window of the wall clock, and adds up what instances counted.
//
// Every instance counts its own requests and tells the leader, and the instance that would follow it, how far each window is. Counts
// only rise, so what is told may be lost, repeated and reordered.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace whinyard::leadership {

// Windows are numbered from the start of 1970.
using WindowNumber = std::uint64_t;

using CustomerCounts = std::map<CustomerName, std::uint64_t>;

// The counts of one window.
struct UsageWindow {
    WindowNumber number = 0;
    CustomerCounts counts;

    bool operator==(const UsageWindow&) const = default;
};

// Returns the window that a time lies in.
WindowNumber windowAt(WallTime time, std::chrono::milliseconds length);

// Returns when a window ends.
WallTime endOf(WindowNumber window, std::chrono::milliseconds length);

// What one instance has counted.
class UsageCounter {
public:
    // Windows are forgotten `keep` after their end.
    UsageCounter(std::chrono::milliseconds length, std::chrono::milliseconds keep);

    void note(const CustomerName& customer, WallTime now);

    // Returns the windows that are to be told now: those that have changed since the last call, each state of a window so often that
    // one lost notice in ten leaves one window in ten thousand incomplete, and all now and then, for instances that were cut off.
    std::vector<UsageWindow> takeNews(WallTime now);

    // Has all windows told again, to instances that haven't heard them.
    void tellAgain();

private:
    static constexpr std::uint32_t tellings = 4; // Of each state of a window.
    static constexpr std::uint32_t callsUntilAll = 6;

    struct Counted {
        CustomerCounts counts;
        std::uint32_t tellingsLeft = 0;
    };

    const std::chrono::milliseconds m_length;
    const std::chrono::milliseconds m_keep;
    std::map<WindowNumber, Counted> m_windows;
    std::uint32_t m_calls = 0;
};

// Adds up what instances told.
class UsageTotals {
public:
    // Takes counts of one process of an instance; an earlier process's counts stay.
    void take(const InstanceName& instance, std::uint64_t life, const UsageWindow& window);

    UsageWindow total(WindowNumber window) const;

    // Returns how many processes have told of the window.
    std::size_t sources(WindowNumber window) const;

    // Returns the first window that anybody told of.
    std::optional<WindowNumber> first() const;

    void forgetBefore(WindowNumber window);

private:
    struct Source {
        InstanceName instance;
        std::uint64_t life = 0;

        auto operator<=>(const Source&) const = default;
    };

    std::map<WindowNumber, std::map<Source, CustomerCounts>> m_windows;
};

}
