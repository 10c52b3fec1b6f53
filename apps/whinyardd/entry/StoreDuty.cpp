#include "entry/StoreDuty.h"

#include "Shared.h"
#include "platform/Configuration.h"
#include "platform/Endpoints.h"
#include "platform/Provider.h"
#include "platform/Store.h"
#include "whinyard/backing/CountedStore.h"
#include "whinyard/backing/EraStore.h"
#include "whinyard/base/Log.h"
#include "whinyard/peer/RecordPaces.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace whinyard::daemon {

namespace {

    // Of the second follower's watch of the operators' records. Every call has its price, so it is long: a change that it
    // doesn't tell comes by the first follower's word, whose watch ends within peer::RecordPaces.
    constexpr std::chrono::milliseconds secondWait { 10'000 };

    // Every endpoint writes its entry about once a second, so a watch without a pause would return at each of them; see
    // endpoint::relaySettingsFor().
    // A watch that hears of no endpoint for so long is made anew: it shows that the store is there, and that the
    // connection has not gone silent.
    constexpr std::chrono::milliseconds endpointWait { 250 };
    constexpr std::chrono::milliseconds relayLook { 100 };
    constexpr std::chrono::milliseconds startLook { 10 }; // Until the first list is known: callers wait for it.
    // What other instances write of roll-outs arrives by notices; reading is for those that were lost. A notice is sent three
    // times, so a follower reads soon, and the others seldom.
    constexpr std::chrono::milliseconds followerShiftInterval { 3'000 };
    constexpr std::chrono::milliseconds shiftInterval { 8'000 };
    constexpr std::chrono::milliseconds noPause { 0 };
    constexpr std::chrono::milliseconds readOnPause { 20 }; // Of a follower that is behind: others must get to their work.

    // Instances that start together stand in the store after a moment. Later ones tell of their start themselves, and
    // those that are gone cost a datagram a notice until the list is read again, at a tenth of the price.
    constexpr std::chrono::milliseconds startPause { 800 };
    constexpr std::chrono::milliseconds instanceInterval { 15'000 };
    // Other instances reach this one by a record that lapses so long after its end: two renewals may fail.
    constexpr std::chrono::milliseconds instanceTimeToLive { 20'000 };
    // After the store came back from an older copy, the records of all instances are looked for, and written where they were lost,
    // spread over this and over a time for each instance.
    constexpr std::chrono::milliseconds rewriteSpread { 1'000 };
    constexpr std::chrono::milliseconds rewritePerInstance { 3 };
    constexpr std::chrono::milliseconds recordLook { 1'000 }; // Until the record stands; then each probe renews its lease.

    // Between calls while the store fails, with as much again at random, so that instances don't return in step.
    constexpr std::chrono::milliseconds failurePause { 150 };

    constexpr std::chrono::milliseconds verdictLook { 500 };
    constexpr std::chrono::milliseconds longestVerdictPause { 8'000 }; // While writes fail.

    constexpr std::chrono::milliseconds shiftTurn { 150 }; // With as much again at random, so that not all write at once.
    constexpr std::chrono::milliseconds settleInterval { 200 };

    constexpr std::chrono::milliseconds announcementLook { 1'000 };
    constexpr std::chrono::milliseconds connectionsLook { 1'000 };

    constexpr std::chrono::milliseconds leaseTurn { 900 }; // Four times within the time to live.
    constexpr std::chrono::milliseconds leaderLook { 300 };

    // All that instances write for each other stands under it. One read brings the instances and the verdicts on requests, so
    // that an instance knows these before it serves, at no call more.
    constexpr std::string_view fleetPrefix = "whinyard/";

    std::vector<backing::Record> recordsUnder(std::string_view prefix, const std::vector<backing::Record>& records)
    {
        std::vector<backing::Record> found;
        std::copy_if(records.begin(), records.end(), std::back_inserter(found), [&](const backing::Record& record) { return record.key.starts_with(prefix); });
        return found;
    }

}

StoreDuty::StoreDuty(EntryShared& shared, ServeDuty& serving)
    : m_shared(shared)
    , m_serving(serving)
    , m_random(seededRandom())
{
}

bool StoreDuty::open(Failure& failure)
{
    return net::callOn(m_duty, [&] { return openOnDuty(failure); }).value_or(false);
}

bool StoreDuty::openOnDuty(Failure& failure)
{
    const settings::DescriptorShares& shares = m_shared.shares;
    m_client = net::HttpClient::create(m_duty, { .connections = shares.store });
    m_store = std::make_unique<backing::EraStore>(std::make_unique<backing::CountedStore>(platform::makeStore(*m_client, m_shared.settings.store.address), m_shared.metrics));
    m_operators = std::make_unique<OperatorWatch>(m_shared, m_serving);
    m_instanceClient = net::HttpClient::create(m_duty, { .connections = shares.instancesRead });
    m_exchange = std::make_unique<PeerExchange>(m_shared, *m_instanceClient);
    m_operatorRelay = std::make_unique<OperatorRelay>(m_shared, *m_operators, m_serving, *m_exchange, *m_store);
    m_roster = std::make_unique<RosterWatch>(m_shared, m_serving, *m_operatorRelay, *m_exchange, m_duty);
    m_probe = std::make_unique<StoreProbe>(m_shared, m_duty, *m_store, *m_roster, m_ownRecord);
    m_shifts = std::make_unique<ShiftKeeper>(m_shared, m_serving, *m_store, [this] { return m_instances->size(); });
    m_instances = std::make_unique<InstanceWatch>(m_shared, m_serving, *m_roster);
    m_queries = std::make_unique<QueryKeeper>(m_serving, *m_store);
    if (m_shared.settings.provider && m_shared.settings.peers)
        m_leaderWork = std::make_unique<LeaderWork>(m_shared, m_serving, *m_roster, *m_instances, *m_store, platform::makeProvider(*m_client, m_shared.settings.provider->address));
    m_serving.useNoticeHandlers({
        .roster = [this](peer::RosterNotice notice) { m_duty.post([this, notice = std::move(notice)] { m_roster->takeNotice(notice); }); },
        .instance = [this](peer::InstanceNotice notice) { m_duty.post([this, notice = std::move(notice)] { m_instances->takeNotice(notice); }); },
        .shift = [this](peer::ShiftNotice notice) { m_duty.post([this, notice = std::move(notice)] { m_shifts->takeNotice(notice); }); },
        .records = [this](peer::RecordsNotice notice) { m_duty.post([this, notice = std::move(notice)] { m_operatorRelay->hear(notice.instance, notice.operators); }); },
        .usage = [this](peer::UsageNotice notice) { postToLeaderWork([notice = std::move(notice)](LeaderWork& work) { work.takeUsage(notice); }); },
        .demand = [this](peer::DemandNotice notice) { postToLeaderWork([notice = std::move(notice)](LeaderWork& work) { work.takeDemand(notice); }); },
    });
    if (m_shared.settings.metrics) {
        const net::HttpHandler handler = [this](const net::HttpRequest&, net::HttpResponder& responder) {
            responder.send({ .status = 200, .fields = { { "Content-Type", "text/plain; version=0.0.4" } }, .body = m_shared.metrics.render() });
        };
        m_metricsServer = net::HttpServer::open(m_duty, *m_shared.settings.metrics, { .connections = shares.metrics }, handler, failure);
        if (!m_metricsServer)
            return false;
    }
    if (!m_exchange->open(m_duty, failure))
        return false;
    if (m_shared.settings.peers)
        m_ownRecord.emplace(*m_store, std::string(InstanceWatch::prefix) + m_shared.settings.instance.value, peer::writeInstanceRecord(ownNotice()), instanceTimeToLive);
    m_duty.spawn([this] { tellConnections(); });
    m_duty.spawn([this] { followOperators(); });
    m_duty.spawn([this] { followEndpoints(); });
    m_duty.spawn([this] { readFromOthers(); });
    m_duty.spawn([this] { readShifts(); });
    m_duty.spawn([this] { writeShifts(); });
    m_duty.spawn([this] { settleRoster(); });
    m_duty.spawn([this] { m_probe->run(); });
    if (m_shared.settings.peers) {
        m_duty.spawn([this] { readInstances(); });
        m_duty.spawn([this] { handOnInstances(); });
        m_duty.spawn([this] { tellEndpoints(); });
        m_duty.spawn([this] { keepOwnRecord(); });
        m_duty.spawn([this] { writeVerdicts(); });
    }
    if (m_leaderWork)
        spawnLeaderWork();
    return true;
}

void StoreDuty::tellConnections() const
{
    const auto tell = [this](std::string_view use, std::size_t count) { tellConnectionCount(m_shared.metrics, use, count); };
    while (!m_shared.stopping) {
        const net::HttpConnections store = m_client->connections();
        const net::HttpConnections instances = m_instanceClient->connections();
        tell("store", store.inUse);
        tell("storeKept", store.kept);
        tell("instancesRead", instances.inUse);
        tell("instancesReadKept", instances.kept);
        tell("instancesAnswered", m_exchange->connections());
        tell("metrics", m_metricsServer ? m_metricsServer->connections() : 0);
        net::sleepFor(connectionsLook);
    }
}

void StoreDuty::postToLeaderWork(std::function<void(LeaderWork&)> use)
{
    m_duty.post([this, use = std::move(use)] {
        if (m_leaderWork)
            use(*m_leaderWork);
    });
}

void StoreDuty::spawnLeaderWork()
{
    const auto repeat = [this](std::chrono::milliseconds pause, void (LeaderWork::*use)()) {
        m_duty.spawn([this, pause, use] {
            while (!m_shared.stopping) {
                net::sleepFor(pause);
                m_probe->awaitStore();
                (*m_leaderWork.*use)();
            }
        });
    };
    m_duty.spawn([this] {
        while (!m_shared.stopping) {
            net::sleepFor(m_leaderWork->tellInterval());
            m_leaderWork->tell();
        }
    });
    repeat(leaseTurn, &LeaderWork::keepLease);
    if (m_leaderWork->takesUsage())
        repeat(leaderLook, &LeaderWork::reportUsage);
    if (m_leaderWork->takesOrders())
        repeat(leaderLook, &LeaderWork::orderCapacity);
}

void StoreDuty::turn(backing::PrefixFollower& follower, std::chrono::milliseconds pause)
{
    m_probe->awaitStore();
    const std::uint64_t interruptions = m_probe->interruptions();
    if (!follower.turn()) {
        if (m_probe->interruptions() != interruptions)
            return;
        m_probe->noteFailure();
        pause = failurePause + std::chrono::milliseconds(below(m_random, failurePause.count()));
    }
    if (pause.count() > 0)
        net::sleepFor(pause);
}

// Only followers watch the operators' records; the others read them from those when they state something newer.
void StoreDuty::followOperators()
{
    const std::chrono::milliseconds wait = peer::recordPacesFor(m_shared.settings.bounds.configurationInForce).watchWait;
    backing::PrefixFollower follower(*m_store, m_shared.clock, std::string(platform::operatorPrefix), wait, *m_operators);
    bool followed = false; // In the last round: a watch may go on where it was.
    while (!m_shared.stopping) {
        if (!m_follows) {
            followed = false;
            m_followsNow.wait(relayLook);
            continue;
        }
        if (!std::exchange(followed, true))
            follower.readAnew();
        const Revision known = m_operators->revision();
        follower.useWait(m_roster->isSecondFollower() ? secondWait : wait);
        turn(follower, noPause);
        if (m_operators->revision() != known)
            m_roster->tell();
    }
}

void StoreDuty::readFromOthers()
{
    while (!m_shared.stopping) {
        m_operatorRelay->turn(m_follows);
        m_operatorRelay->awaitNews(relayLook);
    }
}

// Another instance may tell the list of endpoints. Where the store is too busy to tell the instances, a read of all endpoints by each of
// them would end later still.
void StoreDuty::awaitInstances()
{
    while (m_shared.settings.peers && !m_instances->isKnown() && !m_shared.stopping)
        net::sleepFor(startLook);
}

void StoreDuty::followEndpoints()
{
    backing::PrefixFollower follower(*m_store, m_shared.clock, std::string(platform::endpointPrefix), endpointWait, *m_roster);
    awaitInstances();
    const std::chrono::milliseconds pause = endpoint::relaySettingsFor(m_shared.settings.bounds.drain).pause;
    while (!m_shared.stopping) {
        const bool followed = std::exchange(m_follows, m_roster->mustFollow());
        m_probe->useFollowing(m_follows);
        if (!m_follows) {
            net::sleepFor(m_shared.endpointsKnown ? relayLook : startLook);
            continue;
        }
        if (!followed) {
            if (const std::optional<backing::Revision> known = m_roster->takeOver())
                follower.watchAfter(*known);
            else
                follower.readAnew();
            m_followsNow.notify();
        }
        if (!m_probe->answers()) { // Others may tell what the store doesn't, or follow it.
            net::sleepFor(relayLook);
            continue;
        }
        const std::uint64_t interruptions = m_probe->interruptions();
        const bool reached = follower.turn();
        m_roster->settle();
        if (m_probe->interruptions() != interruptions && !reached)
            continue;
        if (reached) {
            m_roster->noteCurrent();
            if (follower.isBehind())
                m_roster->tellIfDue(); // The rest comes at once.
            else
                m_roster->tell();
        } else
            m_probe->noteFailure();
        net::sleepFor(!reached ? failurePause : (follower.isBehind() ? readOnPause : pause));
    }
}

std::optional<std::vector<backing::Record>> StoreDuty::readUntilAnswered(std::string_view prefix, backing::ReadAge age)
{
    while (!m_shared.stopping) {
        m_probe->awaitStore();
        Failure failure;
        const std::uint64_t interruptions = m_probe->interruptions();
        std::optional<backing::RecordPage> page = backing::readAll(*m_store, std::string(prefix), age, failure);
        if (page)
            return std::move(page->records);
        if (m_probe->interruptions() != interruptions)
            continue;
        m_probe->noteFailure();
        net::sleepFor(failurePause + std::chrono::milliseconds(below(m_random, failurePause.count())));
    }
    return std::nullopt;
}

peer::InstanceNotice StoreDuty::ownNotice() const
{
    return { m_shared.settings.instance, *m_shared.settings.peers, m_shared.settings.linkMegabits };
}

void StoreDuty::readInstances()
{
    const auto read = [this](backing::ReadAge age) {
        if (const auto records = readUntilAnswered(fleetPrefix, age)) {
            m_queries->replaced(recordsUnder(QueryKeeper::prefix, *records));
            const std::vector<backing::Record> instances = recordsUnder(InstanceWatch::prefix, *records);
            m_instances->replaced(instances, m_store->era());
            adoptOwnRecord(instances);
        }
    };
    // Whoever started long ago stands in an old state too. Where nobody does, all start for the first time: once the own
    // record stands, whoever comes later sees it, and whoever came before stands in the newest state.
    read(backing::ReadAge::mayBeOld);
    if (m_leaderWork)
        m_leaderWork->observeEra();
    m_mayKeepRecord.notify();
    if (!m_instances->knowsOthers()) {
        while (!m_ownRecord->isHeld() && !m_shared.stopping)
            net::sleepFor(startLook);
        read(backing::ReadAge::newest);
        m_instances->noteKnown();
    }
    m_serving.broadcast(ownNotice());
    net::sleepFor(startPause);
    read(backing::ReadAge::mayBeOld);
    while (!m_shared.stopping) {
        net::sleepFor(instanceInterval + std::chrono::milliseconds(below(m_random, instanceInterval.count())));
        read(backing::ReadAge::mayBeOld);
    }
}

void StoreDuty::handOnInstances()
{
    while (!m_shared.stopping)
        m_instances->handOnAnnounced(announcementLook);
}

// Verdicts are rare: one is kept once for all instances.
void StoreDuty::writeVerdicts()
{
    std::chrono::milliseconds pause = verdictLook;
    while (!m_shared.stopping) {
        net::sleepFor(pause);
        const bool failed = m_probe->answers() && !m_queries->turn();
        pause = failed ? std::min(2 * pause, longestVerdictPause) : verdictLook;
    }
}

void StoreDuty::adoptOwnRecord(const std::vector<backing::Record>& records)
{
    for (const backing::Record& record : records)
        m_ownRecord->adopt(record);
}

// Apart from the watch, whose return may take longer than the others bear.
void StoreDuty::tellEndpoints()
{
    constexpr int looks = 4;
    const std::chrono::milliseconds interval = endpoint::relaySettingsFor(m_shared.settings.bounds.drain).tellInterval / looks;
    while (!m_shared.stopping) {
        net::sleepFor(interval);
        m_roster->tellIfDue();
    }
}

void StoreDuty::keepOwnRecord()
{
    bool isAdopted = false; // Its lease must be renewed once, as it may be about to end.
    while (!m_mayKeepRecord.wait(recordLook) && !m_instances->isKnown() && !m_shared.stopping)
        ;
    isAdopted = m_ownRecord->isHeld();
    while (!m_shared.stopping) {
        m_probe->awaitStore();
        Failure failure; // The probe tells of an outage.
        if (m_operators->knownUpTo().era > m_store->era())
            m_store->answers(failure); // Others have seen an era that this instance has not.
        if (m_ownRecord->isInDoubt())
            writeOwnRecordAgain();
        if (!m_ownRecord->isTurning() && (!m_ownRecord->isHeld() || std::exchange(isAdopted, false)))
            m_ownRecord->turn(failure);
        net::sleepFor(recordLook);
    }
}

void StoreDuty::writeOwnRecordAgain()
{
    const std::chrono::milliseconds spread = rewriteSpread + rewritePerInstance * static_cast<int>(m_instances->size());
    net::sleepFor(std::chrono::milliseconds(below(m_random, static_cast<std::uint64_t>(spread.count()))));
    Failure failure;
    if (!m_ownRecord->isTurning() && m_ownRecord->turn(failure))
        m_serving.broadcast(ownNotice()); // Whoever reads the records meanwhile doesn't find it.
}

// Instances' own records are read only while there is an order: they say nothing else.
void StoreDuty::readShifts()
{
    while (!m_operators->hasOrders() && !m_shared.stopping)
        net::sleepFor(shiftTurn);
    // An order that came while this instance ran has no record that it could have missed; one that it found at its start may
    // have been decided just now.
    backing::ReadAge age = m_operators->beganWithOrders() ? backing::ReadAge::newest : backing::ReadAge::mayBeOld;
    while (!m_shared.stopping) {
        if (m_operators->hasOrders()) {
            if (const auto records = readUntilAnswered(ShiftKeeper::prefix, age))
                m_shifts->replaced(*records);
            age = backing::ReadAge::mayBeOld;
        }
        if (!m_operators->hasOrders())
            net::sleepFor(shiftTurn);
        else if (awaitShifts(m_follows ? followerShiftInterval : shiftInterval))
            age = backing::ReadAge::newest;
    }
}

// Waits until the records are to be read again. Returns whether the newest state is needed: where a write met a record that nobody has
// told of, or the store came back from an older copy, for which followers read and write for all, who hear of it.
bool StoreDuty::awaitShifts(std::chrono::milliseconds interval)
{
    const SteadyTime end = m_shared.clock.now() + interval;
    while (m_shared.clock.now() < end && !m_shared.stopping) {
        if (m_shifts->mustRead() || (m_follows && m_shifts->isInDoubt()))
            return true;
        net::sleepFor(shiftTurn);
    }
    return false;
}

void StoreDuty::writeShifts()
{
    while (!m_shared.stopping) {
        if (m_operators->hasOrders())
            m_shifts->turn();
        net::sleepFor(shiftTurn + std::chrono::milliseconds(below(m_random, shiftTurn.count())));
    }
}

void StoreDuty::settleRoster()
{
    while (!m_shared.stopping) {
        net::sleepFor(settleInterval);
        m_roster->settle();
    }
}

void StoreDuty::stop()
{
    net::runOn(m_duty, [this] {
        m_metricsServer.reset();
        if (m_exchange) // Null where the serving duty failed to open.
            m_exchange->close();
    });
    m_duty.stop();
}

}
