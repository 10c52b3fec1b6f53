#include "entry/StoreDuty.h"

#include "Shared.h"
#include "platform/Configuration.h"
#include "platform/Endpoints.h"
#include "platform/Store.h"

namespace whinyard::daemon {

namespace {

    // One watch of the operators' records waits so long. With the slack of a call it bounds the time after which a
    // connection that a partition has silenced is given up, which must end before the instance counts as in touch again.
    constexpr std::chrono::milliseconds operatorWait { 1'500 };
    constexpr std::chrono::milliseconds endpointWait { 1'500 };

    // Every endpoint writes its entry about once a second, so a watch without a pause would return at each of them. The
    // pause adds to the time after which a leaving endpoint gets no new work.
    constexpr std::chrono::milliseconds endpointPause { 400 };
    constexpr std::chrono::milliseconds shiftPause { 400 };
    constexpr std::chrono::milliseconds noPause { 0 };

    // Between calls while the store fails, with as much again at random, so that instances don't return in step.
    constexpr std::chrono::milliseconds failurePause { 150 };

    constexpr std::chrono::milliseconds shiftTurn { 250 };
    constexpr std::chrono::milliseconds settleInterval { 200 };

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
    m_client = net::HttpClient::create(m_duty);
    m_store = platform::makeStore(*m_client, m_shared.settings.store.address);
    m_operators = std::make_unique<OperatorWatch>(m_shared, m_serving);
    m_roster = std::make_unique<RosterWatch>(m_shared, m_serving);
    m_shifts = std::make_unique<ShiftKeeper>(m_shared, m_serving, *m_store);
    if (m_shared.settings.metrics) {
        const net::HttpHandler handler = [this](const net::HttpRequest&, net::HttpResponder& responder) {
            responder.send({ .status = 200, .fields = { { "Content-Type", "text/plain; version=0.0.4" } }, .body = m_shared.metrics.render() });
        };
        m_metricsServer = net::HttpServer::open(m_duty, *m_shared.settings.metrics, {}, handler, failure);
        if (!m_metricsServer)
            return false;
    }
    m_duty.spawn([this] { followOperators(); });
    m_duty.spawn([this] { followEndpoints(); });
    m_duty.spawn([this] { followShifts(); });
    m_duty.spawn([this] { writeShifts(); });
    m_duty.spawn([this] { settleRoster(); });
    return true;
}

void StoreDuty::turn(backing::PrefixFollower& follower, std::chrono::milliseconds pause)
{
    if (!follower.turn())
        pause = failurePause + std::chrono::milliseconds(below(m_random, failurePause.count()));
    if (pause.count() > 0)
        net::sleepFor(pause);
}

void StoreDuty::followOperators()
{
    backing::PrefixFollower follower(*m_store, m_shared.clock, std::string(platform::operatorPrefix), operatorWait, *m_operators);
    while (!m_shared.stopping)
        turn(follower, noPause);
}

void StoreDuty::followEndpoints()
{
    backing::PrefixFollower follower(*m_store, m_shared.clock, std::string(platform::endpointPrefix), endpointWait, *m_roster);
    while (!m_shared.stopping) {
        const bool reached = follower.turn();
        m_roster->settle();
        net::sleepFor(reached ? endpointPause : failurePause);
    }
}

// Instances' own records are read only while there is an order: they say nothing else.
void StoreDuty::followShifts()
{
    backing::PrefixFollower follower(*m_store, m_shared.clock, std::string(ShiftKeeper::prefix), operatorWait, *m_shifts);
    while (!m_shared.stopping) {
        if (m_operators->hasOrders())
            turn(follower, shiftPause);
        else
            net::sleepFor(shiftTurn);
    }
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
    net::runOn(m_duty, [this] { m_metricsServer.reset(); });
    m_duty.stop();
}

}
