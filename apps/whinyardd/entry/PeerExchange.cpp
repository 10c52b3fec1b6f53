#include "entry/PeerExchange.h"

#include "whinyard/peer/RecordPaces.h"

#include <algorithm>
#include <charconv>

namespace whinyard::daemon {

namespace {

    constexpr int ok = 200;
    constexpr int unavailable = 503;
    constexpr std::string_view retryField = "Retry-After-Ms";

    // Another instance answers within milliseconds; one that is slow or behind a full link may take some hundred. The last
    // bounds each pause of an answer that has begun; peer::RecordPaces bounds the wait for its begin.
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    constexpr std::chrono::milliseconds pauseTimeout { 1'000 };

    constexpr std::chrono::milliseconds longestRetry { 10'000 };

    constexpr std::size_t largestAnswer = 64 * 1'024 * 1'024;

    net::HttpCallOptions readOptions(std::chrono::milliseconds answerWait)
    {
        net::HttpCallOptions options;
        options.connectTimeout = connectTimeout;
        options.timeout = answerWait;
        options.pieceTimeout = pauseTimeout;
        options.freshConnection = true; // A kept one may have gone silent, and reads are rare.
        options.lastRequest = true;
        options.needsStatedEnd = true;
        options.bodyLimit = largestAnswer;
        return options;
    }

}

PeerExchange::PeerExchange(EntryShared& shared, net::HttpClient& client)
    : m_shared(shared)
    , m_client(client)
    , m_answerWait(peer::recordPacesFor(shared.settings.bounds.configurationInForce).answerWait)
    , m_budget(shared.settings.linkMegabits)
{
}

bool PeerExchange::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    const net::HttpHandler handler = [this](const net::HttpRequest& request, net::HttpResponder& responder) { answer(request, responder); };
    m_server = net::HttpServer::open(duty, *m_shared.settings.peers, { .connections = m_shared.shares.instancesAnswered }, handler, failure);
    return m_server != nullptr;
}

void PeerExchange::answer(const net::HttpRequest& request, net::HttpResponder& responder)
{
    const std::string path = request.target.substr(0, request.target.find('?'));
    const SteadyTime began = m_shared.clock.now();
    if (const std::chrono::milliseconds wait = m_budget.wait(began); wait.count() > 0) {
        m_shared.metrics.add("whinyard_peer_reads_refused_total{target=\"" + path + "\"}");
        responder.send({ .status = unavailable, .fields = { { std::string(retryField), std::to_string(wait.count()) } }, .body = {} });
        return;
    }
    const auto source = m_sources.find(path);
    std::optional<std::string> body = source == m_sources.end() ? std::nullopt : source->second(request.target);
    if (!body) {
        responder.send({ .status = unavailable, .fields = {}, .body = {} });
        return;
    }
    const SteadyTime made = m_shared.clock.now();
    m_budget.note(body->size(), made - began, made);
    m_shared.metrics.add("whinyard_peer_reads_answered_total{target=\"" + path + "\"}");
    m_shared.metrics.add("whinyard_peer_read_bytes_total{target=\"" + path + "\"}", body->size());
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
    std::int64_t wait = 0;
    const std::string_view stated = net::fieldValue(stream->head().fields, retryField);
    std::from_chars(stated.data(), stated.data() + stated.size(), wait);
    failure = { .kind = ErrorKind::peerUnreachable, .reason = instance.value + (wait > 0 ? " sends as much as it may" : " doesn't know it yet"), .retryAfter = std::chrono::milliseconds(std::clamp<std::int64_t>(wait, 0, longestRetry.count())) };
    return std::nullopt;
}

}
