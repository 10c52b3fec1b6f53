// What all duties of the daemon share. Everything in it may be used from any thread.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Event.h"
#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/QueryOfDeath.h"
#include "whinyard/settings/DaemonSettings.h"
#include "whinyard/timeline/EventStore.h"

#include <atomic>
#include <string>

namespace whinyard::daemon {

// Keeps events for queries and writes them to the log.
class LoggedEvents final : public EventSink {
public:
    LoggedEvents(const InstanceName& instance, Incarnation incarnation, std::size_t bytes);

    void record(Event event) override;

    timeline::EventStore& store() { return m_store; }

private:
    timeline::EventStore m_store;
};

struct Shared {
    explicit Shared(const settings::DaemonSettings& daemonSettings);

    const settings::DaemonSettings settings;
    const SystemClock clock;
    const Incarnation incarnation;
    HybridClock hybridClock;
    Metrics metrics;
    LoggedEvents events;
    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false; // Ends the loops of all duties.
};

// Returns a generator with a seed from the system.
Random seededRandom();

// Gives memory back to the system that was needed for a moment only: a large list that was decoded and taken in.
void releaseFreeMemory();

// Writes a line for each request that is refused from now on, or no longer.
void logQueryChanges(policy::QueryOfDeathTable& queries);

// Tells the log once that something keeps failing, and once that it works again.
class OutageLog {
public:
    explicit OutageLog(std::string what);

    void note(bool works, const Failure& failure);

private:
    std::string m_what;
    bool m_works = true;
};

}
