// Elects the one instance that acts for all, by a leased record in a store.
//
// An outside system that doesn't check fencing tokens sees two leaders where a deposed one goes on, so a leader proves before
// every action that its lease outlasts it. The daemon runs one on its store duty; what the leader does is in the other classes of
// this package. docs/design/leadership.md has the protocol.
//
// A store that comes back from an older copy may have lost the leader's record while that leader still acts: in a new era no
// leader acts before every lease of the eras before has ended.
#pragma once

#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace whinyard::leadership {

struct LeaderLeaseSettings {
    std::string key = "whinyard/leader"; // Of the record.
    // Of the record after its last renewal. No other instance acts for so long after an action of this one.
    std::chrono::milliseconds timeToLive { 3'000 };
    std::chrono::milliseconds clockMargin { 50 }; // By which the clocks of instance and store may drift apart in a time to live.
};

class LeaderLease {
public:
    // `store` and `clock` must outlive the object.
    LeaderLease(backing::WatchableStore& store, const Clock& clock, InstanceName self, LeaderLeaseSettings settings = {});

    // Renews the lease of a leader; tries to make this instance the leader where there is none. Call it a few times within the time to
    // live. Returns whether this instance leads; fills `failure` where the store could not be reached, or refused.
    bool turn(Failure& failure);

    // Renews the lease if this instance leads, and doesn't try to become the leader.
    bool keep(Failure& failure);

    // Notes the store's era. Call it as often as turn(), also while this instance isn't to lead: whoever sees an era late waits longer.
    void observeEra();

    // Returns how long this instance has seen the store's era; nothing for a store without eras.
    std::optional<std::chrono::nanoseconds> eraAge() const;

    // Ends the leadership without a call. The record lapses by itself: a successor that acted at once could come between two
    // actions of this instance.
    void resign();

    // Returns the fencing token for an action that ends within `duration`, or nothing where the lease may end before, or a leader of
    // an earlier era may still act. Tokens rise from leader to leader, also over the store's return from an older copy.
    std::optional<std::uint64_t> fenceFor(std::chrono::milliseconds duration) const;

    // Returns the revision of the record that this instance holds, as a precondition of what only the leader may write.
    Revision revision() const { return m_held ? m_held->revision : Revision(); }

    bool isHeld() const { return m_held.has_value(); }

    // Returns whose record stood when this instance looked last; empty: nobody's.
    const InstanceName& leader() const { return m_leader; }

private:
    // The record that this instance wrote.
    struct Held {
        backing::LeaseId lease;
        Revision revision; // At which it was written.
    };

    bool acquire(Failure& failure);
    bool write(Revision standing, Failure& failure);
    bool renew(Failure& failure);
    std::optional<backing::Record> read(backing::ReadAge age, Failure& failure);

    backing::WatchableStore& m_store;
    const Clock& m_clock;
    const InstanceName m_self;
    const LeaderLeaseSettings m_settings;
    std::optional<Held> m_held;
    std::optional<backing::LeaseId> m_uncertain; // Of a record of this instance that may stand: the answer was lost, or the store came back.
    bool m_isMisplaced = false; // A record of this instance may stand under a lease that isn't its own.
    std::uint64_t m_era = 0; // Of the store, at the last turn.
    std::optional<SteadyTime> m_eraSince; // When this instance saw it first; nothing for a store without eras.
    SteadyTime m_provenUntil; // The record stands until then.
    InstanceName m_leader;
};

}
