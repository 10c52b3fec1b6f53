#include "entry/StoreProbe.h"

#include <algorithm>

namespace whinyard::daemon {

namespace {

    // Of a follower. Must be so short that an outage is noticed, and watches begin anew, before the instance counts as in
    // touch again.
    constexpr std::chrono::milliseconds probeInterval { 2'000 };
    constexpr std::chrono::milliseconds probeAgain { 300 }; // While it fails.
    // Of the other instances, who need the store for their record's lease alone, with as much again at random.
    constexpr std::chrono::milliseconds renewalInterval { 4'000 };
    constexpr std::chrono::milliseconds renewalAgain { 1'000 }; // While it fails.
    constexpr std::chrono::milliseconds outageLook { 100 };
    // An instance without a configuration can serve nobody, so it asks beside a probe that hangs, whose connection may
    // have met a store that was silent then: first after this, then after a tenth of the time since its start. The store's
    // return is so found a tenth later than it could be, for about ten probes in each doubling of the outage.
    constexpr std::chrono::milliseconds startProbePause { 50 };
    constexpr int startProbePart = 10;

}

StoreProbe::StoreProbe(EntryShared& shared, net::Duty& duty, backing::WatchableStore& store, RosterWatch& roster, std::optional<backing::LeasedRecord>& ownRecord)
    : m_shared(shared)
    , m_duty(duty)
    , m_store(store)
    , m_roster(roster)
    , m_ownRecord(ownRecord)
    , m_outage("the store at " + net::toText(shared.settings.store.address))
    , m_random(seededRandom())
{
}

// Calls that are refused have their price too: while the store is away only the probe asks.
void StoreProbe::awaitStore()
{
    while (!m_answers && !m_shared.stopping)
        m_returned.wait(outageLook);
}

// Lets the probe find out at once whether the store is away.
void StoreProbe::noteFailure()
{
    m_answers = false;
    m_suspected.notify();
}

void StoreProbe::run()
{
    m_startedAt = m_shared.clock.now();
    while (!m_shared.stopping && !m_shared.routing.newest() && m_answeredAt == SteadyTime())
        probeBesideOthers();
    while (!m_shared.stopping) {
        probeOnce();
        m_suspected.wait(pause());
    }
}

std::chrono::milliseconds StoreProbe::pause()
{
    if (m_follows || !m_shared.settings.peers)
        return m_answers ? probeInterval : probeAgain;
    const std::chrono::milliseconds renewal = m_answers ? renewalInterval : renewalAgain;
    return renewal + std::chrono::milliseconds(below(m_random, renewal.count()));
}

void StoreProbe::probeBesideOthers()
{
    m_duty.spawn([this] { probeOnce(); });
    const std::chrono::nanoseconds elapsed = m_shared.clock.now() - m_startedAt;
    net::sleepFor(std::max<std::chrono::nanoseconds>(startProbePause, elapsed / startProbePart));
}

void StoreProbe::probeOnce()
{
    Failure failure;
    const SteadyTime began = m_shared.clock.now();
    const auto waiting = m_probes.insert(began);
    // A renewal costs as much as the cheapest read, and shows as well that the store answers.
    const bool mayRenew = m_ownRecord && m_ownRecord->isHeld() && !m_ownRecord->isTurning();
    const bool answers = mayRenew ? m_ownRecord->turn(failure) : m_store.answers(failure);
    m_probes.erase(waiting);
    noteProbe(began, answers, failure);
}

void StoreProbe::noteProbe(SteadyTime began, bool answers, const Failure& failure)
{
    if (!answers && began < m_answeredAt)
        return; // A later one was answered.
    const bool wasAway = !m_answers;
    const bool othersHang = !m_probes.empty() && *m_probes.begin() < began;
    m_answers = answers;
    m_outage.note(answers, failure);
    if (!answers) {
        m_roster.failed(failure);
        return;
    }
    m_answeredAt = std::max(m_answeredAt, began);
    m_roster.proven(m_shared.clock.now());
    if (wasAway || othersHang)
        interruptReads();
    m_returned.notify();
}

// After an outage every read that still waits may have lost its connection without a word.
void StoreProbe::interruptReads()
{
    ++m_interruptions;
    m_store.interruptReads();
}

}
