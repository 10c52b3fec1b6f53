// Takes in the endpoints' entries in the store and hands the list on where it changes.
#pragma once

#include "entry/EntryShared.h"
#include "entry/OperatorRelay.h"
#include "entry/PeerExchange.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/endpoint/EndpointRoster.h"
#include "whinyard/endpoint/RosterHistory.h"
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

    // Begins to read the list from other instances where that is needed. Returns whether the store is to be followed instead.
    bool mustFollow();

    // Returns whether this instance follows the store for the others.
    bool isFollower() const { return m_relay.isFollower(m_shared.clock.now()); }

    // Returns the instances that do, as far as this one knows.
    std::vector<InstanceName> followers() const { return m_relay.followers(m_shared.clock.now()); }

    // Returns all endpoints, as far as this instance knows.
    std::vector<backing::ListedEndpoint> endpoints() const { return m_roster.list(); }

    // Returns whether it does so beside a follower before it, whose word it hears.
    bool isSecondFollower() const { return m_relay.isSecondFollower(m_shared.clock.now()); }

    // Begins to follow the store. Returns the revision after which it is to be watched where a list is known; otherwise it is to be read.
    std::optional<backing::Revision> takeOver();

    // Notes that the store has just told what changed, so that the list is current.
    void noteCurrent() { m_relay.noteCurrent(m_shared.clock.now()); }

    // Tells the others what changed since the last call, that nothing did, or that the store fails this instance. Call it
    // after each call to the store; it does nothing where this instance doesn't follow the store for others.
    void tell();

    // Does the same where nothing was told for some time. Call it often within the silence that the others bear.
    void tellIfDue();

private:
    void noteEra(const Revision& at);
    void noteChanges(const endpoint::RosterChanges& changes);
    bool mayTell() const;
    void tellWithoutList();
    peer::RosterNotice nextNotice();
    bool addChanges(peer::RosterNotice& notice, const Revision& since);
    void send(const peer::RosterNotice& notice, std::size_t most);
    void handOn(peer::RosterNotice notice);
    void handOnHeld();
    std::optional<std::string> told(const std::string& request);
    peer::RosterList listAfter(const Revision& after) const;
    void readFrom(const InstanceName& instance);
    void takeList(const peer::RosterList& list);
    void takeChanges(const std::vector<backing::ListedEndpoint>& changed, const std::vector<EndpointName>& gone, const Revision& at);
    std::vector<backing::ListedEndpoint> withNewer(std::vector<backing::ListedEndpoint> listed, const Revision& at) const;
    void noteBehind(bool isBehind);
    std::optional<backing::ListedEndpoint> read(const backing::Record& record);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    OperatorRelay& m_operators;
    PeerExchange& m_exchange;
    net::Duty& m_duty;
    endpoint::EndpointRoster m_roster;
    endpoint::RosterRelay m_relay;
    endpoint::RosterHistory m_history;
    const std::uint64_t m_life; // Names this process's notices.
    std::uint64_t m_number = 0; // Of the last notice.
    std::size_t m_others = 0; // Other instances.
    bool m_isFollowing = false; // The store.
    std::optional<std::uint64_t> m_era; // Of the store, in which the list was read or told.
    std::optional<SteadyTime> m_returnedAt; // When this instance heard that the store came back from an older copy.
    std::optional<Revision> m_replacedAt; // The revision of a whole list that was read and is not settled yet.
    SteadyTime m_toldAt;
    Revision m_toldUpTo; // By the last notice as a follower,
    Revision m_toldBefore; // and by the one before it.
    std::set<EndpointName> m_late; // Dropped or taken without a change in the store, and not told yet.
    std::set<std::string> m_unreadable; // Keys whose entries couldn't be read when they were written last.
    bool m_storeFails = false;
    std::size_t m_reads = 0; // Of the list from other instances, under way.
    std::optional<SteadyTime> m_behindSince; // When something newer than the known list was heard of.
    std::map<InstanceName, peer::RosterNotice> m_held; // To hand on once the list is known up to them; the latest of each follower.
    std::map<Revision, std::string> m_encoded; // What changed after each revision, as it is sent,
    Revision m_encodedUpTo; // of the list as of this one.
};

}
