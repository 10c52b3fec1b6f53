// How an instance keeps the operators' configuration and knows how old its knowledge is: which instances
// ask the store, how the others learn, and when an instance may go on without the store. Without
// sockets and without a clock of its own.
//
// PeerService drives it; standing() is asked before each dispatch. The argument stands in docs/MEMBERSHIP.md.
//
// A *proof* is a time at which the store was read and held nothing above the revision held here. It comes
// from an own read or, with its age, in a peer's heartbeat; ages only grow on the way. A *vote* is an instance's
// statement that it has no recent proof and knows of no revision above `known`. Votes of a majority of
// the instances, none older than the bound, allow to go on while the store is away: a change counts as accepted only
// when a majority confirmed it, and the two majorities share an instance.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Random.h"
#include "whinyard/peer/Membership.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::peer {

struct SpreadOptions {
    std::chrono::milliseconds bound { 5'000 }; // The greatest age of a proof or vote that counts.
    std::chrono::milliseconds silentAfter { 2'500 }; // The age of the proof from which an instance votes.
    std::chrono::milliseconds ownReadAfter { 3'500 }; // The age of the proof from which every instance asks the store itself.
    std::chrono::milliseconds watchRetry { 250 }; // After a failure, for instances that watch.
    std::chrono::milliseconds ownReadRetry { 2'000 }; // After a failure, for all others.
    std::chrono::milliseconds storeCallLost { 10'000 }; // After so long a call to the store that wasn't reported is given up.
    std::chrono::milliseconds fetchRetry { 100 }; // When no peer could give a revision that is known of.
    std::size_t watchersPerZone = 2;
};

enum class Standing : std::uint8_t {
    fresh, // What is held may be acted on.
    catchingUp, // A higher revision is known and being fetched: wait a moment, dispatch nothing.
    stale, // What is permitted now can't be known: refuse with configurationStale.
};

// Why an instance's knowledge counts as fresh.
enum class FreshnessSource : std::uint8_t {
    none,
    proof,
    votes,
};

// Digests a name for votes.
std::uint32_t voteDigest(const InstanceName& name);

class ConfigurationSpread final : public ReportExchange {
public:
    ConfigurationSpread(InstanceName self, ZoneName zone, SpreadOptions options, std::uint64_t seed, SteadyTime startedAt);

    // Sets the instances whose majority decides: the last known instance list of the platform, or the
    // seeds while there was none. The members of the view are added to it.
    void setInstances(std::vector<InstanceName> instances);

    // Takes a new picture of the membership.
    void setView(const MembershipView& view);

    // Returns whether this instance is one of its zone's that watch the store.
    bool isWatcher() const;

    // Returns whether to start a call to the store now. True obliges the caller to report its end with one of the
    // three functions below; until then it returns false.
    bool takeStoreCall(SteadyTime now);

    // Tells the outcome of a call that was started at `startedAt`. Revision 0 stands for an absent record.
    void storeAnswered(SteadyTime startedAt, std::uint64_t revision, std::string record, SteadyTime now);

    // The store said that nothing above `revision` had been written by the start of the call.
    void storeUnchanged(SteadyTime startedAt, std::uint64_t revision, SteadyTime now);
    void storeFailed(SteadyTime now);

    // Returns the peer to fetch a higher revision from now, or nothing. The caller reports the end with one of
    // the two functions below; until then it returns nothing.
    std::optional<InstanceName> takeFetch(SteadyTime now);
    void fetched(const InstanceName& from, SteadyTime startedAt, const FetchConfigurationAnswer& answer, SteadyTime now);
    void fetchFailed(const InstanceName& from, SteadyTime now);

    // Answers another instance's fetch. `self` is this instance's incarnation.
    FetchConfigurationAnswer answer(const FetchConfiguration& request, Incarnation self, SteadyTime now) const;

    Standing standing(SteadyTime now) const;
    FreshnessSource freshness(SteadyTime now) const;

    // Returns until when the knowledge counts as fresh if nothing more is heard; nothing while it never did.
    std::optional<SteadyTime> freshUntil() const;

    // Returns the instances whose majority decides, in no particular order.
    std::vector<InstanceName> electorate() const;

    // Returns whether standing() is fresh; else fills `failure` with configurationStale, run state notRun.
    bool mayServe(SteadyTime now, Failure& failure) const;

    std::uint64_t held() const { return m_held; }
    std::uint64_t known() const { return m_known; }
    const std::string& record() const { return m_record; } // Of the held revision.
    std::optional<std::chrono::milliseconds> proofAge(SteadyTime now) const;

    ConfigurationReport report(SteadyTime now) override;
    void heard(const Sender& sender, const ConfigurationReport& report, std::optional<SteadyTime> earliest, SteadyTime now) override;

private:
    void prove(std::uint64_t revision, SteadyTime at);
    void adopt(std::uint64_t revision, std::string record);
    void learnOf(std::uint64_t revision);
    void addHolder(const InstanceName& name);
    void takeVotes(const Sender& sender, const ConfigurationReport& report, SteadyTime earliest);
    void takeVote(const InstanceName& name, SteadyTime at);
    void makeElectorate();
    std::size_t majority() const { return m_electorate.size() / 2 + 1; }
    std::size_t votesSince(SteadyTime since) const;
    bool isSilent(SteadyTime now) const;
    std::optional<SteadyTime> votedAt() const;
    void recoverVote();
    std::vector<Vote> votesToTell(SteadyTime now);

    const InstanceName m_self;
    const ZoneName m_zone;
    const SpreadOptions m_options;
    const SteadyTime m_startedAt;
    Random m_random;

    std::uint64_t m_held = 0;
    std::uint64_t m_known = 0;
    std::string m_record;
    std::optional<SteadyTime> m_provenAt;

    std::vector<InstanceName> m_instances; // As set.
    std::vector<InstanceName> m_members; // Of the view, in the order of names.
    std::vector<InstanceName> m_watchers; // Of the own zone.
    std::map<InstanceName, std::uint64_t> m_memberRevisions;
    std::map<std::uint32_t, InstanceName> m_electorate; // By digest of the name; includes this instance.
    std::map<InstanceName, SteadyTime> m_votes; // Of others: the latest time at which each is sure to have voted.
    bool m_mayVote = false; // Whether every revision accepted before this process started is known.

    std::optional<SteadyTime> m_storeCallSince;
    SteadyTime m_nextStoreCall {};
    std::optional<SteadyTime> m_reachedAt;
    bool m_didStoreFail = false;

    bool m_isFetchOpen = false;
    SteadyTime m_nextFetch {};
    std::vector<InstanceName> m_holders; // Peers that said they hold m_known, the latest last.
    std::optional<SteadyTime> m_behindSince; // Since when m_known is above m_held.
};

}
