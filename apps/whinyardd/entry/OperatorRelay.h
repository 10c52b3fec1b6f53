// Tells other instances the operators' records, and reads them from others where those know newer ones.
#pragma once

#include "entry/EntryShared.h"
#include "entry/OperatorWatch.h"
#include "entry/PeerExchange.h"
#include "whinyard/backing/WatchableStore.h"
#include "whinyard/peer/HeardRevisions.h"

#include <optional>
#include <string>

namespace whinyard::daemon {

// Belongs to the store duty.
class OperatorRelay {
public:
    // All must outlive the object.
    OperatorRelay(EntryShared& shared, OperatorWatch& watch, ServeDuty& serving, PeerExchange& exchange, backing::WatchableStore& store);

    // Takes how many instances there are.
    void useInstances(std::size_t instances);

    // Takes up to which revision another instance knows the records.
    void hear(const InstanceName& instance, const Revision& revision);

    // Makes the read that is due, if any, and waits for it.
    void turn(bool isFollower);

    // Returns the revision that this instance states.
    const Revision& revision() const { return m_watch.revision(); }

    // Waits until something was heard, at most for `wait`.
    void awaitNews(std::chrono::milliseconds wait) { m_news.wait(wait); }

private:
    std::optional<std::string> told();
    bool readFrom(const InstanceName& instance, Failure& failure);
    void readFirst();
    void handOn();
    bool readStore(Failure& failure);
    void noteBehind();
    void logEnd(const peer::RevisionRead& read, bool succeeded, const Failure& failure);

    EntryShared& m_shared;
    OperatorWatch& m_watch;
    ServeDuty& m_serving;
    PeerExchange& m_exchange;
    backing::WatchableStore& m_store;
    peer::HeardRevisions m_heard;
    net::Signal m_news;
    std::size_t m_instances = 1;
    Revision m_handedOn; // That others were told last.
    std::optional<SteadyTime> m_behindSince; // When something newer than what is known was heard of.
    std::string m_encoded; // The snapshot of `m_encodedRevision` and `m_encodedEdition`, as it is sent.
    Revision m_encodedRevision;
    std::uint64_t m_encodedEdition = 0;
    std::optional<InstanceName> m_firstHeard; // That knows records.
    std::uint32_t m_firstReads = 0; // Begun, until one has succeeded.
    bool m_hasReadOther = false; // This instance has taken another one's records at least once.
    std::uint32_t m_failures = 0; // Reads that failed since the last one that didn't.
};

}
