// Which instances live: a failure detector with gossip, without sockets and without a clock of its own.
//
// PeerService drives it with the time and with the datagrams that arrive, and sends what it returns; tests
// do the same on a virtual clock and a network of their own.
//
// Sources: Das, Gupta, Motivala, "SWIM", DSN 2002: probes in shuffled rounds, indirect probes, suspicion with
// refutation, updates on the probes' own messages. Dadgar, Phillips, Currey, "Lifeguard: Local Health
// Awareness for More Accurate Failure Detection", DSN 2018: a suspect is told of the suspicion by
// whoever probes it. Added here: one probe an interval within the own availability zone and one outside;
// repetition of old updates in place of a state exchange; a bound on the age of what a message says,
// without synchronized clocks.
//
// The cost: two probes an interval, whatever the number of instances.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Random.h"
#include "whinyard/peer/GossipTable.h"
#include "whinyard/peer/Heartbeat.h"
#include "whinyard/peer/Peers.h"
#include "whinyard/peer/SendQueue.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace whinyard::peer {

struct MembershipOptions {
    std::chrono::milliseconds interval { 500 }; // Between two rounds of probes.
    std::chrono::milliseconds probeTimeout { 200 }; // Until a probe is repeated through others.
    std::size_t indirectProbes = 3;
    int suspicionBase = 3; // Intervals until a suspect is dead; log2 of the members is added.
    int rejoinIntervals = 4; // Intervals between two attempts to reach an absent instance.
    std::chrono::seconds forgetAfter { 600 }; // How long a dead member is remembered.
    std::uint32_t freshSendsBase = 4; // How often news is sent with precedence; log2 of the members is added.
    std::size_t gossipBytes = 400; // Of gossip entries in one datagram.
    std::size_t repeatedUpdates = 4; // Old updates that fill a datagram without news.
};

// An instance that settings or the platform's list name, whether or not it lives.
struct Contact {
    InstanceName name;
    net::Address address;

    bool operator==(const Contact&) const = default;
};

// A datagram to be sent.
struct Outgoing {
    net::Address address;
    InstanceName recipient;
    Heartbeat heartbeat;
};

// What travels in heartbeats beside the membership. ConfigurationSpread implements it.
class ReportExchange {
public:
    virtual ~ReportExchange() = default;

    // Returns what this instance says now.
    virtual ConfigurationReport report(SteadyTime now) = 0;

    // Takes what another instance said. It said so not before `earliest`, on this instance's clock; without
    // that bound the report's ages are worth nothing.
    virtual void heard(const Sender& sender, const ConfigurationReport& report, std::optional<SteadyTime> earliest, SteadyTime now) = 0;
};

class Membership {
public:
    // `self` is this instance's first statement. `reports` and `hybridClock` must outlive it.
    Membership(MemberUpdate self, MembershipOptions options, std::uint64_t seed, ReportExchange& reports, HybridClock& hybridClock);

    // Replaces the instances that are tried when they aren't known to live.
    void setContacts(std::vector<Contact> contacts);

    // Does what is due. Call it at due() or later; lateness counts as a pause of this process.
    void tick(SteadyTime now, std::vector<Outgoing>& out);

    // Returns when tick() has something to do.
    SteadyTime due() const;

    // Takes an authentic message.
    void receive(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out);

    // Tells others at once that this instance takes no new work.
    void leave(SteadyTime now, std::vector<Outgoing>& out);

    // Tells others at once that this instance ends now.
    void depart(SteadyTime now, std::vector<Outgoing>& out);

    // Returns all that is known of members, this instance included.
    std::vector<MemberUpdate> updates() const;

    // Takes what another instance's updates() returned. It is no news to others.
    void copy(const std::vector<MemberUpdate>& updates, SteadyTime now);

    // Returns the current picture. In it, self is dead once a later incarnation of this instance was heard of.
    std::shared_ptr<const MembershipView> view();

    GossipTable& gossip() { return m_gossip; }
    const GossipTable& gossip() const { return m_gossip; }

    // Returns how long a suspicion lasts among the members known now.
    std::chrono::milliseconds suspicionTimeout() const;

private:
    // Relates the steady clock of a member to the local one: the member's reading `remote` was not before `local`.
    struct ClockRelation {
        std::chrono::microseconds remote;
        SteadyTime local;
    };

    struct Record {
        MemberUpdate update;
        std::optional<SteadyTime> suspicionEnds;
        SteadyTime diedAt {};
        std::optional<ClockRelation> clock;
    };

    struct Probe {
        std::uint64_t nonce;
        InstanceName target;
        SteadyTime sentAt;
        bool isRepeated; // Whether others were asked to probe, too.
        bool isContact; // Whether the target wasn't known to live.
    };

    struct Relay {
        std::uint64_t nonce;
        InstanceName subject;
        InstanceName origin;
        net::Address originAddress;
        std::uint64_t originNonce;
        SteadyTime expires;
    };

    void noticePause(SteadyTime now);
    void startInterval(SteadyTime now, std::vector<Outgoing>& out);
    void tryContacts(SteadyTime now, std::vector<Outgoing>& out);
    void followProbes(SteadyTime now, std::vector<Outgoing>& out);
    void askOthersToProbe(const Probe& probe, SteadyTime now, std::vector<Outgoing>& out);
    void endSuspicions(SteadyTime now);
    void forgetDead(SteadyTime now);
    const Record* nextTarget(std::vector<InstanceName>& round, bool isOwnZone, const Record* other);
    void refill(std::vector<InstanceName>& round, bool isOwnZone);
    void ping(const InstanceName& target, const net::Address& address, bool isContact, SteadyTime now, std::vector<Outgoing>& out);

    void apply(const MemberUpdate& update, SteadyTime now);
    void applyAboutSelf(const MemberUpdate& update);
    void addRecord(const MemberUpdate& update, SteadyTime now);
    void setLiveness(Record& record, Liveness liveness, SteadyTime now);
    std::optional<SteadyTime> earliestSent(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now);
    void answerPing(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out);
    void takeAck(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out);
    void relayProbe(const Sender& sender, const Heartbeat& heartbeat, SteadyTime now, std::vector<Outgoing>& out);
    void takeProbeAnswer(const Heartbeat& heartbeat);

    Heartbeat makeHeartbeat(HeartbeatKind kind, std::uint64_t nonce, const InstanceName& recipient, SteadyTime now);
    void attachNews(Heartbeat& heartbeat, const InstanceName& recipient);
    void announce(SteadyTime now, std::vector<Outgoing>& out);
    std::vector<const Record*> someLiving(std::size_t count, const InstanceName& except);
    std::uint32_t freshSends() const;
    std::size_t livingCount() const { return m_livingCount; }

    const MembershipOptions m_options;
    ReportExchange& m_reports;
    HybridClock& m_hybridClock;
    Random m_random;
    MemberUpdate m_self;
    bool m_isSuperseded = false;
    std::uint32_t m_sendsOfNews = 0; // How often what is learned now counts as sent: above 0 while a table is copied.
    std::map<InstanceName, Record> m_records; // All others.
    std::set<InstanceName> m_notAlive; // Suspects and dead members of m_records.
    std::size_t m_livingCount = 0; // Of m_records.
    SendQueue<InstanceName> m_news;
    GossipTable m_gossip;
    std::vector<Contact> m_contacts;
    std::vector<InstanceName> m_ownZoneRound;
    std::vector<InstanceName> m_outsideRound;
    std::vector<Probe> m_probes;
    std::vector<Relay> m_relays;
    std::uint64_t m_lastNonce = 0;
    std::optional<SteadyTime> m_lastTick;
    SteadyTime m_nextInterval {};
    int m_intervalsUntilRejoin = 0;
    std::uint64_t m_viewVersion = 1;
    std::shared_ptr<const MembershipView> m_view; // Null when it has to be made anew.
};

// Returns how many bytes an update takes in a datagram.
std::size_t wireBytes(const MemberUpdate& update);

}
