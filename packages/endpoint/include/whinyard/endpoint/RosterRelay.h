// Decides which instances follow the endpoints' records in the store, and of whom the others learn what changes.
//
// Reads by every instance cost a store in proportion to instances times records. A few instances follow it; the others hear their
// statements, which whoever has heard one hands on to a few others. All know the same order of instances, and the first two of it
// that say that they are current follow. One that says nothing is passed over after a moment, two at a time, so that neither a start
// of all instances nor the loss of the first ones makes all of them read in the same second.
//
// What is known of the list is named by a revision of the store, whoever told it. An instance that missed something asks one that
// knows more for what changed since its own revision, and for the whole list where it has none; the store only where that fails, and
// then only a few of all instances at once. Pure: the daemon sends what it says and asks it what to do.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Random.h"
#include "whinyard/base/Revision.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace whinyard::endpoint {

struct RosterRelaySettings {
    std::size_t followers = 2; // Instances that follow the store: one, and one for when it is gone.
    std::chrono::milliseconds pause { 400 }; // Of a follower between its calls.
    std::chrono::milliseconds currentFor { 740 }; // Without an answer of the store, after which a follower isn't current.
    std::chrono::milliseconds tellInterval { 222 }; // Of a follower's statements.
    std::chrono::milliseconds silence { 740 }; // After which a follower that says nothing is no longer relied on.
    std::chrono::milliseconds turn { 100 }; // For the next two instances in order to say that they are current.
    // With nobody current after the followers were lost, an instance follows the store by itself: after this, and as much
    // again by its name, so that not all read at once.
    std::chrono::milliseconds lastResort { 200 };
    // The same three times at a start, when a follower may have to read all records over a small link first.
    std::chrono::milliseconds startTurn { 300 };
    std::chrono::milliseconds startResort { 1'500 };
    // For each instance that lives, where these are longer than the above: a list grows with the fleet, so that reading it takes its
    // first followers longer, and so many instances must not read it beside them in the same second.
    std::chrono::microseconds resortPerInstance { 3'000 };
    std::chrono::microseconds startTurnPerInstance { 1'000 };
    std::chrono::microseconds startResortPerInstance { 10'000 };
    // For another instance's list, before it is asked for again: many ways within a region. It doubles with each request beyond
    // `mostRequests`, as often as `mostDoublings`.
    std::chrono::milliseconds answerWait { 250 };
    std::chrono::milliseconds startWait { 100 }; // The same at a start, when callers wait already.
    std::uint32_t mostDoublings = 1;
    std::chrono::milliseconds listInterval { 200 }; // Between lists of others: what is told meanwhile comes with the next one.
    // After the store was away, for its followers to tell again: they wait 2.2 s for entries that lapsed meanwhile. Until then
    // nobody who lost them follows the store too; no endpoint that leaves is to be known sooner than three seconds after the return.
    std::chrono::milliseconds followersReturn { 2'800 };
    std::uint32_t firstRequests = 2; // To others, of a follower that has just started, before it reads the store.
    std::uint32_t mostRequests = 3; // Without an answer, after which the store may be asked.
    // So many that the store fails may mean an outage for all: further ones take over one by one, after as many pauses.
    std::size_t mostFailed = 6;
    std::chrono::milliseconds failedPause { 10'000 };
    std::size_t mostTellers = 8; // Instances to ask, the latest that were heard.
    // Of all instances, those with the largest links are asked at a start: this part of them, or the followers of a small fleet.
    std::size_t startSources = 16;
};

// Returns the settings by which a leaving endpoint gets no new work after `drain`, whichever followers lose the store or
// their lives: they go on to tell that nothing changed for `currentFor`, are found silent after `silence`, and the next ones
// take over, or the store is read.
RosterRelaySettings relaySettingsFor(std::chrono::milliseconds drain);

// An instance that may follow the store for the others.
struct RelayCandidate {
    InstanceName name;
    std::uint32_t linkMegabits = 0; // Of its link, which others read the list over.
};

// A statement of one follower, as it was received.
struct RosterStatement {
    InstanceName instance;
    std::uint64_t life = 0;
    std::uint64_t number = 0; // Rises with each statement of a life.
    bool hasChanges = false;
    bool isCurrent = true; // The store has just answered it.
    // Whoever knows the list at revision `since` of the store or later knows it up to `upTo` with the changes of the statement.
    Revision since {};
    Revision upTo {};
};

// What this instance has to do for its list to be right.
enum class RosterNeed : std::uint8_t {
    nothing, // The list is right, or an answer is awaited.
    ask, // Ask those that toAsk() names.
    follow, // Follow the store.
};

enum class RelayAction : std::uint8_t {
    ignore, // The statement says nothing new of the list.
    apply, // Its changes are to be taken.
    incomplete, // Something was missed: what changed since listedUpTo() is needed.
};

class RosterRelay {
public:
    explicit RosterRelay(InstanceName self, const RosterRelaySettings& settings = {}, Random random = Random());

    // Takes the instances that live, this one included or not.
    void useInstances(std::vector<RelayCandidate> instances, SteadyTime now);

    // Returns whether this instance is one of those that follow the store for the others.
    bool isFollower(SteadyTime now) const;

    // Returns whether it is one of them, and hears what changes from another that comes before it as well.
    bool isSecondFollower(SteadyTime now) const;

    // Returns the instances that follow the store for the others, as far as this one knows.
    std::vector<InstanceName> followers(SteadyTime now) const;

    RosterNeed need(SteadyTime now);

    // Notes that the store told this instance what changed, or failed to.
    void noteCurrent(SteadyTime now);
    void noteFailed(SteadyTime now);

    // Returns whether this instance is to tell others: it follows the store for them, and its list is current.
    bool mayTell(SteadyTime now) const;

    // Returns why the store is followed, for a person.
    std::string_view followReason(SteadyTime now) const;

    // Returns whom to ask for the list, and notes that they were asked.
    std::vector<InstanceName> toAsk(SteadyTime now);

    // Notes that one that was asked has no answer now, and that it is to be asked again after `wait` at the earliest.
    void noteRefused(const InstanceName& instance, std::chrono::milliseconds wait, SteadyTime now);

    // Returns whether a statement, or a later one of the same life, was heard before.
    bool hasHeard(const RosterStatement& statement) const;

    // Takes a statement of a follower.
    RelayAction hear(const RosterStatement& statement, SteadyTime now);

    // Takes up to which revision another instance knows the list; zero: it knows none.
    void hearTeller(const InstanceName& instance, const Revision& upTo, SteadyTime now);

    // Takes another instance's list as of `upTo`: what changed after `since`, or all of it where that is zero. Returns false where it
    // brings nothing.
    bool hearList(const Revision& since, const Revision& upTo, SteadyTime now);

    // Notes that the list is known up to a revision, by the store's own word.
    void noteRead(const Revision& upTo);

    // Returns up to which revision the list is complete, whether or not newer changes are known to be missing; zero: there is none. The
    // store can be watched on from there.
    const Revision& listedUpTo() const { return m_listedUpTo; }

    // Returns whether newer changes are known to be missing.
    bool isIncomplete() const { return m_isIncomplete; }

private:
    struct Heard {
        std::uint64_t life = 0;
        std::uint64_t number = 0;
        SteadyTime at;
        std::optional<SteadyTime> failedAt; // Since when it says that it isn't current.
    };

    struct Teller {
        InstanceName name;
        Revision upTo;
        SteadyTime notBefore; // When it may be asked.
    };

    struct RankedHeard {
        std::size_t rank;
        const Heard* heard;
    };

    // Returns those that have told something and come before a rank, in order.
    std::vector<RankedHeard> heardBefore(std::size_t rank) const;

    bool isCurrent(const Heard& heard, SteadyTime now) const { return !heard.failedAt && now - heard.at <= m_settings.silence; }

    // Returns the first instance in order that is current; none when there is none.
    std::optional<InstanceName> source(SteadyTime now) const;

    // Returns since when the first `instances` of the order have not been current, counting from `m_startedAt`.
    SteadyTime lostSince(std::size_t instances) const;

    std::chrono::microseconds scaled(std::chrono::milliseconds least, std::chrono::microseconds perInstance) const;
    bool isNew() const { return m_heard.empty(); } // Nobody was ever heard: this instance has just started.
    bool isAwaited(SteadyTime now) const;
    bool isOutage(const std::vector<RankedHeard>& before, SteadyTime now) const;
    bool mustAskFirst(SteadyTime now) const;
    bool mustFollowAlone(SteadyTime now) const;
    std::vector<InstanceName> tellersToAsk(SteadyTime now);
    std::vector<InstanceName> firstToAsk(SteadyTime now);
    void noteListed(const Revision& upTo);

    const InstanceName m_self;
    const RosterRelaySettings m_settings;
    Random m_random;
    std::vector<InstanceName> m_order; // All instances, in the order in which they follow.
    std::map<InstanceName, std::size_t> m_ranks; // In it.
    std::map<InstanceName, Heard> m_heard;
    std::vector<Teller> m_tellers; // The latest last.
    std::optional<SteadyTime> m_startedAt; // When other instances were known first.
    Revision m_listedUpTo; // Zero: there is no list.
    Revision m_neededUpTo; // Of what was missed.
    bool m_isIncomplete = false; // Something was missed that nobody has told since.
    bool m_hasList = false;
    bool m_followsAlone = false;
    bool m_readsStore = false; // For want of another instance's answer.
    std::uint32_t m_requests = 0; // For the list, since it was needed.
    SteadyTime m_requestedAt;
    std::optional<SteadyTime> m_toldListAt; // When another instance's list was taken last.
    std::optional<SteadyTime> m_failedAt; // When the store failed this instance last, or a follower said so of itself.
    bool m_hasLostStore = false; // The store has failed this instance, and not answered a call that follows it since.
    std::optional<SteadyTime> m_currentAt; // When the store answered last, unless it has failed since.
};

}
