#include "entry/PeerLink.h"

#include "whinyard/base/Log.h"
#include "whinyard/policy/ShiftRecords.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    // Less work is over before a notice of it changes a choice; most requests bring less.
    constexpr std::chrono::milliseconds worthTelling { 25 };

    constexpr std::chrono::seconds receiveWait { 30 };

}

PeerLink::PeerLink(EntryShared& shared, endpoint::EndpointDirectory& directory, policy::VersionShifts& shifts)
    : m_shared(shared)
    , m_directory(directory)
    , m_shifts(shifts)
{
}

bool PeerLink::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    m_socket = net::UdpSocket::bind(duty, *m_shared.settings.peers, failure);
    if (!m_socket)
        return false;
    duty.spawn([this] { receiveAll(); });
    return true;
}

void PeerLink::broadcast(const peer::Notice& notice)
{
    if (!m_socket || m_peers.empty())
        return;
    const std::string bytes = peer::encodeNotice(notice);
    for (const net::Address& to : m_peers) {
        Failure failure;
        if (!m_socket->send(to, bytes, failure))
            m_shared.metrics.add("whinyard_notices_unsent_total");
    }
    m_shared.metrics.add("whinyard_notices_sent_total", m_peers.size());
}

void PeerLink::gave(const EndpointName& endpoint, std::chrono::nanoseconds work, const std::vector<std::uint64_t>& prefix)
{
    if (work < worthTelling)
        return;
    peer::WorkNotice notice { endpoint, std::chrono::duration_cast<std::chrono::microseconds>(work), prefix };
    notice.prefixes.resize(std::min(notice.prefixes.size(), peer::mostPrefixes));
    broadcast(notice);
}

void PeerLink::tellPins()
{
    for (const ServiceName& service : m_shifts.services()) {
        const std::vector<std::uint64_t> pins = m_shifts.takePins(service);
        for (std::size_t begin = 0; begin < pins.size(); begin += peer::mostPins) {
            const std::size_t end = std::min(begin + peer::mostPins, pins.size());
            broadcast(peer::PinNotice { service, { pins.begin() + static_cast<std::ptrdiff_t>(begin), pins.begin() + static_cast<std::ptrdiff_t>(end) } });
        }
    }
}

void PeerLink::receiveAll()
{
    while (!m_shared.stopping) {
        Failure failure;
        const std::optional<net::Datagram> datagram = m_socket->receive(receiveWait, failure);
        if (!datagram)
            continue;
        const std::optional<peer::Notice> notice = peer::decodeNotice(datagram->bytes);
        m_shared.metrics.add(notice ? "whinyard_notices_received_total" : "whinyard_notices_unreadable_total");
        if (notice)
            std::visit([this](const auto& one) { take(one); }, *notice);
    }
}

void PeerLink::take(const peer::WorkNotice& notice)
{
    const SteadyTime now = m_shared.clock.now();
    m_directory.recordWork(notice.endpoint, notice.work, now);
    m_directory.recordPrefixes(notice.endpoint, notice.prefixes, now);
}

void PeerLink::take(const peer::PinNotice& notice)
{
    m_shifts.takePinned(notice.service, notice.sessions, m_shared.clock.now());
}

void PeerLink::take(const peer::EvidenceNotice& notice)
{
    if (const std::optional<policy::ShiftEvidence> evidence = policy::readShiftEvidence(notice.evidence))
        m_shifts.takeEvidence(notice.service, notice.instance, *evidence, m_shared.clock.now());
}

void PeerLink::take(const peer::ShiftNotice& notice)
{
    if (m_handlers.shift)
        m_handlers.shift(notice);
}

void PeerLink::take(const peer::RosterNotice& notice)
{
    if (m_handlers.roster)
        m_handlers.roster(notice);
}

void PeerLink::take(const peer::InstanceNotice& notice)
{
    if (m_handlers.instance)
        m_handlers.instance(notice);
}

void PeerLink::take(const peer::RecordsNotice& notice)
{
    if (m_handlers.records)
        m_handlers.records(notice);
}

void PeerLink::close()
{
    if (m_socket)
        m_socket->close();
}

}
