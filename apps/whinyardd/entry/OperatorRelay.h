// Tells other instances the operators' records, and reads them from others where those know newer ones.
#pragma once

#include "entry/EntryShared.h"
#include "entry/OperatorWatch.h"
#include "whinyard/backing/WatchableStore.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/peer/HeardRevisions.h"
#include "whinyard/peer/Notices.h"

#include <map>
#include <memory>
#include <string>

namespace whinyard::daemon {

// Belongs to the store duty.
class OperatorRelay {
public:
    // All must outlive the object.
    OperatorRelay(EntryShared& shared, OperatorWatch& watch, net::HttpClient& client, backing::WatchableStore& store);

    // Begins to answer other instances, where the settings have an address for them.
    bool open(net::Duty& duty, Failure& failure);

    // Takes the instances that live.
    void useInstances(std::map<InstanceName, peer::InstanceNotice> instances) { m_instances = std::move(instances); }

    // Takes up to which revision another instance knows the records.
    void hear(const InstanceName& instance, std::uint64_t revision);

    // Makes the read that is due, if any, and waits for it.
    void turn(bool isFollower);

    // Returns the revision that this instance states.
    std::uint64_t revision() const { return m_watch.revision(); }

    // Waits until something was heard, at most for `wait`.
    void awaitNews(std::chrono::milliseconds wait) { m_news.wait(wait); }

    void close() { m_server.reset(); }

private:
    void answer(net::HttpResponder& responder);
    bool readFrom(const InstanceName& instance, Failure& failure);
    bool readStore(Failure& failure);
    void noteBehind();
    void logEnd(const peer::RevisionRead& read, bool succeeded, const Failure& failure);

    EntryShared& m_shared;
    OperatorWatch& m_watch;
    net::HttpClient& m_client;
    backing::WatchableStore& m_store;
    peer::HeardRevisions m_heard;
    std::map<InstanceName, peer::InstanceNotice> m_instances;
    std::unique_ptr<net::HttpServer> m_server;
    net::Signal m_news;
    std::string m_encoded; // The snapshot of `m_encodedRevision`, as it is sent.
    std::uint64_t m_encodedRevision = 0;
    std::uint32_t m_failures = 0; // Reads that failed since the last one that didn't.
};

}
