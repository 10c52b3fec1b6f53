#include "entry/OperatorRelay.h"

#include "Shared.h"
#include "platform/Configuration.h"
#include "whinyard/base/Log.h"
#include "whinyard/peer/Spread.h"

namespace whinyard::daemon {

namespace {

    constexpr const char* target = "/operators";

    // An instance reads what it heard of within some hundred milliseconds; more uses up the time that a change has.
    constexpr std::chrono::milliseconds worthSaying { 1'000 };

    constexpr std::uint32_t mostFirstReads = 3;

}

OperatorRelay::OperatorRelay(EntryShared& shared, OperatorWatch& watch, ServeDuty& serving, PeerExchange& exchange, backing::WatchableStore& store)
    : m_shared(shared)
    , m_watch(watch)
    , m_serving(serving)
    , m_exchange(exchange)
    , m_store(store)
    , m_heard(seededRandom())
{
    m_exchange.serve(target, [this](const std::string&) { return told(); });
}

void OperatorRelay::useInstances(std::size_t instances)
{
    m_instances = instances;
    m_heard.useInstances(instances);
}

std::optional<std::string> OperatorRelay::told()
{
    if (m_watch.revision() == Revision())
        return std::nullopt;
    if (m_encodedRevision != m_watch.revision() || m_encodedEdition != m_watch.edition()) {
        m_encodedRevision = m_watch.revision();
        m_encodedEdition = m_watch.edition();
        m_encoded = peer::encodeSnapshot(m_watch.snapshot());
    }
    return m_encoded;
}

void OperatorRelay::hear(const InstanceName& instance, const Revision& revision)
{
    if (!m_exchange.knows(instance))
        return; // It was heard before the instances were read, and says so again soon.
    m_heard.hear(instance, revision, m_shared.clock.now());
    if (revision != Revision())
        m_firstHeard = instance;
    noteBehind();
    if (m_heard.isBehind(m_watch.knownUpTo()))
        m_news.notify();
}

void OperatorRelay::noteBehind()
{
    const bool isBehind = m_heard.isBehind(m_watch.knownUpTo());
    m_shared.routing.noteRevisions(m_watch.knownUpTo(), m_heard.newest());
    const SteadyTime now = m_shared.clock.now();
    if (isBehind && !m_behindSince)
        m_behindSince = now;
    if (isBehind || !m_behindSince)
        return;
    const std::chrono::nanoseconds behind = now - *std::exchange(m_behindSince, std::nullopt);
    m_shared.metrics.observe("whinyard_operators_behind_seconds", behind);
    if (behind >= worthSaying)
        log::warning("operators' records were behind", { { "behindMs", std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(behind).count()) }, { "revision", toText(m_watch.revision()) } });
}

void OperatorRelay::turn(bool isFollower)
{
    m_watch.settle();
    readFirst();
    handOn();
    noteBehind(); // The own watch may have told it meanwhile.
    const std::optional<peer::RevisionRead> read = m_heard.due(m_watch.knownUpTo(), isFollower, m_shared.clock.now());
    if (!read)
        return;
    m_heard.noteBegun();
    Failure failure;
    const bool succeeded = read->from ? readFrom(*read->from, failure) : readStore(failure);
    m_heard.noteEnded(succeeded, m_shared.clock.now());
    noteBehind();
    handOn();
    logEnd(*read, succeeded, failure);
}

// Whoever has newer records is one more to read them from.
void OperatorRelay::handOn()
{
    if (!peer::handsOn(m_instances - 1) || m_watch.revision() <= m_handedOn)
        return;
    m_handedOn = m_watch.revision();
    m_serving.tellSome(peer::RecordsNotice { m_shared.settings.instance, m_watch.revision() }, peer::toldNext);
}

bool OperatorRelay::readFrom(const InstanceName& instance, Failure& failure)
{
    const std::optional<std::string> body = m_exchange.read(instance, target, failure);
    const std::optional<peer::RecordSnapshot> snapshot = body ? peer::decodeSnapshot(*body, failure) : std::nullopt;
    if (!snapshot)
        return false;
    if (snapshot->revision <= m_watch.revision()) {
        failure = { .kind = ErrorKind::peerUnreachable, .reason = instance.value + " has started again and knows no more" };
        return false;
    }
    m_watch.takeSnapshot(*snapshot);
    m_hasReadOther = true;
    return true;
}

// The store may have come back from an older copy before this instance read it, and the others know what it has lost.
void OperatorRelay::readFirst()
{
    if (m_hasReadOther || !m_firstHeard || m_watch.revision().era == 0 || m_firstReads == mostFirstReads)
        return;
    ++m_firstReads;
    Failure failure;
    const InstanceName from = *m_firstHeard; // Another one may be heard while this one is read.
    const std::optional<std::string> body = m_exchange.read(from, target, failure);
    const std::optional<peer::RecordSnapshot> snapshot = body ? peer::decodeSnapshot(*body, failure) : std::nullopt;
    if (!snapshot)
        return;
    m_watch.takeSnapshot(*snapshot);
    m_hasReadOther = true;
}

bool OperatorRelay::readStore(Failure& failure)
{
    const std::optional<backing::RecordPage> page = backing::readAll(m_store, std::string(platform::operatorPrefix), backing::ReadAge::newest, failure);
    if (!page)
        return false;
    m_watch.replaced(page->records, page->storeRevision);
    m_watch.noteRead(page->storeRevision);
    return true;
}

// One line when reads begin to fail and one when they no longer do.
void OperatorRelay::logEnd(const peer::RevisionRead& read, bool succeeded, const Failure& failure)
{
    const std::string from = read.from ? read.from->value : "the store";
    if (!succeeded && m_failures++ == 0)
        log::warning("operators' records are behind", { { "from", from }, { "reason", failure.reason }, { "revision", toText(m_watch.revision()) } });
    if (!succeeded)
        return;
    log::info("operators' records read", { { "from", from }, { "revision", toText(m_watch.revision()) }, { "failedReads", std::to_string(std::exchange(m_failures, 0)) } });
}

}
