// What an instance keeps of the time line: its own events and, packed, those that other instances
// handed to it so that they outlive a kill.
//
// Every duty of the daemon records events here. The peers duty takes batches to hand to another
// instance and puts in those that arrive; trace queries read. Memory is bounded by the options.
#pragma once

#include "whinyard/timeline/EventBatch.h"
#include "whinyard/timeline/EventSource.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>

namespace whinyard::timeline {

struct EventStoreOptions {
    std::size_t pendingEvents = 20'000; // Recorded and not yet packed; more are dropped and counted.
    std::size_t ownBytes = 8 * 1024 * 1024; // Of this instance's packed events.
    std::size_t heldBytes = 8 * 1024 * 1024; // Of other instances' packed events.
    std::size_t largestBatch = 2'000; // Events in one batch.
};

// Safe to call from any thread.
class EventStore final : public EventSink, public EventSource {
public:
    EventStore(InstanceName instance, Incarnation incarnation, const EventStoreOptions& options);

    // Sets what is called after an event was recorded that another instance should hold at once: a
    // step of a call that may not be repeated. Set it before any event is recorded.
    void whenUrgent(std::function<void()> notify);

    void record(Event event) override;

    // Packs what was recorded since the last batch, keeps it, and returns it; nothing when there is
    // nothing.
    std::optional<EventBatch> takeBatch();

    // Keeps a batch of another instance; one that is held already is kept once.
    void hold(EventBatch batch);

    std::vector<Event> eventsOf(const RequestId& request) const override;
    std::vector<Event> eventsMentioning(std::string_view text) const override;
    std::uint64_t dropped() const override;

    // Returns the bytes that all packed batches take.
    std::size_t packedBytes() const;

private:
    // Batches up to a number of bytes, the oldest first.
    struct Shelf {
        std::deque<std::shared_ptr<const EventBatch>> batches;
        std::size_t bytes = 0;
    };

    void keep(Shelf& shelf, std::size_t bound, EventBatch batch);
    std::vector<std::shared_ptr<const EventBatch>> batchesWhere(const std::function<bool(const EventBatch&)>& wanted) const;

    const InstanceName m_instance;
    const Incarnation m_incarnation;
    const EventStoreOptions m_options;
    std::function<void()> m_notify;

    mutable std::mutex m_mutex;
    std::deque<Event> m_pending;
    Shelf m_own;
    Shelf m_held;
    std::uint64_t m_lastBatch = 0;
    std::uint64_t m_lostUnpacked = 0;
    std::uint64_t m_dropped = 0;
};

}
