// Keeps how far roll-outs are in the store, where it survives every instance: reads the shared records and writes what
// this instance's version shifts ask for. What instances count goes from one to another by notices.
//
// A record is written under the condition that it is still the one that was read, so of several instances that come
// to the same step one writes it and the others learn of it.
#pragma once

#include "entry/EntryShared.h"
#include "entry/ServeDuty.h"
#include "whinyard/backing/WatchableStore.h"
#include "whinyard/policy/ShiftRecords.h"
#include "whinyard/policy/ShiftWrites.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace whinyard::daemon {

class ShiftKeeper {
public:
    // The prefix of the instances' own records about roll-outs.
    static constexpr std::string_view prefix = "whinyard/shift/";

    // All must outlive the object. `instances` returns how many there are.
    ShiftKeeper(EntryShared& shared, ServeDuty& serving, backing::WatchableStore& store, std::function<std::size_t()> instances);

    // Takes all records of roll-outs, as they are or were a moment ago; older ones than are known change nothing. What the store has
    // lost since it came back from an older copy is due again.
    void replaced(const std::vector<backing::Record>& records);

    // Returns whether a record is known only from before the store came back.
    bool isInDoubt() const;

    // Returns whether the records are to be read at once: writes fail, and nobody tells why.
    bool mustRead() const { return m_writes.mustRead(); }

    // Takes what another instance has written. Called on the store duty.
    void takeNotice(const peer::ShiftNotice& notice);

    // Writes what is due. Call it several times a second while there are orders, from one fiber of the store duty.
    void turn();

private:
    // Returns whether it is newer than what was known.
    bool take(const backing::Record& record);
    void writeRecord(const policy::ShiftOrder& order, const policy::ShiftRecord& record, const policy::ShiftFindings& findings);
    void tell(const peer::ShiftNotice& notice);
    void repeatNotices();
    bool isWorthTelling(const ServiceName& service, const policy::ShiftEvidence& evidence, bool isDeciding, SteadyTime now);

    // What this instance has told last.
    struct Told {
        policy::ShiftEvidence evidence;
        SteadyTime at;
    };

    EntryShared& m_shared;
    ServeDuty& m_serving;
    backing::WatchableStore& m_store;
    const std::function<std::size_t()> m_instances;
    std::map<ServiceName, backing::Revision> m_revisions; // Of the shared records.
    std::map<ServiceName, Told> m_told;
    policy::ShiftWrites m_writes;
    struct Repeated {
        peer::ShiftNotice notice;
        std::uint32_t left = 0;
    };

    std::vector<Repeated> m_repeated; // Notices that are sent again.
    bool m_read = false; // The records were read at least once: an absent one is known to be absent.
};

}
