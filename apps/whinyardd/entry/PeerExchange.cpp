#include "entry/PeerExchange.h"

#include <utility>

namespace whinyard::daemon {

namespace {

    constexpr int ok = 200;
    constexpr int busy = 429;
    constexpr int unavailable = 503;

    constexpr const char* askerField = "Instance";
    constexpr const char* insteadField = "Ask-Instead";

    // A reader is sent on at most so often: each time to one that has read what it asks for.
    constexpr int mostHops = 4;

    // Another instance answers within milliseconds; one that is slow or behind a full link may take some hundred. The last
    // bounds each pause of an answer that has begun.
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    constexpr std::chrono::milliseconds answerTimeout { 1'000 };
    constexpr std::chrono::milliseconds pauseTimeout { 1'000 };

    // An answer that its reader doesn't take keeps others from being answered.
    constexpr std::chrono::milliseconds sendTimeout { 4'000 };

    constexpr std::size_t largestAnswer = 64 * 1'024 * 1'024;

    net::HttpCallOptions readOptions()
    {
        net::HttpCallOptions options;
        options.connectTimeout = connectTimeout;
        options.timeout = answerTimeout;
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
{
}

bool PeerExchange::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    const net::HttpHandler handler = [this](const net::HttpRequest& request, net::HttpResponder& responder) { answer(request, responder); };
    net::HttpServerLimits limits;
    limits.sendTimeout = sendTimeout;
    m_server = net::HttpServer::open(duty, *m_shared.settings.peers, limits, handler, failure);
    return m_server != nullptr;
}

void PeerExchange::answer(const net::HttpRequest& request, net::HttpResponder& responder)
{
    const auto served = m_served.find(request.target);
    std::optional<PeerAnswer> told = served == m_served.end() ? std::nullopt : served->second.source();
    if (!told) {
        responder.send({ .status = unavailable, .fields = {}, .body = {} });
        return;
    }
    const InstanceName asker { std::string(net::fieldValue(request.fields, askerField)) };
    const peer::ReadTurn turn = served->second.spread.take(asker, told->content);
    if (!turn.isAnswered) {
        const std::string instead = turn.sentTo ? turn.sentTo->value : std::string();
        responder.send({ .status = busy, .fields = { { insteadField, instead } }, .body = {} });
        return;
    }
    m_shared.metrics.add("whinyard_peer_reads_answered_total{target=\"" + request.target + "\"}");
    m_shared.metrics.add("whinyard_peer_read_bytes_total{target=\"" + request.target + "\"}", told->body.size());
    responder.send({ .status = ok, .fields = { { "Content-Type", "application/octet-stream" } }, .body = std::move(told->body) });
    served->second.spread.noteAnswered(asker, told->content);
}

std::optional<std::string> PeerExchange::read(const InstanceName& instance, const std::string& target, Failure& failure)
{
    InstanceName asked = instance;
    for (int hop = 0; hop < mostHops && !asked.value.empty(); ++hop) {
        if (std::optional<std::string> body = readOnce(asked, target, failure))
            return body;
    }
    return std::nullopt;
}

std::optional<std::string> PeerExchange::readOnce(InstanceName& instance, const std::string& target, Failure& failure)
{
    const auto known = m_instances.find(std::exchange(instance, {}));
    if (known == m_instances.end()) {
        failure = { .kind = ErrorKind::peerUnreachable, .reason = "the address of the instance isn't known" };
        return std::nullopt;
    }
    const net::Address address = known->second.address; // The list may change while the read waits.
    const net::HttpRequest request { .method = "GET", .target = target, .fields = { { askerField, m_shared.settings.instance.value } }, .body = {} };
    net::HttpCallProgress progress;
    const auto stream = m_client.open(address, request, readOptions(), progress, failure);
    if (!stream)
        return std::nullopt;
    if (stream->head().status == ok)
        return net::readToEnd(*stream, failure);
    const bool isBusy = stream->head().status == busy;
    instance.value = net::fieldValue(stream->head().fields, insteadField);
    failure = { .kind = isBusy ? ErrorKind::overloaded : ErrorKind::peerUnreachable, .reason = net::toText(address) + (isBusy ? " answers others just now" : " doesn't know it yet") };
    return std::nullopt;
}

}
