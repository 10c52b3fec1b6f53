// Takes in the endpoints' entries in the store and hands the list on where it changes.
#pragma once

#include "entry/EntryShared.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/endpoint/EndpointRoster.h"
#include "whinyard/endpoint/RosterRelay.h"
#include "whinyard/peer/Notices.h"

#include <map>
#include <utility>
#include <vector>

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

    // Takes the instances that live.
    void takeInstances(const std::vector<InstanceName>& instances) { m_relay.useInstances(instances); }

    // Takes what another instance tells of the list. Called on the store duty.
    void takeNotice(const peer::RosterNotice& notice);

    // Returns whether the store is to be asked now: this instance follows it for others, nobody who does is heard, or
    // something that was told was missed.
    bool mustFollow() const;

    // Returns whether the whole list must be read; true once for each time that something was missed.
    bool takeReadAnew() { return std::exchange(m_readAnew, false); }

    // Tells the others what changed since the last call, or that nothing did. Call it after each successful call to the
    // store; it does nothing where this instance doesn't follow the store for others.
    void tell();

private:
    void broadcast(std::vector<backing::ListedEndpoint> changed, std::vector<EndpointName> gone);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    endpoint::EndpointRoster m_roster;
    endpoint::RosterRelay m_relay;
    const std::uint64_t m_life; // Names this process's notices.
    std::uint64_t m_sequence = 0; // Of the last notice with changes.
    std::map<EndpointName, backing::ListedEndpoint> m_told; // The list as the others were told.
    bool m_readAnew = false;
};

}
