// Tells the other instances of the work given to engines, and takes in what they tell. Belongs to the serve duty.
#pragma once

#include "entry/EntryShared.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/net/UdpSocket.h"
#include "whinyard/router/Forwarder.h"

#include <memory>
#include <vector>

namespace whinyard::daemon {

class PeerNotices final : public router::WorkObserver {
public:
    // Both must outlive the object.
    PeerNotices(EntryShared& shared, endpoint::EndpointDirectory& directory);

    // Binds the address for other instances and begins to receive, where the settings have one. Called on the duty.
    bool open(net::Duty& duty, Failure& failure);

    // Takes the addresses of the other instances. Called on the duty.
    void usePeers(std::vector<net::Address> peers) { m_peers = std::move(peers); }

    void gave(const EndpointName& endpoint, std::chrono::nanoseconds work) override;

    // Called on the duty.
    void close();

private:
    void receiveAll();

    EntryShared& m_shared;
    endpoint::EndpointDirectory& m_directory;
    std::vector<net::Address> m_peers;
    std::unique_ptr<net::UdpSocket> m_socket;
};

}
