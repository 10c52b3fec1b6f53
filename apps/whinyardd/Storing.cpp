#include "Storing.h"

#include "whinyard/backing/HttpPlatform.h"
#include "whinyard/base/Log.h"

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds watchTimeout { 500 };
    constexpr std::chrono::milliseconds idlePause { 50 };
    constexpr std::chrono::milliseconds retryPause { 200 };

    ledger::StoredIntentLedgerOptions intentOptions(const settings::DaemonSettings& settings)
    {
        ledger::StoredIntentLedgerOptions options;
        options.partitions = settings.intentPartitions;
        options.log.interval = settings.timing.intentInterval;
        return options;
    }

    ledger::StoredUsageLedgerOptions usageOptions(const settings::DaemonSettings& settings)
    {
        ledger::StoredUsageLedgerOptions options;
        options.segments.flushInterval = settings.timing.usageFlush;
        options.mirror.messageInterval = settings.timing.usageMirrorInterval;
        return options;
    }

}

Storing::Storing(Shared& shared, peer::PeerService& peers)
    : m_shared(shared)
    , m_peers(peers)
    , m_liveWriters(peers, m_shared.clock)
    , m_mirrorChannel(peers)
{
    net::runOn(m_duty, [this] { open(); });
}

void Storing::open()
{
    const settings::DaemonSettings& settings = m_shared.settings;
    const ledger::Writer self { settings.instance, m_shared.incarnation };
    m_client = net::HttpClient::create(m_duty);
    m_store = backing::makeHttpKeyValueStore(*m_client, { .address = settings.platform });
    m_list = backing::makeHttpInstanceList(*m_client, { .address = settings.platform });
    m_intents = std::make_unique<ledger::StoredIntentLedger>(m_duty, *m_store, self, intentOptions(settings), m_shared.clock, m_liveWriters);
    m_usage = std::make_unique<ledger::StoredUsageLedger>(m_duty, *m_store, m_mirrorChannel, self, usageOptions(settings), m_shared.clock, m_liveWriters);
    m_intentsOnDuty = std::make_unique<IntentLedgerOnDuty>(m_duty, *m_intents);
    m_usageOnDuty = std::make_unique<UsageLedgerOnDuty>(m_duty, *m_usage);
}

void Storing::start(ListObserver observer)
{
    m_observer = std::move(observer);
    m_duty.post([this] { watchConfiguration(); });
    m_duty.post([this] { pollInstances(); });
}

void Storing::watchConfiguration()
{
    OutageLog outage("the key-value service at " + net::toText(m_shared.settings.platform));
    peer::StoreWatch watch(*m_store, m_peers, m_shared.clock);
    while (!m_shared.stopping) {
        Failure failure;
        const peer::StoreWatch::Turn turn = watch.turn(watchTimeout, failure);
        if (turn == peer::StoreWatch::Turn::idle)
            net::sleepFor(idlePause);
        else
            outage.note(turn == peer::StoreWatch::Turn::reached, failure);
    }
}

void Storing::pollInstances()
{
    OutageLog outage("the instance list at " + net::toText(m_shared.settings.platform));
    while (!m_shared.stopping) {
        Failure failure;
        const std::optional<std::vector<backing::ListedEndpoint>> listed = m_list->fetch(failure);
        outage.note(listed.has_value(), failure);
        m_storeReachable = listed.has_value();
        if (listed) {
            m_observer(*listed);
            m_listKnown = true;
        }
        net::sleepFor(listed ? m_shared.settings.timing.instanceListPoll : retryPause);
    }
}

bool Storing::hold(const ledger::Writer& origin, const std::vector<ledger::NumberedLine>& lines)
{
    return net::callOn(m_duty, [&] { return m_usage->hold(origin, lines); }).value_or(false);
}

std::uint64_t Storing::release(const ledger::Writer& origin, std::uint64_t through)
{
    return net::callOn(m_duty, [&] { return m_usage->release(origin, through); }).value_or(0);
}

bool Storing::flushUsage(std::chrono::milliseconds bound)
{
    return net::callOn(m_duty, [&] { return m_usage->drain(bound); }).value_or(false);
}

bool Storing::drain(std::chrono::milliseconds bound)
{
    const SteadyTime end = m_shared.clock.now() + bound;
    return net::callOn(m_duty, [&] {
        const bool intentsDurable = m_intents->drain(bound);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - m_shared.clock.now());
        return m_usage->drain(std::max(left, std::chrono::milliseconds(0))) && intentsDurable;
    }).value_or(false);
}

}
