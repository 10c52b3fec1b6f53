// The state of a PeerService, shared with its fibers: ServiceState.cpp drives heartbeats and the
// configuration, ServiceCalls.cpp the calls.
#pragma once

#include "whinyard/net/FrameClient.h"
#include "whinyard/net/FrameServer.h"
#include "whinyard/net/UdpSocket.h"
#include "whinyard/peer/PeerService.h"

#include <mutex>

namespace whinyard::peer {

struct PeerService::State : std::enable_shared_from_this<PeerService::State> {
    State(net::Duty& peersDuty, PeerServiceOptions serviceOptions, const PeerServiceParts& serviceParts);

    // On the duty.
    bool open(Failure& failure);
    void startFibers();
    void close();
    void receiveDatagrams();
    void tickWhenDue();
    void tick();
    void sendAll(const std::vector<Outgoing>& out);
    void fetch(const InstanceName& from);
    void copyTables();
    bool copyTablesOnce();
    bool copyMembersFrom(const InstanceName& instance);
    bool copyGossipFrom(const InstanceName& instance);
    std::optional<std::string> answerFrame(std::string_view bytes);
    Response handle(const OpenedRequest& opened);
    std::optional<Response> call(const InstanceName& instance, const Request& request, std::chrono::milliseconds timeout, Failure& failure);
    void askAllFor(AcceptanceTracker& tracker, std::uint64_t revision, const std::vector<InstanceName>& instances, std::chrono::milliseconds timeout);
    Acceptance confirm(std::uint64_t revision, std::chrono::milliseconds timeout);

    // From any thread.
    void useContacts(std::vector<Contact> listed);
    void adopt(const ReadConfiguration& read);
    void afterStep();
    void reportMetrics();

    net::Duty& duty;
    const PeerServiceParts parts;
    const PeerServiceOptions options;
    net::Address address;

    // Used on the duty only.
    Codec codec;
    std::unique_ptr<net::UdpSocket> socket;
    std::unique_ptr<net::FrameServer> server;
    std::unique_ptr<net::FrameClient> client;
    bool isClosed = false;
    SteadyTime lastMetrics {};
    Random random; // Draws whose tables are copied.

    // Guards what follows: short sections that never suspend, since the gate asks from other threads.
    mutable std::mutex mutex;
    ConfigurationSpread spread;
    std::unique_ptr<Membership> membership;
    std::shared_ptr<const MembershipView> view;
    std::shared_ptr<const config::Configuration> configuration;
};

}
