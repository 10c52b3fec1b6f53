// Takes in the endpoints' entries in the store and hands the list on where it changes.
#pragma once

#include "entry/EntryShared.h"
#include "entry/OperatorRelay.h"
#include "entry/PeerExchange.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/endpoint/EndpointRoster.h"
#include "whinyard/endpoint/RosterRelay.h"
#include "whinyard/peer/Notices.h"
#include "whinyard/peer/RosterList.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace whinyard::daemon {

class RosterWatch final : public backing::PrefixObserver {
public:
    // All must outlive the object. `operators` is told what other instances state, and says what this one does.
    RosterWatch(EntryShared& shared, ServeDuty& serving, OperatorRelay& operators, PeerExchange& exchange, net::Duty& duty);

    void replaced(const std::vector<backing::Record>& records, backing::Revision at) override;
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

    // Begins to read the whole list from followers where that is needed. Returns whether the store is to be followed instead.
    bool mustFollow();

    // Returns whether this instance follows the store for the others.
    bool isFollower() const { return m_relay.isFollower(m_shared.clock.now()); }

    // Returns the instances that do, as far as this one knows.
    std::vector<InstanceName> followers() const { return m_relay.followers(m_shared.clock.now()); }

    // Returns all endpoints, as far as this instance knows.
    std::vector<backing::ListedEndpoint> endpoints() const { return m_roster.list(); }

    // Returns whether it does so beside a follower before it, whose word it hears.
    bool isSecondFollower() const { return m_relay.isSecondFollower(m_shared.clock.now()); }

    // Begins to follow the store. Returns the revision after which it is to be watched where other instances have told the list;
    // otherwise it is to be read.
    std::optional<backing::Revision> takeOver();

    // Notes that the store has just told what changed, so that the list is current.
    void noteCurrent() { m_relay.noteCurrent(m_shared.clock.now()); }

    // Tells the others what changed since the last call, that nothing did, or that the store fails this instance. Call it
    // after each call to the store, and a few times within the silence that the others bear; it does nothing where this
    // instance doesn't follow the store for others.
    void tell();

private:
    void noteEra(const Revision& at);
    bool mayTell() const;
    void noteUntold(const endpoint::RosterChanges& changes);
    std::set<EndpointName> takeUntold();
    void tellWithoutList();
    std::optional<std::string> told();
    void readFrom(const InstanceName& instance);
    std::optional<backing::ListedEndpoint> read(const backing::Record& record);
    void broadcast(std::vector<backing::ListedEndpoint> changed, std::vector<EndpointName> gone, bool isCompared);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    OperatorRelay& m_operators;
    PeerExchange& m_exchange;
    net::Duty& m_duty;
    endpoint::EndpointRoster m_roster;
    endpoint::RosterRelay m_relay;
    const std::uint64_t m_life; // Names this process's notices.
    std::uint64_t m_sequence = 0; // Of the last notice with changes.
    std::map<EndpointName, backing::ListedEndpoint> m_told; // The list as the others were told.
    std::optional<std::uint64_t> m_era; // Of the store, in which the list was read or told.
    std::optional<SteadyTime> m_returnedAt; // When this instance heard that the store came back from an older copy.
    backing::Revision m_knownUpTo = 0; // Of the store, by which this instance knows the list as a follower.
    backing::Revision m_touchedAt = 0; // Of the newest change of the list among them.
    backing::Revision m_changedAt = 0; // Since which the told list has not changed.
    std::set<EndpointName> m_untold; // What may differ from it.
    bool m_mayDiffer = true; // Anything may.
    bool m_isToldCurrent = false; // It was told since the store failed last. Changes are told against it all the same.
    std::set<std::string> m_unreadable; // Keys whose entries couldn't be read when they were written last.
    bool m_storeFails = false;
    std::size_t m_reads = 0; // Of the whole list from other instances, under way.
    std::string m_encoded; // The list of `m_encodedSequence`, as it is sent; empty before the first.
    std::uint64_t m_encodedSequence = 0;
};

}
