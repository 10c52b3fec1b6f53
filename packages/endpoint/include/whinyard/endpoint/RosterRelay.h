// Decides which instances follow the list of endpoints in the store, and lets the others learn of its changes from them.
//
// The list changes with every endpoint that comes or goes, and endpoints rewrite their entries about once a second, so
// a watch by every instance costs a store in proportion to instances times endpoints. A few instances follow it; the
// others take their notices. One that missed something asks a follower for the whole list, and the store only when
// nobody answers; one that hears no follower at all follows the store itself. Pure: the daemon sends what it says and asks it what to do.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

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
    std::chrono::milliseconds currentFor { 800 }; // Without an answer of the store, after which a follower is silent.
    std::chrono::milliseconds tellInterval { 250 }; // Of a follower's statements.
    std::chrono::milliseconds silence { 800 }; // After which a follower that says nothing is no longer relied on.
    // For a follower's whole list, before it is asked for again: many ways within a region.
    std::chrono::milliseconds answerWait { 250 };
    // The same at the start, when callers wait already and all followers may just have started too: an answer takes a few
    // milliseconds.
    std::chrono::milliseconds startWait { 40 };
    // After the store was away, for its followers to tell again: they wait 2.2 s for entries that lapsed meanwhile. Until then
    // nobody who lost them follows the store too; no endpoint that leaves is to be known sooner than three seconds after the return.
    std::chrono::milliseconds followersReturn { 2'800 };
    std::uint32_t mostRequests = 3; // Without an answer, after which the store is asked.
};

// Returns the settings by which a leaving endpoint gets no new work after `drain`, whatever single follower loses the store
// or its life: it goes on to tell that nothing changed for `currentFor`, is found silent after `silence`, and another one is
// asked for its list.
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
};

// What this instance has to do for its list to be right.
enum class RosterNeed : std::uint8_t {
    nothing, // The list is right, or an answer is awaited.
    ask, // Ask those that toAsk() names.
    follow, // Follow the store.
};

enum class RelayAction : std::uint8_t {
    ignore, // The statement isn't of the follower that is listened to, or says nothing new.
    apply, // Its changes follow on what is known.
    incomplete, // Something was missed: the whole list is needed.
};

class RosterRelay {
public:
    explicit RosterRelay(InstanceName self, const RosterRelaySettings& settings = {});

    // Takes the instances that live, this one included or not.
    void useInstances(std::vector<RelayCandidate> instances);

    // Returns whether this instance is one of those that follow the store for the others.
    bool isFollower() const;

    RosterNeed need(SteadyTime now) const;

    // Notes that the store told this instance what changed, or failed to.
    void noteCurrent(SteadyTime now) { m_currentAt = now; }
    void noteFailed(SteadyTime now)
    {
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

private:
    struct Heard {
        std::uint64_t life = 0;
        std::uint64_t sequence = 0;
        SteadyTime at;
    };

    // Returns the first follower that was heard of late; none when all are silent.
    std::optional<InstanceName> source(SteadyTime now) const;

    const InstanceName m_self;
    const RosterRelaySettings m_settings;
    std::vector<InstanceName> m_followers; // In the order in which they are listened to.
    std::map<InstanceName, Heard> m_heard;
    std::optional<InstanceName> m_source; // Whose changes were applied last.
    bool m_incomplete = false; // Something was missed that nobody has told since.
    std::uint32_t m_requests = 0; // For the whole list, since it was needed.
    SteadyTime m_requestedAt;
    std::optional<SteadyTime> m_failedAt; // When the store failed this instance last.
    std::optional<SteadyTime> m_currentAt; // When the store answered last, unless it has failed since.
};

}
