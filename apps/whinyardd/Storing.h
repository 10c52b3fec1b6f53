// The store duty: the configuration watch, the platform's instance list, and the ledgers.
#pragma once

#include "OnDuty.h"
#include "Shared.h"

#include "whinyard/backing/InstanceList.h"
#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/ledger/PeerMirrorChannel.h"
#include "whinyard/ledger/StoredIntentLedger.h"
#include "whinyard/ledger/StoredUsageLedger.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/peer/PeerService.h"

#include <functional>
#include <memory>

namespace whinyard::daemon {

// Takes each list that was fetched; called on the store duty.
using ListObserver = std::function<void(const std::vector<backing::ListedEndpoint>&)>;

class Storing {
public:
    // `shared` and `peers` must outlive the object.
    Storing(Shared& shared, peer::PeerService& peers);

    // Begins to watch the configuration and to poll the list.
    void start(ListObserver observer);

    // The ledgers, for the fibers of other duties.
    ledger::IntentLedger& intents() { return *m_intentsOnDuty; }
    ledger::UsageLedger& usage() { return *m_usageOnDuty; }

    // Takes and drops bill lines of other instances. Called on a fiber of another duty.
    bool hold(const ledger::Writer& origin, const std::vector<ledger::NumberedLine>& lines);
    std::uint64_t release(const ledger::Writer& origin, std::uint64_t through);

    // Writes this instance's bill lines now; false when some are not durable within `bound`. Called on a
    // fiber of another duty.
    bool flushUsage(std::chrono::milliseconds bound);

    // Returns whether the platform's list was ever fetched. Callable from any thread.
    bool listKnown() const { return m_listKnown; }

    // Returns whether the last call to the platform succeeded. Callable from any thread.
    bool storeReachable() const { return m_storeReachable; }

    // Makes durable what the ledgers hold, at most for `bound`. Called on a fiber of another duty.
    bool drain(std::chrono::milliseconds bound);

    void stop() { m_duty.stop(); }

private:
    void open();
    void watchConfiguration();
    void pollInstances();

    Shared& m_shared;
    ListObserver m_observer;
    peer::PeerService& m_peers;
    std::atomic<bool> m_listKnown = false;
    std::atomic<bool> m_storeReachable = true;
    ledger::PeerLiveWriters m_liveWriters;
    ledger::PeerMirrorChannel m_mirrorChannel;
    net::Duty m_duty { "store" };
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<backing::KeyValueStore> m_store;
    std::unique_ptr<backing::InstanceList> m_list;
    std::unique_ptr<ledger::StoredIntentLedger> m_intents;
    std::unique_ptr<ledger::StoredUsageLedger> m_usage;
    std::unique_ptr<IntentLedgerOnDuty> m_intentsOnDuty;
    std::unique_ptr<UsageLedgerOnDuty> m_usageOnDuty;
};

}
