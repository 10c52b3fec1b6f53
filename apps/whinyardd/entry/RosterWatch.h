// Takes in the endpoints' entries in the store and hands the list on where it changes.
#pragma once

#include "entry/EntryShared.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/endpoint/EndpointRoster.h"

namespace whinyard::daemon {

class RosterWatch final : public backing::PrefixObserver {
public:
    // Both must outlive the object.
    RosterWatch(EntryShared& shared, ServeDuty& serving);

    void replaced(const std::vector<backing::Record>& records) override;
    void changed(const std::vector<backing::RecordChange>& changes) override;
    void proven(SteadyTime startedAt) override;
    void failed(const Failure& failure) override;

    // Hands the list on if it has changed. Call it after each call to the store, and at least about every 200 ms while
    // the store is away.
    void settle();

private:
    EntryShared& m_shared;
    ServeDuty& m_serving;
    endpoint::EndpointRoster m_roster;
};

}
