#include "entry/PeerNotices.h"

#include "whinyard/base/Log.h"
#include "whinyard/peer/WorkNotice.h"

namespace whinyard::daemon {

namespace {

    // Less work is over before a notice of it changes a choice; most requests bring less.
    constexpr std::chrono::milliseconds worthTelling { 25 };

    constexpr std::chrono::seconds receiveWait { 30 };

}

PeerNotices::PeerNotices(EntryShared& shared, endpoint::EndpointDirectory& directory)
    : m_shared(shared)
    , m_directory(directory)
{
}

bool PeerNotices::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    m_socket = net::UdpSocket::bind(duty, *m_shared.settings.peers, failure);
    if (!m_socket)
        return false;
    duty.spawn([this] { receiveAll(); });
    return true;
}

void PeerNotices::gave(const EndpointName& endpoint, std::chrono::nanoseconds work)
{
    if (!m_socket || work < worthTelling || m_peers.empty())
        return;
    const std::string bytes = peer::encodeNotices({ { endpoint, std::chrono::duration_cast<std::chrono::microseconds>(work) } });
    for (const net::Address& to : m_peers) {
        Failure failure;
        if (!m_socket->send(to, bytes, failure))
            m_shared.metrics.add("whinyard_notices_unsent_total");
    }
    m_shared.metrics.add("whinyard_notices_sent_total", m_peers.size());
}

void PeerNotices::receiveAll()
{
    while (!m_shared.stopping) {
        Failure failure;
        const std::optional<net::Datagram> datagram = m_socket->receive(receiveWait, failure);
        if (!datagram)
            continue;
        const std::optional<std::vector<peer::WorkNotice>> notices = peer::decodeNotices(datagram->bytes);
        m_shared.metrics.add(notices ? "whinyard_notices_received_total" : "whinyard_notices_unreadable_total");
        if (!notices)
            continue;
        for (const peer::WorkNotice& notice : *notices)
            m_directory.recordWork(notice.endpoint, notice.work, m_shared.clock.now());
    }
}

void PeerNotices::close()
{
    if (m_socket)
        m_socket->close();
}

}
