// Elects the one instance that acts for all, by a leased record in a store.
//
// An outside system that doesn't check fencing tokens sees two leaders where a deposed one goes on, so a leader proves before
// every action that its lease outlasts it. The daemon runs one on its store duty; what the leader does is in the other classes of
// this package. docs/design/leadership.md has the protocol.
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

    // Ends the leadership without a call. The record lapses by itself: a successor that acted at once could come between two
    // actions of this instance.
    void resign();

    // Returns the fencing token for an action that ends within `duration`, or nothing where the lease may end before. Tokens rise from
    // leader to leader.
    std::optional<std::uint64_t> fenceFor(std::chrono::milliseconds duration) const;

    bool isHeld() const { return m_held.has_value(); }

    // Returns whose record stood when this instance looked last; empty: nobody's.
    const InstanceName& leader() const { return m_leader; }

private:
    // The record that this instance wrote.
    struct Held {
        backing::LeaseId lease;
        std::uint64_t fence = 0; // The revision at which it was written.
    };

    bool acquire(Failure& failure);
    bool renew(Failure& failure);
    std::optional<backing::Record> read(backing::ReadAge age, Failure& failure);

    backing::WatchableStore& m_store;
    const Clock& m_clock;
    const InstanceName m_self;
    const LeaderLeaseSettings m_settings;
    std::optional<Held> m_held;
    std::optional<backing::LeaseId> m_uncertain; // Of a write whose answer was lost: it may still happen.
    SteadyTime m_provenUntil; // The record stands until then.
    InstanceName m_leader;
};

}
