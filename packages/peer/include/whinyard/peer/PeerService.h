// The duty "peers": heartbeats over UDP, calls over TCP, and the newest configuration that this instance
// knows. It drives Membership and ConfigurationSpread with the machine's time and sockets.
//
// The daemon opens one on the duty and hands it to the router, the ledger and the administration API as Peers.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/net/Duty.h"
#include "whinyard/peer/Acceptance.h"
#include "whinyard/peer/Codec.h"
#include "whinyard/peer/ConfigurationSpread.h"
#include "whinyard/peer/Membership.h"
#include "whinyard/peer/Peers.h"
#include "whinyard/peer/StoreWatch.h"
#include "whinyard/settings/DaemonSettings.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace whinyard::peer {

struct PeerServiceOptions {
    Sender self;
    ZoneName zone;
    net::Address address; // For UDP and TCP; port 0 takes a free one.
    std::vector<settings::Seed> seeds;
    std::vector<PeerKey> keys; // From loadPeerKeys().
    MembershipOptions membership;
    SpreadOptions spread;
    std::uint64_t seed = 0; // Of all random choices.
};

// Fills the options from settings; the incarnation is the process's.
PeerServiceOptions peerServiceOptions(const settings::DaemonSettings& settings, Incarnation incarnation, std::vector<PeerKey> keys, std::uint64_t seed);

// What the parts of a PeerService are made of. All must live until the duty has stopped.
struct PeerServiceParts {
    const Clock& clock;
    HybridClock& hybridClock;
    Metrics& metrics;
    PeerHandler& handler;
};

// Every function may be called from any thread unless it says otherwise.
class PeerService final : public Peers, public ConfigurationKeeper {
public:
    // Opens the sockets and starts the fibers. Called on the duty. Returns null with the reason, for
    // example a port in use.
    static std::unique_ptr<PeerService> open(net::Duty& duty, PeerServiceOptions options, const PeerServiceParts& parts, Failure& failure);

    // Closes, if close() was not called. Called on the duty, or after it has stopped.
    ~PeerService() override;

    net::Address address() const;

    // Sets the instances that the platform's list names, whenever it was fetched. Their majority decides on
    // freshness and acceptance, and those that aren't known to live are tried. Until the first time
    // the seeds stand in for them.
    void setInstances(std::vector<Contact> listed);

    // Returns the newest configuration that this instance holds; null before the first.
    std::shared_ptr<const config::Configuration> configuration() const;

    // Returns whether the configuration may be acted on at this moment. Asked before each dispatch. Else fills
    // `failure` with configurationStale, run state notRun; its retryAfter is short while a newer one is being fetched.
    bool mayServe(Failure& failure) const;

    Standing standing() const;

    // Asks all instances whether they hold `revision` until it is accepted, at most for `timeout`. Needs a fiber
    // of a duty, which it suspends.
    Acceptance confirm(std::uint64_t revision, std::chrono::milliseconds timeout);

    // Tells the others that this instance ends, and closes the sockets. Called on the duty.
    void close();

    std::shared_ptr<const MembershipView> view() const override;
    std::optional<Response> call(const InstanceName& instance, const Request& request, std::chrono::milliseconds timeout, Failure& failure) override;
    bool publish(const std::string& topic, std::string value) override;
    std::vector<GossipEntry> published(const std::string& topic) const override;
    void announceLeaving() override;

    bool takeStoreCall() override;
    void storeAnswered(SteadyTime startedAt, ReadConfiguration read) override;
    void storeUnchanged(SteadyTime startedAt, std::uint64_t revision) override;
    void storeFailed() override;

private:
    struct State;
    explicit PeerService(std::shared_ptr<State> state);

    std::shared_ptr<State> m_state; // Shared with the fibers.
};

}
