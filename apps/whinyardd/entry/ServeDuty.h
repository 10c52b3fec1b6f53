// The serve duty of an entry daemon: callers' requests, the forwarding path, and the site's question for readiness.
#pragma once

#include "Serving.h"
#include "entry/EntryShared.h"
#include "entry/PeerLink.h"
#include "platform/HttpCodec.h"
#include "whinyard/base/SettledWallClock.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/endpoint/EndpointRoster.h"
#include "whinyard/leadership/UsageWindows.h"
#include "whinyard/net/ConnectRelay.h"
#include "whinyard/net/Duty.h"
#include "whinyard/net/HttpServer.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/policy/ConnectionGate.h"
#include "whinyard/policy/ModelChoice.h"
#include "whinyard/policy/QueryOfDeath.h"
#include "whinyard/policy/VersionShift.h"
#include "whinyard/router/Forwarder.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::daemon {

class ServeDuty final : private router::UsageObserver, private router::OwnLoad {
public:
    // `shared` must outlive the object.
    explicit ServeDuty(EntryShared& shared);

    // Opens the callers' address and the one for readiness.
    bool open(Failure& failure);

    // Takes the limits of a new configuration. Callable from any thread, as are the functions up to drain().
    void takeLimits(const config::CallerLimits& limits);

    // Tells that the configuration or the evacuations have changed.
    void noteRouting();

    // Takes what has changed of the list of endpoints. Returns false where the duty is too busy to take it.
    bool takeEndpoints(endpoint::RosterChanges changes);

    // Takes the addresses of the other instances.
    void takePeers(std::vector<net::Address> peers);

    // Takes the instances that live, this one included, once they had the time to learn of each other.
    void takeInstances(std::vector<peer::InstanceNotice> instances);

    // Sends a notice to all other instances that are known.
    void broadcast(peer::Notice notice);

    // Sends a notice to so many other instances, drawn anew each time.
    void tellSome(peer::Notice notice, std::size_t most);

    // Sends a notice to one of them.
    void sendTo(const net::Address& to, peer::Notice notice);

    // Returns what is to be told of the usage that this instance has counted; see leadership::UsageCounter.
    std::vector<leadership::UsageWindow> takeUsageNews();

    // Has all of it told again.
    void tellUsageAgain();

    // Returns what this instance has done for each service.
    std::vector<policy::ServiceLoad> loads();

    // Sets who takes notices that concern the store duty; they are called on this duty.
    void useNoticeHandlers(NoticeHandlers handlers);

    // Runs `use` on the duty's thread, where the version shifts belong, in the order of the calls.
    void postToShifts(std::function<void(policy::VersionShifts&)> use);

    // Runs `use` on the duty's thread and returns its value; nothing when the duty is overloaded or has stopped.
    template <typename Use>
    auto askShifts(Use use)
    {
        return net::callOn(m_duty, [&] { return use(m_shifts); });
    }

    // Takes the verdicts on requests that stand in the store.
    void takeStoredVerdicts(std::vector<QueryVerdict> verdicts);

    // Notes that the store may have lost the records of verdicts.
    void forgetStoredVerdicts();

    // Returns the verdicts of this instance that are to be kept in the store.
    std::vector<QueryVerdict> unstoredVerdicts();

    // Notes that the record of such a verdict stands there.
    void noteStoredVerdict(const RequestDigest& request);

    // Returns whether there are any verdicts, at no cost.
    bool hasVerdicts() const { return m_hasVerdicts; }

    // Returns those of its verdicts whose records are to be removed from the store.
    std::vector<RequestDigest> refutedVerdicts();

    // Answers what arrives and lets every connection end, never longer than `bound`. Returns whether all have ended.
    // Not for a duty's thread.
    bool drain(std::chrono::milliseconds bound);

    // Closes the addresses at once and ends the duty.
    void stop();

private:
    void began(const CustomerName& customer) override;
    bool openOnDuty(Failure& failure);
    bool drainOnDuty(SteadyTime end);
    bool isReady();
    void useVersions(const ServiceName& service, const std::vector<std::string>& present);
    void openPlaces();
    bool openRelay(Failure& failure);
    std::optional<net::Address> relayTarget(const net::RelayedConnect& connect);
    void noteRelayed(const net::RelayedConnect& connect, const net::RelayedResult& result);
    void addRelay(const peer::InstanceNotice& instance, std::map<InstanceName, net::Address>& relays) const;
    void noteNews();
    void refreshDirectory();
    void tellConnections() const;
    void tickForwarder();
    bool isBehind() const override { return m_gate.isBehind(m_shared.clock.now()); }
    std::chrono::nanoseconds pauseAfterConnection();
    void noteBytes();
    void noteDelay(std::chrono::nanoseconds delay);
    void noteLinkUse();

    EntryShared& m_shared;
    endpoint::EndpointDirectory m_directory;
    policy::VersionShifts m_shifts;
    policy::ModelChoice m_models;
    policy::QueryOfDeathTable m_queries;
    policy::ConnectionGate m_gate; // Of callers' connections.
    bool m_wasDelayed = false; // At the last look.
    bool m_wasLinkFull = false; // At the last look.
    const platform::HttpCodec m_codec;
    std::map<ServiceName, std::vector<std::string>> m_versions; // With endpoints, in the order in which they appeared.
    leadership::UsageCounter m_usage;
    SettledWallClock m_wallClock;
    PeerLink m_link;
    net::Duty m_duty { "serve" };
    DutyFibers m_fibers { m_duty };
    std::unique_ptr<net::HttpClient> m_client;
    std::unique_ptr<net::ListenProbe> m_listening;
    std::unique_ptr<router::SharedPlaces> m_places; // Null where the slots of scarce services aren't shared.
    std::unique_ptr<router::Forwarder> m_forwarder;
    std::unique_ptr<net::HttpServer> m_server;
    std::unique_ptr<net::HttpServer> m_readiness;
    std::unique_ptr<net::ConnectRelay> m_relay; // Null where the settings have no address for it.
    std::set<std::string> m_instanceHosts;
    std::size_t m_changesSinceRelease = 0; // Of endpoints, since free memory was given back.
    std::atomic<bool> m_hasVerdicts = false;
    bool m_wasReady = false; // At the last question.
};

}
