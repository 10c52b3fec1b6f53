// Takes in where the other instances can be reached.
#pragma once

#include "entry/EntryShared.h"
#include "entry/RosterWatch.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/net/Duty.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::daemon {

class InstanceWatch {
public:
    // Every instance keeps a leased record under this prefix; its value is an address.
    static constexpr std::string_view prefix = "whinyard/instance/";

    // All must outlive the object.
    InstanceWatch(EntryShared& shared, ServeDuty& serving, RosterWatch& roster);

    // Takes all instances' records, as they are or were a moment ago, in the store's era. Those that are missing after it came back from
    // an older copy are kept for as long as their instances need to write them again.
    void replaced(const std::vector<backing::Record>& records, std::uint64_t era);

    // Returns whether the records that were taken name another instance.
    bool knowsOthers() const { return m_knowsOthers; }

    // Returns where an instance takes notices; nothing where it isn't known.
    std::optional<net::Address> addressOf(const InstanceName& instance) const;

    // Notes that the records show whoever started before this instance.
    void noteKnown();

    // Takes an instance that has just started. It is handed on by handOnAnnounced().
    void takeNotice(const peer::InstanceNotice& notice);

    // Waits until an instance has announced itself, at most for `wait`, and hands it on with all that follow within a moment: what
    // handing on costs grows with the fleet, and all of it may start at once.
    void handOnAnnounced(std::chrono::milliseconds wait);

    // Returns how many instances are known, this one included.
    std::size_t size() const { return m_handedOn.size(); }

    // Returns whether the other instances are known.
    bool isKnown() const { return m_isKnown; }

private:
    void handOn();
    void shareBounds();

    EntryShared& m_shared;
    ServeDuty& m_serving;
    RosterWatch& m_roster;

    struct Announced {
        peer::InstanceNotice notice;
        SteadyTime at;
    };

    std::map<InstanceName, peer::InstanceNotice> m_listed; // By the records.
    std::map<InstanceName, Announced> m_announced; // By their own notices, which come before their records.
    std::map<InstanceName, peer::InstanceNotice> m_handedOn;
    std::optional<std::uint64_t> m_era; // Of the store, at the last read.
    std::optional<SteadyTime> m_returnedAt; // When a read showed that the store came back.
    net::Signal m_announcement;
    bool m_hasAnnounced = false; // Some that are not handed on yet.
    bool m_isKnown = false;
    bool m_knowsOthers = false;
    bool m_wasRead = false; // Before the present read.
    bool m_isSettled = false; // A read showed those that started with this instance.
};

}
