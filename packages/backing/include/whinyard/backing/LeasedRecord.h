// Keeps one record of this process in a store for as long as the process lives.
//
// The record stands under a lease that is renewed; when the process is gone the record vanishes by itself. The daemon
// tells other instances its address by one. It is a hint, never a proof: a paused process still stands in the store.
#pragma once

#include "whinyard/backing/WatchableStore.h"

#include <chrono>
#include <optional>
#include <string>

namespace whinyard::backing {

class LeasedRecord {
public:
    // `store` must outlive the object.
    LeasedRecord(WatchableStore& store, std::string key, std::string value, std::chrono::milliseconds timeToLive);

    // Makes sure that the record stands: writes it under a new lease, or renews the lease. Call it a few times within
    // the time to live, from one fiber at a time. Returns false with the reason when the store could not be reached or refused.
    bool turn(Failure& failure);

    // Returns whether a turn waits for the store.
    bool isTurning() const { return m_isTurning; }

    // Takes over the record that an earlier life of this process left, if it holds the same value: its lease is then renewed,
    // which costs a twentieth of a new record. turn() writes it anew if the lease has ended meanwhile.
    void adopt(const Record& record);

    // Returns whether the record stood when turn() succeeded last, so that the next one only renews its lease.
    bool isHeld() const { return m_lease.has_value(); }

    // Returns whether the store has come back from an older copy since: it may have lost the record, which turn() finds out.
    bool isInDoubt() const { return m_lease && m_lease->era != m_store.era(); }

    // Takes the record back.
    void end();

private:
    bool turnOnce(Failure& failure);
    bool confirm(Failure& failure);
    bool write(Failure& failure);

    WatchableStore& m_store;
    const std::string m_key;
    const std::string m_value;
    const std::chrono::milliseconds m_timeToLive;
    std::optional<LeaseId> m_lease; // Under which the record stands.
    bool m_isTurning = false;
};

}
