// Reports each window's usage once: the counts are fixed in a store before they are sent for the first time, so that whoever leads
// next repeats exactly these.
//
// A store that comes back from an older copy may have lost counts that were sent. Whoever fixed them still has them; nobody fixes
// others for a window that was over when the new era began.
//
// The daemon calls it on its store duty while its instance leads.
#pragma once

#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/leadership/LeaderLease.h"
#include "whinyard/leadership/Provider.h"
#include "whinyard/leadership/UsageWindows.h"

#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace whinyard::leadership {

struct UsageReporterSettings {
    std::string key = "whinyard/usage"; // Of the record that holds the windows that were fixed last.
    std::string leaderKey = "whinyard/leader"; // Only its present holder may fix counts.
    std::chrono::milliseconds windowLength { 5'000 };
    std::chrono::milliseconds settle { 1'500 }; // After a window's end, until all instances have told what they counted.
    std::chrono::milliseconds due { 10'000 }; // After a window's end; a later report is of no use.
};

class UsageReporter {
public:
    // All must outlive the object.
    UsageReporter(backing::WatchableStore& store, Provider& provider, const LeaderLease& lease, const UsageTotals& totals, InstanceName self, UsageReporterSettings settings);

    // Fixes and reports the windows that are due. Returns false with the reason where a call failed; the next turn goes on.
    bool turn(WallTime now, Failure& failure);

    // Forgets what was read of the store: another instance may have led meanwhile.
    void reset();

private:
    static constexpr std::size_t mostKept = 8; // Windows in the record: more than are due at a time.

    bool readFixed(WallTime now, Failure& failure);
    void recall(WallTime now);
    WindowNumber firstOfEra(WallTime now) const;
    void refuse(const backing::Record& record, WindowNumber present);
    void giveUp(WindowNumber window);
    bool fixDue(WallTime now, Failure& failure);
    bool sendFixed(WallTime now, Failure& failure);
    bool send(const UsageWindow& window, Failure& failure);
    bool isDue(WindowNumber window, WallTime now) const;
    bool isOver(WindowNumber window, WallTime now) const;

    backing::WatchableStore& m_store;
    Provider& m_provider;
    const LeaderLease& m_lease;
    const UsageTotals& m_totals;
    const InstanceName m_self;
    const UsageReporterSettings m_settings;
    bool m_isRead = false;
    backing::Revision m_revision = 0; // Of the record.
    std::map<WindowNumber, CustomerCounts> m_fixed;
    std::map<WindowNumber, CustomerCounts> m_remembered; // That this process has fixed, or read, and that are still due.
    std::set<WindowNumber> m_sent; // By this instance, or given up.
    std::optional<WindowNumber> m_first; // That this instance can know of.
};

// Writes and reads the record.
std::string writeFixedUsage(const std::map<WindowNumber, CustomerCounts>& fixed);
std::optional<std::map<WindowNumber, CustomerCounts>> readFixedUsage(const std::string& record);

}
