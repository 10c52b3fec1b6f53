// Decides which instances follow the list of endpoints in the store, and lets the others learn of its changes from them.
//
// The list changes with every endpoint that comes or goes, and endpoints rewrite their entries about once a second, so
// a watch by every instance costs a store in proportion to instances times endpoints. Two instances follow it; the
// others take their notices, as long as they are heard often and without a gap, and follow the store themselves
// otherwise. Pure: the daemon sends what it says and asks it what to do.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace whinyard::endpoint {

struct RosterRelaySettings {
    std::size_t followers = 2; // Instances that follow the store: one, and one for when it is gone.
    std::chrono::milliseconds silence { 1'200 }; // Without a notice for so long an instance follows the store itself.
};

// A statement of one follower, as it was received.
struct RosterStatement {
    InstanceName instance;
    std::uint64_t life = 0;
    std::uint64_t sequence = 0;
    bool hasChanges = false;
};

enum class RelayAction : std::uint8_t {
    ignore, // The statement isn't of the follower that is listened to, or says nothing new.
    apply, // Its changes follow on what is known.
    readAnew, // Something was missed: the whole list must be read from the store.
};

class RosterRelay {
public:
    explicit RosterRelay(InstanceName self, const RosterRelaySettings& settings = {});

    // Takes the instances that live, this one included or not.
    void useInstances(const std::vector<InstanceName>& instances);

    // Returns whether this instance is one of those that follow the store for the others.
    bool isFollower() const;

    // Returns whether this instance has to follow the store now.
    bool mustFollow(SteadyTime now) const;

    // Takes a statement of another instance.
    RelayAction hear(const RosterStatement& statement, SteadyTime now);

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
};

}
