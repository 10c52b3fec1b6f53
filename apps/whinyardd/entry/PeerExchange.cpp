#include "entry/PeerExchange.h"

#include "whinyard/peer/RecordPaces.h"

namespace whinyard::daemon {

namespace {

    constexpr int ok = 200;
    constexpr int unavailable = 503;

    // Another instance answers within milliseconds; one that is slow or behind a full link may take some hundred. The last
    // bounds each pause of an answer that has begun; peer::RecordPaces bounds the wait for its begin.
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    constexpr std::chrono::milliseconds pauseTimeout { 1'000 };

    constexpr std::size_t largestAnswer = 64 * 1'024 * 1'024;

    net::HttpCallOptions readOptions(std::chrono::milliseconds answerWait)
    {
        net::HttpCallOptions options;
        options.connectTimeout = connectTimeout;
        options.timeout = answerWait;
        options.pieceTimeout = pauseTimeout;
        options.freshConnection = true; // A kept one may have gone silent, and reads are rare.
        options.lastRequest = true;
        options.bodyLimit = largestAnswer;
        return options;
    }

}

PeerExchange::PeerExchange(EntryShared& shared, net::HttpClient& client)
    : m_shared(shared)
    , m_client(client)
    , m_answerWait(peer::recordPacesFor(shared.settings.bounds.configurationInForce).answerWait)
{
}

bool PeerExchange::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    const net::HttpHandler handler = [this](const net::HttpRequest& request, net::HttpResponder& responder) { answer(request, responder); };
    m_server = net::HttpServer::open(duty, *m_shared.settings.peers, {}, handler, failure);
    return m_server != nullptr;
}

void PeerExchange::answer(const net::HttpRequest& request, net::HttpResponder& responder)
{
    const auto source = m_sources.find(request.target);
    std::optional<std::string> body = source == m_sources.end() ? std::nullopt : source->second();
    if (!body) {
        responder.send({ .status = unavailable, .fields = {}, .body = {} });
        return;
    }
    m_shared.metrics.add("whinyard_peer_reads_answered_total{target=\"" + request.target + "\"}");
    m_shared.metrics.add("whinyard_peer_read_bytes_total{target=\"" + request.target + "\"}", body->size());
    responder.send({ .status = ok, .fields = { { "Content-Type", "application/octet-stream" } }, .body = std::move(*body) });
}

std::optional<std::string> PeerExchange::read(const InstanceName& instance, const std::string& target, Failure& failure)
{
    const auto known = m_instances.find(instance);
    if (known == m_instances.end()) {
        failure = { .kind = ErrorKind::peerUnreachable, .reason = "the address of " + instance.value + " isn't known" };
        return std::nullopt;
    }
    const net::Address address = known->second.address; // The list may change while the read waits.
    net::HttpCallProgress progress;
    const auto stream = m_client.open(address, { .method = "GET", .target = target, .fields = {}, .body = {} }, readOptions(m_answerWait), progress, failure);
    if (!stream)
        return std::nullopt;
    if (stream->head().status == ok)
        return net::readToEnd(*stream, failure);
    failure = { .kind = ErrorKind::peerUnreachable, .reason = instance.value + " doesn't know it yet" };
    return std::nullopt;
}

}
