// Takes in what operators write: the configuration, the roll-out orders and the evacuations of zones.
#pragma once

#include "entry/EntryShared.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/peer/RecordBook.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

namespace whinyard::daemon {

class OperatorWatch final : public backing::PrefixObserver {
public:
    // Both must outlive the object.
    OperatorWatch(EntryShared& shared, ServeDuty& serving);

    void replaced(const std::vector<backing::Record>& records, backing::Revision at) override;
    void changed(const std::vector<backing::RecordChange>& changes) override;
    void proven(SteadyTime) override { }
    void failed(const Failure&) override { } // The probe of the store tells of outages.

    // Takes the records as another instance tells them: all of them where they are newer than the known ones, and from any what
    // the store has lost.
    void takeSnapshot(const peer::RecordSnapshot& snapshot);

    // Notes that a read of the store has told everything up to `revision` of it.
    void noteRead(const Revision& revision);

    // Returns all records, for other instances.
    peer::RecordSnapshot snapshot() const;

    // Returns a number that changes with the snapshot.
    std::uint64_t edition() const { return m_book.edition(); }

    // Leaves records that operators have not written again, since the store came back from an older copy, to the store. Call it a
    // few times a second.
    void settle();

    // Returns the revision of the newest change that is known; 0 before the first read.
    const Revision& revision() const { return m_book.revision(); }

    // Returns the revision of the store up to which no change is missing.
    Revision knownUpTo() const { return std::max(revision(), m_knownUpTo); }

    // Returns whether there is any order.
    bool hasOrders() const { return !m_ordered.empty(); }

    // Returns whether the first records that this instance saw held an order: it may be under way for long.
    bool beganWithOrders() const { return m_beganWithOrders; }

private:
    void takeAll(bool isFirst);
    void take(const backing::Record& record);
    void takeConfiguration(const backing::Record& record);
    void takeOrder(const backing::Record& record);
    void dropOrder(const ServiceName& service);
    void takeEvacuations();
    void noteKnown();

    EntryShared& m_shared;
    ServeDuty& m_serving;
    std::map<ServiceName, Revision> m_ordered; // Services with an order, and its revision.
    peer::RecordBook m_book;
    Revision m_configuration; // The revision of the record that was read last.
    std::map<ZoneName, Revision> m_evacuated; // Zones with an order that is in force, and its revision.
    Revision m_knownUpTo;
    bool m_beganWithOrders = false;
};

}
