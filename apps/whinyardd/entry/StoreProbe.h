// Finds out whether the store answers this instance: by probes, and at once after a call that failed.
//
// While it doesn't, only the probe calls it; the other fibers of the store duty wait here.
#pragma once

#include "Shared.h"
#include "entry/EntryShared.h"
#include "entry/RosterWatch.h"
#include "whinyard/backing/LeasedRecord.h"
#include "whinyard/backing/WatchableStore.h"
#include "whinyard/base/Random.h"
#include "whinyard/net/Duty.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>

namespace whinyard::daemon {

// Belongs to the store duty.
class StoreProbe {
public:
    // All must outlive the object. `ownRecord` is what a probe renews once it stands; `roster` is told of outages.
    StoreProbe(EntryShared& shared, net::Duty& duty, backing::WatchableStore& store, RosterWatch& roster, std::optional<backing::LeasedRecord>& ownRecord);

    // Probes until the daemon stops.
    void run();

    // Notes whether this instance follows the store: it then probes more often.
    void useFollowing(bool follows) { m_follows = follows; }

    // Waits while the store is known to be away.
    void awaitStore();

    // Returns whether the store is not known to be away.
    bool answers() const { return m_answers; }

    // Notes that a call has failed.
    void noteFailure();

    // Returns how often reads were ended after an outage; their failures say nothing about the store.
    std::uint64_t interruptions() const { return m_interruptions; }

private:
    std::chrono::milliseconds pause();
    void probeOnce();
    void probeBesideOthers();
    void noteProbe(SteadyTime began, bool answers, const Failure& failure);
    void interruptReads();

    EntryShared& m_shared;
    net::Duty& m_duty;
    backing::WatchableStore& m_store;
    RosterWatch& m_roster;
    std::optional<backing::LeasedRecord>& m_ownRecord;
    OutageLog m_outage;
    Random m_random;
    bool m_follows = false;
    bool m_answers = true; // The last probe was answered, and no call has failed since.
    std::uint64_t m_interruptions = 0;
    SteadyTime m_startedAt;
    SteadyTime m_answeredAt; // When the latest probe that was answered began.
    std::multiset<SteadyTime> m_probes; // When those that wait now began.
    net::Signal m_suspected; // A call has failed.
    net::Signal m_returned; // The store answers again.
};

}
