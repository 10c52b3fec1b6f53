// The operators' records that are in force at an instance, over the times at which their store came back from an older copy.
//
// Such a copy lacks what was written last, and holds what was replaced or removed since. Operators write it again; until they have,
// or have had the time, a record stays as it was in force: what an instance has acted on isn't undone by a copy. A record that states
// a version of its own never goes back. The daemon feeds the book what it reads of the store and of other instances. Pure.
#pragma once

#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/peer/RecordSnapshot.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::peer {

struct RecordBookSettings {
    // Within which operators have written again what the store lost.
    std::chrono::milliseconds rewrittenWithin { 10'000 };
    // For which a record that was removed is remembered: a copy is some seconds old.
    std::chrono::milliseconds removedFor { 60'000 };
};

class RecordBook {
public:
    // Returns the version that a record states of itself; nothing for one that states none.
    using StatedVersion = std::function<std::optional<std::uint64_t>(const backing::Record&)>;

    explicit RecordBook(StatedVersion statedVersion, const RecordBookSettings& settings = {});

    // Takes all records of the store as they stood at a revision.
    void replace(const std::vector<backing::Record>& records, const Revision& at, SteadyTime now);

    // Takes one change of the store.
    void change(const backing::RecordChange& change, SteadyTime now);

    // Takes what another instance knows. One that has not seen the newest era yet, or no more than this one, may still know records
    // that the store has lost.
    void merge(const RecordSnapshot& snapshot, SteadyTime now);

    // Leaves what has not been written again in time to the store. Returns the keys whose records have changed by that.
    std::vector<std::string> settle(SteadyTime now);

    // Returns the records in force, by key. One that was written again has the revision that it had first.
    const std::map<std::string, backing::Record>& records() const { return m_inForce; }

    // Returns all that another instance needs to have the same records in force.
    RecordSnapshot snapshot(SteadyTime now) const;

    // Returns the revision of the newest change that is known; zero before the first read.
    const Revision& revision() const { return m_revision; }

    // Returns a number that changes with what snapshot() returns.
    std::uint64_t edition() const { return m_edition; }

    // Returns how many records are in force, or out of force, against what the store holds.
    std::size_t carried() const;

private:
    // What is known of one key, beside the record in force.
    struct Entry {
        Revision stored; // Of the store's record that was seen last; zero: the store holds none.
        std::optional<backing::Record> copied; // The store's record where it isn't the one in force.
        std::optional<SteadyTime> carriedUntil; // The record in force, or its absence, stands against the store.
        std::optional<backing::Record> removed; // The record that was removed last.
        SteadyTime removedAt;
        bool isLate = false; // It should have been written again long ago.
    };

    bool statesOlder(const backing::Record& record, const std::string& key) const;
    const backing::Record* inForce(const std::string& key) const;
    void put(const backing::Record& record);
    void remove(const std::string& key, SteadyTime now);
    void carry(const std::string& key, const std::optional<backing::Record>& copied, SteadyTime until);
    void take(const backing::Record& record, SteadyTime now);
    void compare(const std::string& key, const std::optional<backing::Record>& copied, SteadyTime now);
    void beginEra(const std::map<std::string, backing::Record>& copy, const Revision& at, SteadyTime now);
    void rename(const backing::Record& record);
    void takeKnown(const RecordSnapshot& snapshot, SteadyTime now);

    const StatedVersion m_statedVersion;
    const RecordBookSettings m_settings;
    std::map<std::string, backing::Record> m_inForce;
    std::map<std::string, Entry> m_entries;
    Revision m_revision;
    std::uint64_t m_edition = 0;
    std::optional<SteadyTime> m_rewrittenUntil; // Until when records are written again after a return.
};

}
