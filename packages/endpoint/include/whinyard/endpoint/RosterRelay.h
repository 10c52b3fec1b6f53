// Decides which instances follow the operators' and the endpoints' records in the store, and lets the others learn of
// changes from them.
//
// Endpoints rewrite their entries about once a second, and a configuration of a thousand routes has some hundred
// kilobytes, so watches and reads by every instance cost a store in proportion to instances times records. A few instances
// follow the store; the others take their notices. All know the same order of instances, and the first two of it that say
// that they are current follow. One that says nothing is passed over after a moment, two at a time, so that neither a start
// of all instances nor the loss of the first ones makes all of them read in the same second. One that missed something asks
// a follower for the whole list, and the store only when nobody answers. Pure: the daemon sends what it says and asks it
// what to do.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"
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
    // For another follower to tell what the first one's statement builds on, before the whole list is asked for: more than a pause.
    std::chrono::milliseconds catchUp { 500 };
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
    // For a follower's whole list, before it is asked for again: many ways within a region.
    std::chrono::milliseconds answerWait { 250 };
    std::chrono::milliseconds startWait { 100 }; // The same at a start, when callers wait already.
    // After the store was away, for its followers to tell again: they wait 2.2 s for entries that lapsed meanwhile. Until then
    // nobody who lost them follows the store too; no endpoint that leaves is to be known sooner than three seconds after the return.
    std::chrono::milliseconds followersReturn { 2'800 };
    std::uint32_t mostRequests = 3; // Without an answer, after which the store is asked.
    std::size_t mostFailed = 6; // So many that the store fails mean an outage for all: no further one takes over.
};

// Returns the settings by which a leaving endpoint gets no new work after `drain`, whichever followers lose the store or
// their lives: they go on to tell that nothing changed for `currentFor`, are found silent after `silence`, and the next ones
// take over, or the store is read.
RosterRelaySettings relaySettingsFor(std::chrono::milliseconds drain);

// An instance that may follow the store for the others.
struct RelayCandidate {
    InstanceName name;
    std::uint32_t linkMegabits = 0; // Telling all others of a change takes a small link a good part of a second.
};

// A statement of one follower, as it was received.
struct RosterStatement {
    InstanceName instance;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    bool hasChanges = false;
    bool isCurrent = true; // The store has just answered it.
    // Whoever knows the list at revision `since` of the store or later, in the same era, knows it up to `upTo` with the changes of the
    // statement. Both 0: not stated, and only statements of one instance, without a gap, build on each other.
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
    ignore, // The statement says nothing new, or doesn't build on what is known and isn't of the follower that is listened to.
    apply, // Its changes follow on what is known.
    incomplete, // Something was missed: the whole list is needed.
};

class RosterRelay {
public:
    explicit RosterRelay(InstanceName self, const RosterRelaySettings& settings = {});

    // Takes the instances that live, this one included or not.
    void useInstances(std::vector<RelayCandidate> instances, SteadyTime now);

    // Returns whether this instance is one of those that follow the store for the others.
    bool isFollower(SteadyTime now) const;

    // Returns whether it is one of them, and hears what changes from another that comes before it as well.
    bool isSecondFollower(SteadyTime now) const;

    // Returns the instances that follow the store for the others, as far as this one knows.
    std::vector<InstanceName> followers(SteadyTime now) const;

    RosterNeed need(SteadyTime now) const;

    // Notes that the store told this instance what changed, or failed to.
    void noteCurrent(SteadyTime now) { m_currentAt = now; }
    void noteFailed(SteadyTime now)
    {
        m_known.reset();
        m_currentAt.reset();
        m_failedAt = now;
    }

    // Returns whether this instance is to tell others: it follows the store for them, and its list is current.
    bool mayTell(SteadyTime now) const;

    // Returns why the store is followed, for a person.
    std::string_view followReason(SteadyTime now) const;

    // Returns whom to ask for the whole list, and notes that they were asked.
    std::vector<InstanceName> toAsk(SteadyTime now);

    // Takes a statement of another instance.
    RelayAction hear(const RosterStatement& statement, SteadyTime now);

    // Takes the whole list of a follower, as it stood at this statement. Returns false when it isn't wanted.
    bool hearWhole(const RosterStatement& statement, SteadyTime now);

    // Notes that the whole list was read from the store.
    void noteRead();

    // What this instance knows of the list: everything up to a revision of the store, and since which it has not changed.
    struct Known {
        Revision since {};
        Revision upTo {};
    };

    // Returns it where others told the list without a gap, so that the store can be watched on from there.
    std::optional<Known> known() const { return m_incomplete ? std::nullopt : m_known; }

    // Notes what this instance knows by following the store itself.
    void noteKnown(const Known& known)
    {
        m_known = known;
        m_behind.reset();
    }

private:
    struct Heard {
        std::uint64_t life = 0;
        std::uint64_t sequence = 0;
        SteadyTime at;
        std::optional<SteadyTime> failedAt; // Since when it says that it isn't current.
    };

    // Returns whether an instance said lately that it is current.
    bool isCurrent(const InstanceName& name, SteadyTime now) const;

    // Returns the first instance in order that is current; none when there is none.
    std::optional<InstanceName> source(SteadyTime now) const;

    // Returns whether another instance than this one and `name` is current.
    bool hasOtherSource(const InstanceName& name, SteadyTime now) const;

    // Returns whether something was missed that nobody is expected to tell.
    bool isIncomplete(SteadyTime now) const;

    // Returns since when `instances` of the order have not been current, counting from `m_startedAt`.
    SteadyTime lostSince(std::size_t instances) const;

    // Notes what a statement says that builds on what is known.
    void noteTold(const RosterStatement& statement);

    std::chrono::microseconds scaled(std::chrono::milliseconds least, std::chrono::microseconds perInstance) const;
    std::size_t ownRank() const;
    bool isNew() const { return m_heard.empty(); } // Nobody was ever heard: this instance has just started.
    bool mustFollowAlone(SteadyTime now) const;

    const InstanceName m_self;
    const RosterRelaySettings m_settings;
    std::vector<InstanceName> m_order; // All instances, in the order in which they follow.
    std::map<InstanceName, Heard> m_heard;
    std::optional<InstanceName> m_source; // Whose changes were applied last.
    std::optional<SteadyTime> m_startedAt; // When other instances were known first.
    std::optional<Known> m_known; // Where the revisions were stated.
    struct Behind {
        Revision upTo {};
        SteadyTime since;
    };
    std::optional<Behind> m_behind; // The first follower builds on what another one is still to tell.
    bool m_incomplete = false; // Something was missed that nobody has told since.
    std::uint32_t m_requests = 0; // For the whole list, since it was needed.
    SteadyTime m_requestedAt;
    std::optional<SteadyTime> m_failedAt; // When the store failed this instance last, or a follower said so of itself.
    std::optional<SteadyTime> m_currentAt; // When the store answered last, unless it has failed since.
};

}
