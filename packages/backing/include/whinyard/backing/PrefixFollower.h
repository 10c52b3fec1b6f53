// Follows all records under a prefix of a store: reads them once, then watches, and reads them anew when the watch
// has lost its place.
//
// The daemon runs one for each prefix that it needs, in a fiber of the store duty; the observer carries the changes
// to where they are used.
#pragma once

#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/Clock.h"

#include <chrono>
#include <string>
#include <vector>

namespace whinyard::backing {

// Is told of the records under a prefix.
class PrefixObserver {
public:
    virtual ~PrefixObserver() = default;

    // All records as they stood at a revision of the store. Comes first, and again after changes may have been missed.
    virtual void replaced(const std::vector<Record>& records, Revision at) = 0;

    virtual void changed(const std::vector<RecordChange>& changes) = 0;

    // Everything that the store had accepted when a call that began at `startedAt` reached it has been told.
    virtual void proven(SteadyTime startedAt) = 0;

    // A call failed.
    virtual void failed(const Failure& failure) = 0;
};

class PrefixFollower {
public:
    // All must outlive the object. `wait` bounds one watch: it adds to the time after which a lost connection is
    // noticed.
    PrefixFollower(WatchableStore& store, const Clock& clock, std::string prefix, std::chrono::milliseconds wait, PrefixObserver& observer);

    // Makes one call, or one for each page of a range, and tells the observer. Returns whether it succeeded; after a
    // failure the caller pauses before the next one.
    bool turn();

    // Returns whether the last turn was told that more has changed: the next one need not wait.
    bool isBehind() const { return m_isBehind; }

    // Bounds the watches that begin from now on.
    void useWait(std::chrono::milliseconds wait) { m_wait = wait; }

    // Has the next turn read everything anew, after a time without turns.
    void readAnew() { m_placed = false; }

    // Has the next turn watch on from a revision up to which the observer knows everything already.
    void watchAfter(Revision revision)
    {
        m_placed = true;
        m_revision = revision;
    }

private:
    bool readAll();
    bool watchOnce();

    WatchableStore& m_store;
    const Clock& m_clock;
    const std::string m_prefix;
    std::chrono::milliseconds m_wait;
    PrefixObserver& m_observer;
    bool m_isBehind = false;
    bool m_placed = false; // A range was read, and no change after it was missed.
    Revision m_revision = 0; // Up to which the observer knows everything.
};

}
