// Keeps the verdicts on requests that end endpoints in the store, where they outlast all instances.
//
// Belongs to the store duty.
#pragma once

#include "entry/ServeDuty.h"
#include "whinyard/backing/WatchableStore.h"

#include <string_view>
#include <vector>

namespace whinyard::daemon {

class QueryKeeper {
public:
    // The prefix of the verdicts' records. An operator lifts a verdict by removing its record.
    static constexpr std::string_view prefix = "whinyard/query/";

    // Both must outlive the object.
    QueryKeeper(ServeDuty& serving, backing::WatchableStore& store);

    // Takes all records under the prefix. Those that the store lost as it came back from an older copy are written again: nobody has
    // removed them.
    void replaced(const std::vector<backing::Record>& records);

    // Writes the verdicts that this instance came to and that don't stand there, and removes those that were refuted. Returns
    // false when the store failed; the log tells of the first failure in a row.
    bool turn();

private:
    bool write(const QueryVerdict& verdict);
    void remove(const RequestDigest& request);

    ServeDuty& m_serving;
    backing::WatchableStore& m_store;
    std::uint64_t m_era = 0; // Of the store, at the last read.
    bool m_fails = false; // The last write failed.
};

}
