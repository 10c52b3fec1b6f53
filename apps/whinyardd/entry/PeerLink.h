// Sends notices to the other instances by datagrams, and hands on what they send. Belongs to the serve duty.
#pragma once

#include "entry/EntryShared.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/net/UdpSocket.h"
#include "whinyard/peer/Notices.h"
#include "whinyard/policy/QueryOfDeath.h"
#include "whinyard/policy/RepeatedReports.h"
#include "whinyard/policy/VersionShift.h"
#include "whinyard/router/Forwarder.h"
#include "whinyard/router/SharedPlaces.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace whinyard::daemon {

// Take notices that concern the store duty; called on the serve duty.
struct NoticeHandlers {
    std::function<void(peer::RosterNotice)> roster;
    std::function<void(peer::InstanceNotice)> instance;
    std::function<void(peer::ShiftNotice)> shift;
    std::function<void(peer::RecordsNotice)> records;
    std::function<void(peer::UsageNotice)> usage;
    std::function<void(peer::DemandNotice)> demand;
};

class PeerLink final : public router::WorkObserver, public router::PlaceTransport {
public:
    // All must outlive the object.
    PeerLink(EntryShared& shared, endpoint::EndpointDirectory& directory, policy::VersionShifts& shifts, policy::QueryOfDeathTable& queries);

    // Binds the address for other instances and begins to receive, where the settings have one. Called on the duty, as are
    // the functions below.
    bool open(net::Duty& duty, Failure& failure);

    void usePeers(std::vector<net::Address> peers) { m_peers = std::move(peers); }
    void useAddresses(std::map<InstanceName, net::Address> addresses) { m_addresses = std::move(addresses); }

    // Sets who takes notices about permits; null: they are ignored.
    void usePlaces(router::SharedPlaces* places) { m_places = places; }
    void useHandlers(NoticeHandlers handlers) { m_handlers = std::move(handlers); }

    // Sends a notice to all other instances that are known.
    void broadcast(const peer::Notice& notice);

    // Sends a notice to so many of them, drawn anew each time.
    std::vector<net::Address> tellSome(const peer::Notice& notice, std::size_t most);

    // Sends a notice to one of them.
    void sendTo(const net::Address& to, const peer::Notice& notice);

    // Sends a notice to the instance of this name, where its address is known.
    void send(const InstanceName& to, const peer::Notice& notice) override;

    // Tells which sessions the others must leave on the versions in use.
    void tellPins();

    // Tells what was noted of requests that end endpoints, and now and then the verdicts that hold to a few of the others.
    void tellQueries();

    // Tells what was learnt of the rates that endpoints state: changes to all others, confirmations to a few.
    void tellRates();

    // Tells some of the others what was observed of the speeds of engines since it was last told.
    void tellPaces();

    double gave(const EndpointName& endpoint, std::chrono::nanoseconds work, const std::vector<std::uint64_t>& prefix, const router::MemoryNeed& need) override;

    // Sends what was told of the memory that requests hold once more, where it is time.
    void repeatWork();

    // Tells of requests that hold an engine's memory for longer than was told before.
    void tellOverdueMemory();

    void close();

private:
    void receiveAll();
    void take(const peer::WorkNotice& notice);
    void take(const peer::PinNotice& notice);
    void take(const peer::EvidenceNotice& notice);
    void take(const peer::ShiftNotice& notice);
    void take(const peer::RosterNotice& notice);
    void take(const peer::InstanceNotice& notice);
    void take(const peer::RecordsNotice& notice);
    void take(const peer::QueryNotice& notice);
    void take(const peer::RateNotice& notice);
    void take(const peer::UsageNotice& notice);
    void take(const peer::DemandNotice& notice);
    void take(const peer::PlaceRequestNotice& notice);
    void take(const peer::PlaceAnswerNotice& notice);
    void take(const peer::PlaceReturnNotice& notice);
    void take(const peer::PlacesHeldNotice& notice);
    void take(const peer::PaceNotice& notice);
    void planRepetition(const peer::WorkNotice& notice, const std::vector<net::Address>& told);
    void repeatVerdicts();
    void broadcastRates(const std::vector<RateNews>& rates);
    void spreadRates(const std::vector<RateNews>& rates);
    void send(const net::Address& to, const std::string& bytes);

    // A datagram that is sent again to those who were sent it first.
    struct Repetition {
        SteadyTime at;
        std::string bytes;
        std::vector<net::Address> to;
    };

    EntryShared& m_shared;
    endpoint::EndpointDirectory& m_directory;
    policy::VersionShifts& m_shifts;
    policy::QueryOfDeathTable& m_queries;
    Random m_random;
    SteadyTime m_verdictsToldAt;
    NoticeHandlers m_handlers;
    std::vector<net::Address> m_peers;
    std::map<InstanceName, net::Address> m_addresses;
    router::SharedPlaces* m_places = nullptr;
    std::deque<Repetition> m_repetitions; // In the order of their times.
    policy::TakenReports m_taken;
    std::unique_ptr<net::UdpSocket> m_socket;
};

}
