#include "Peering.h"

#include "Serving.h"
#include "Storing.h"

#include "whinyard/admin/FleetSources.h"
#include "whinyard/ledger/PackedLines.h"

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds longestFlush { 5'000 };

    void refuse(Failure& failure)
    {
        failure = { .kind = ErrorKind::shuttingDown, .reason = "this instance is starting or ending", .retryAfter = std::chrono::seconds(1) };
    }

    ledger::Writer writerOf(const peer::Sender& sender)
    {
        return { sender.instance, sender.incarnation };
    }

}

PeerCalls::PeerCalls(Shared& shared)
    : m_shared(shared)
{
}

void PeerCalls::connect(Storing* storing, Serving* serving)
{
    m_storing = storing;
    m_serving = serving;
}

std::optional<peer::MirrorUsageAnswer> PeerCalls::mirrorUsage(const peer::Sender& sender, const peer::MirrorUsage& request, Failure& failure)
{
    Storing* storing = m_storing;
    if (!storing) {
        refuse(failure);
        return std::nullopt;
    }
    std::vector<ledger::NumberedLine> lines;
    for (const peer::MirroredLine& line : request.lines) {
        const auto unpacked = ledger::unpackLines(line.line, failure);
        if (!unpacked)
            return std::nullopt;
        lines.insert(lines.end(), unpacked->begin(), unpacked->end());
    }
    return peer::MirrorUsageAnswer { storing->hold(writerOf(sender), lines) };
}

std::optional<peer::ReleaseMirrorAnswer> PeerCalls::releaseMirror(const peer::Sender& sender, const peer::ReleaseMirror& request, Failure& failure)
{
    Storing* storing = m_storing;
    if (!storing) {
        refuse(failure);
        return std::nullopt;
    }
    return peer::ReleaseMirrorAnswer { storing->release(writerOf(sender), request.throughSequence) };
}

std::optional<peer::ForwardCallAnswer> PeerCalls::forwardCall(const peer::Sender&, const peer::ForwardCall& request, Failure& failure)
{
    Serving* serving = m_serving;
    if (serving)
        return serving->runForwarded(request, failure);
    refuse(failure);
    return std::nullopt;
}

bool PeerCalls::flushUsage(std::chrono::milliseconds bound)
{
    Storing* storing = m_storing;
    return storing && storing->flushUsage(bound);
}

std::optional<peer::FlushUsageAnswer> PeerCalls::flushUsage(const peer::Sender&, const peer::FlushUsage& request, Failure&)
{
    return peer::FlushUsageAnswer { flushUsage(std::min(request.bound, longestFlush)) };
}

std::optional<peer::MirrorEventsAnswer> PeerCalls::mirrorEvents(const peer::Sender& sender, const peer::MirrorEvents& request, Failure&)
{
    const bool isOwn = request.batch.instance == sender.instance && request.batch.incarnation == sender.incarnation;
    if (isOwn)
        m_shared.events.store().hold(request.batch);
    return peer::MirrorEventsAnswer { isOwn };
}

std::optional<peer::TraceQueryAnswer> PeerCalls::traceQuery(const peer::Sender&, const peer::TraceQuery& request, Failure& failure)
{
    auto answer = net::callOn(m_traces, [&] { return admin::answerTraceQuery(m_shared.events.store(), request); });
    if (!answer)
        refuse(failure);
    return answer;
}

Peering::Peering(Shared& shared)
    : m_shared(shared)
    , m_calls(shared)
{
}

Peering::~Peering()
{
    stop();
}

bool Peering::open(Failure& failure)
{
    std::optional<std::vector<peer::PeerKey>> keys = peer::loadPeerKeys(m_shared.settings.peerKeys, failure);
    if (!keys)
        return false;
    const std::uint64_t seed = seededRandom()();
    peer::PeerServiceOptions options = peer::peerServiceOptions(m_shared.settings, m_shared.incarnation, std::move(*keys), seed);
    const peer::PeerServiceParts parts { m_shared.clock, m_shared.hybridClock, m_shared.metrics, m_calls };
    net::runOn(m_duty, [&] { m_service = peer::PeerService::open(m_duty, std::move(options), parts, failure); });
    if (!m_service)
        return false;
    m_mirroring = std::make_unique<EventMirroring>(m_duty, *m_service, m_shared);
    return true;
}

void Peering::flushEvents()
{
    net::runOn(m_duty, [this] { m_mirroring->flush(); });
}

void Peering::takeList(const std::vector<backing::ListedEndpoint>& listed)
{
    std::vector<peer::Contact> contacts;
    for (const backing::ListedEndpoint& endpoint : listed) {
        if (endpoint.kind == backing::ListedKind::instance)
            contacts.push_back({ { endpoint.name.value }, endpoint.address });
    }
    m_service->setInstances(std::move(contacts));
}

void Peering::stop()
{
    net::runOn(m_duty, [this] {
        if (m_mirroring)
            m_mirroring->stop();
        if (m_service)
            m_service->close();
    });
    m_duty.stop();
}

}
