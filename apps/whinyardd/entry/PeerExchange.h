// What instances read from each other over connections: records and lists that are too large for a notice.
#pragma once

#include "entry/EntryShared.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/peer/Notices.h"
#include "whinyard/peer/SendBudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace whinyard::daemon {

// Belongs to the store duty.
class PeerExchange {
public:
    // Returns what an instance that asks for a target is to be told; nothing where this one doesn't know it.
    using Source = std::function<std::optional<std::string>(const std::string& target)>;

    // Both must outlive the object.
    PeerExchange(EntryShared& shared, net::HttpClient& client);

    // Answers reads of targets with this path by `source`. Call it before open().
    void serve(const std::string& path, Source source) { m_sources[path] = std::move(source); }

    // Begins to answer, where the settings have an address for other instances.
    bool open(net::Duty& duty, Failure& failure);

    // Takes the instances that live.
    void useInstances(std::map<InstanceName, peer::InstanceNotice> instances) { m_instances = std::move(instances); }

    // Returns whether the instance can be read from.
    bool knows(const InstanceName& instance) const { return m_instances.contains(instance); }

    // Reads `target` from another instance. A read that makes progress ends, however long it takes. Fails with
    // peerUnreachable where that instance doesn't know, or sends as much as it may to others, which it says with a time, and as
    // net::HttpClient does.
    std::optional<std::string> read(const InstanceName& instance, const std::string& target, Failure& failure);

    // Returns how many connections of other instances stand.
    std::size_t connections() const { return m_server ? m_server->connections() : 0; }

    void close() { m_server.reset(); }

private:
    void answer(const net::HttpRequest& request, net::HttpResponder& responder);

    EntryShared& m_shared;
    net::HttpClient& m_client;
    const std::chrono::milliseconds m_answerWait; // For the begin of another instance's answer.
    peer::SendBudget m_budget;
    std::map<std::string, Source> m_sources;
    std::map<InstanceName, peer::InstanceNotice> m_instances;
    std::unique_ptr<net::HttpServer> m_server;
};

}
