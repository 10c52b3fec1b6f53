#include "entry/OperatorRelay.h"

#include "Shared.h"
#include "platform/Configuration.h"
#include "whinyard/base/Log.h"

namespace whinyard::daemon {

namespace {

    constexpr const char* target = "/operators";

    // Another instance answers within milliseconds; one that is slow or behind a full link may take some hundred. The last
    // bounds each pause of a reply that has begun, however long all of it takes.
    constexpr std::chrono::milliseconds connectTimeout { 400 };
    constexpr std::chrono::milliseconds answerTimeout { 1'000 };
    constexpr std::chrono::milliseconds pauseTimeout { 1'000 };

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

OperatorRelay::OperatorRelay(EntryShared& shared, OperatorWatch& watch, net::HttpClient& client, backing::WatchableStore& store)
    : m_shared(shared)
    , m_watch(watch)
    , m_client(client)
    , m_store(store)
    , m_heard(seededRandom())
{
}

bool OperatorRelay::open(net::Duty& duty, Failure& failure)
{
    if (!m_shared.settings.peers)
        return true;
    m_server = net::HttpServer::open(
        duty, *m_shared.settings.peers, {}, [this](const net::HttpRequest&, net::HttpResponder& responder) { answer(responder); }, failure);
    return m_server != nullptr;
}

void OperatorRelay::answer(net::HttpResponder& responder)
{
    constexpr int unavailable = 503;
    if (m_watch.revision() == 0) {
        responder.send({ .status = unavailable, .fields = {}, .body = {} });
        return;
    }
    if (m_encodedRevision != m_watch.revision()) {
        m_encodedRevision = m_watch.revision();
        m_encoded = peer::encodeSnapshot(m_watch.snapshot());
    }
    m_shared.metrics.add("whinyard_operator_snapshots_sent_total");
    responder.send({ .status = 200, .fields = { { "Content-Type", "application/octet-stream" } }, .body = m_encoded });
}

void OperatorRelay::hear(const InstanceName& instance, std::uint64_t revision)
{
    m_heard.hear(instance, revision, m_shared.clock.now());
    noteBehind();
    if (m_heard.isBehind(m_watch.knownUpTo()))
        m_news.notify();
}

void OperatorRelay::noteBehind()
{
    m_shared.routing.noteBehind(m_heard.isBehind(m_watch.knownUpTo()));
}

void OperatorRelay::turn(bool isFollower)
{
    const std::optional<peer::RevisionRead> read = m_heard.due(m_watch.knownUpTo(), isFollower, m_shared.clock.now());
    if (!read)
        return;
    m_heard.noteBegun();
    Failure failure;
    const bool succeeded = read->from ? readFrom(*read->from, failure) : readStore(failure);
    m_heard.noteEnded(succeeded, m_shared.clock.now());
    noteBehind();
    logEnd(*read, succeeded, failure);
}

bool OperatorRelay::readFrom(const InstanceName& instance, Failure& failure)
{
    const auto known = m_instances.find(instance);
    if (known == m_instances.end()) {
        failure = { .kind = ErrorKind::peerUnreachable, .reason = "the address of " + instance.value + " isn't known" };
        return false;
    }
    net::HttpCallProgress progress;
    const auto stream = m_client.open(known->second.address, { .method = "GET", .target = target, .fields = {}, .body = {} }, readOptions(), progress, failure);
    if (!stream)
        return false;
    constexpr int ok = 200;
    if (stream->head().status != ok) {
        failure = { .kind = ErrorKind::peerUnreachable, .reason = instance.value + " knows no records yet" };
        return false;
    }
    const std::optional<std::string> body = net::readToEnd(*stream, failure);
    const std::optional<peer::RecordSnapshot> snapshot = body ? peer::decodeSnapshot(*body, failure) : std::nullopt;
    if (!snapshot)
        return false;
    m_watch.takeSnapshot(*snapshot);
    return true;
}

bool OperatorRelay::readStore(Failure& failure)
{
    const std::optional<backing::RecordPage> page = backing::readAll(m_store, std::string(platform::operatorPrefix), backing::ReadAge::newest, failure);
    if (!page)
        return false;
    m_watch.replaced(page->records);
    m_watch.noteRead(page->storeRevision);
    return true;
}

// One line when reads begin to fail and one when they no longer do.
void OperatorRelay::logEnd(const peer::RevisionRead& read, bool succeeded, const Failure& failure)
{
    const std::string from = read.from ? read.from->value : "the store";
    if (!succeeded && m_failures++ == 0)
        log::warning("operators' records are behind", { { "from", from }, { "reason", failure.reason }, { "revision", std::to_string(m_watch.revision()) } });
    if (!succeeded)
        return;
    log::info("operators' records read", { { "from", from }, { "revision", std::to_string(m_watch.revision()) }, { "failedReads", std::to_string(std::exchange(m_failures, 0)) } });
}

}
