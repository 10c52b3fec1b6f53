// Takes in the endpoints' entries in the store and hands the list on where it changes.
#pragma once

#include "entry/EntryShared.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/endpoint/EndpointRoster.h"
#include "whinyard/endpoint/RosterRelay.h"
#include "whinyard/peer/HeardVersion.h"
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
    void takeInstances(std::map<InstanceName, peer::InstanceNotice> instances);

    // Takes what another instance tells of the list. Called on the store duty.
    void takeNotice(const peer::RosterNotice& notice);
    void takePart(const peer::RosterPart& part);

    // Answers an instance that asks for the whole list.
    void answer(const net::Address& asker);

    // Asks followers for the whole list where that is needed. Returns whether the store is to be followed instead.
    bool mustFollow();

    // Returns whether other instances act on a newer configuration that this one should know by now; true now and then for
    // as long as it is so.
    bool isConfigurationBehind();

    // Notes that this instance begins to follow the store.
    void noteFollowing() const;

    // Notes that the store has just told what changed, so that the list is current.
    void noteCurrent() { m_relay.noteCurrent(m_shared.clock.now()); }

    // Tells the others what changed since the last call, or that nothing did. Call it after each call to the store, and a
    // few times within the silence that the others bear; it does nothing where this instance doesn't follow the store for
    // others, or hasn't heard of the store for too long.
    void tell();

private:
    bool mayTell() const;
    std::uint64_t ownConfiguration() const;
    void broadcast(std::vector<backing::ListedEndpoint> changed, std::vector<EndpointName> gone);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    endpoint::EndpointRoster m_roster;
    endpoint::RosterRelay m_relay;
    const std::uint64_t m_life; // Names this process's notices.
    std::uint64_t m_sequence = 0; // Of the last notice with changes.
    std::map<EndpointName, backing::ListedEndpoint> m_told; // The list as the others were told.
    std::map<InstanceName, peer::InstanceNotice> m_instances;
    peer::HeardVersion m_heardConfiguration;
    std::vector<peer::RosterPart> m_parts; // Of a whole list that isn't complete yet.
};

}
