// The store duty of an entry daemon: follows the operators' and the endpoints' records in the site's store, keeps
// roll-outs there, and serves the metrics.
#pragma once

#include "entry/EntryShared.h"
#include "entry/InstanceWatch.h"
#include "entry/LeaderWork.h"
#include "entry/OperatorRelay.h"
#include "entry/OperatorWatch.h"
#include "entry/PeerExchange.h"
#include "entry/QueryKeeper.h"
#include "entry/RosterWatch.h"
#include "entry/ServeDuty.h"
#include "entry/ShiftKeeper.h"
#include "entry/StoreProbe.h"
#include "whinyard/backing/LeasedRecord.h"
#include "whinyard/backing/PrefixFollower.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace whinyard::daemon {

class StoreDuty {
public:
    // Both must outlive the object.
    StoreDuty(EntryShared& shared, ServeDuty& serving);

    // Opens the metrics address, if there is one, and begins to follow.
    bool open(Failure& failure);

    void stop();

private:
    bool openOnDuty(Failure& failure);
    void tellConnections() const;
    void followOperators();
    void readFromOthers();
    void awaitInstances();
    void followEndpoints();
    void readShifts();
    void writeShifts();
    peer::InstanceNotice ownNotice() const;
    void readInstances();
    void handOnInstances();
    void writeVerdicts();
    void adoptOwnRecord(const std::vector<backing::Record>& records);
    void tellEndpoints();
    void keepOwnRecord();
    void writeOwnRecordAgain();
    bool awaitShifts(std::chrono::milliseconds interval);
    void settleRoster();
    void spawnLeaderWork();
    void postToLeaderWork(std::function<void(LeaderWork&)> use);

    // Reads all records under a prefix; after a failure it waits for the store and tries again. Returns nothing only when
    // the daemon stops.
    std::optional<std::vector<backing::Record>> readUntilAnswered(std::string_view prefix, backing::ReadAge age);

    // Makes one call; pauses after it, longer when it failed.
    void turn(backing::PrefixFollower& follower, std::chrono::milliseconds pause);

    EntryShared& m_shared;
    ServeDuty& m_serving;
    Random m_random;
    net::Duty m_duty { "store" };
    bool m_follows = false; // This instance follows the store.
    net::Signal m_followsNow;
    net::Signal m_mayKeepRecord; // What stands in the store of an earlier life is known.
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<net::HttpClient> m_instanceClient; // For reads from other instances.
    std::unique_ptr<backing::WatchableStore> m_store;
    std::unique_ptr<OperatorWatch> m_operators;
    std::unique_ptr<PeerExchange> m_exchange;
    std::unique_ptr<OperatorRelay> m_operatorRelay;
    std::unique_ptr<RosterWatch> m_roster;
    std::unique_ptr<StoreProbe> m_probe;
    std::unique_ptr<ShiftKeeper> m_shifts;
    std::unique_ptr<InstanceWatch> m_instances;
    std::unique_ptr<QueryKeeper> m_queries;
    std::unique_ptr<LeaderWork> m_leaderWork; // Null where the site has no provider.
    std::optional<backing::LeasedRecord> m_ownRecord; // By which other instances find this one.
    std::unique_ptr<net::HttpServer> m_metricsServer;
};

}
