#include "whinyard/timeline/EventStore.h"

#include <algorithm>
#include <iterator>

namespace whinyard::timeline {

namespace {

    // The steps that tell whether a call that may not be repeated was run.
    bool isUrgent(EventKind kind)
    {
        return kind == EventKind::intentDurable || kind == EventKind::outcomeDurable;
    }

    std::size_t bytesOf(const EventBatch& batch)
    {
        return sizeof(EventBatch) + batch.data.size() + batch.requests.size() * sizeof(RequestId);
    }

    bool isSame(const EventBatch& left, const EventBatch& right)
    {
        return left.instance == right.instance && left.incarnation == right.incarnation && left.sequence == right.sequence;
    }

    void append(std::vector<Event>& events, const EventBatch& batch, const std::function<bool(const Event&)>& wanted)
    {
        Failure failure;
        auto unpacked = unpackEvents(batch, failure);
        if (unpacked)
            std::copy_if(std::make_move_iterator(unpacked->begin()), std::make_move_iterator(unpacked->end()), std::back_inserter(events), wanted);
    }

}

EventStore::EventStore(InstanceName instance, Incarnation incarnation, const EventStoreOptions& options)
    : m_instance(std::move(instance))
    , m_incarnation(incarnation)
    , m_options(options)
{
}

void EventStore::whenUrgent(std::function<void()> notify)
{
    m_notify = std::move(notify);
}

void EventStore::record(Event event)
{
    const bool urgent = isUrgent(event.kind);
    {
        const std::lock_guard lock(m_mutex);
        if (m_pending.size() == m_options.pendingEvents) {
            m_pending.pop_front();
            ++m_lostUnpacked;
            ++m_dropped;
        }
        m_pending.push_back(std::move(event));
    }
    if (urgent && m_notify)
        m_notify();
}

std::optional<EventBatch> EventStore::takeBatch()
{
    std::vector<Event> events;
    std::uint64_t lost = 0;
    {
        const std::lock_guard lock(m_mutex);
        const std::size_t count = std::min(m_pending.size(), m_options.largestBatch);
        const auto end = m_pending.begin() + static_cast<std::ptrdiff_t>(count);
        events.assign(m_pending.begin(), end);
        lost = m_lostUnpacked;
    }
    if (events.empty())
        return std::nullopt;
    EventBatch batch = packEvents(events);
    batch.instance = m_instance;
    batch.incarnation = m_incarnation;
    batch.lostBefore = lost;
    const std::lock_guard lock(m_mutex);
    batch.sequence = ++m_lastBatch;
    // What the bound dropped in the meantime stood at the front of what was packed.
    const std::size_t droppedMeanwhile = static_cast<std::size_t>(m_lostUnpacked - lost);
    const std::size_t packed = events.size() - std::min(events.size(), droppedMeanwhile);
    m_pending.erase(m_pending.begin(), m_pending.begin() + static_cast<std::ptrdiff_t>(packed));
    keep(m_own, m_options.ownBytes, batch);
    return batch;
}

void EventStore::hold(EventBatch batch)
{
    const std::lock_guard lock(m_mutex);
    const auto& batches = m_held.batches;
    const bool known = std::any_of(batches.begin(), batches.end(), [&](const auto& held) { return isSame(*held, batch); });
    if (!known)
        keep(m_held, m_options.heldBytes, std::move(batch));
}

void EventStore::keep(Shelf& shelf, std::size_t bound, EventBatch batch)
{
    shelf.bytes += bytesOf(batch);
    shelf.batches.push_back(std::make_shared<const EventBatch>(std::move(batch)));
    while (shelf.bytes > bound && shelf.batches.size() > 1) {
        shelf.bytes -= bytesOf(*shelf.batches.front());
        m_dropped += shelf.batches.front()->count;
        shelf.batches.pop_front();
    }
}

std::vector<std::shared_ptr<const EventBatch>> EventStore::batchesWhere(const std::function<bool(const EventBatch&)>& wanted) const
{
    std::vector<std::shared_ptr<const EventBatch>> found;
    const auto isWanted = [&](const auto& batch) { return wanted(*batch); };
    const std::lock_guard lock(m_mutex);
    std::copy_if(m_own.batches.begin(), m_own.batches.end(), std::back_inserter(found), isWanted);
    std::copy_if(m_held.batches.begin(), m_held.batches.end(), std::back_inserter(found), isWanted);
    return found;
}

std::vector<Event> EventStore::eventsOf(const RequestId& request) const
{
    const auto isOfRequest = [&](const Event& event) { return event.request == request; };
    std::vector<Event> events;
    {
        const std::lock_guard lock(m_mutex);
        std::copy_if(m_pending.begin(), m_pending.end(), std::back_inserter(events), isOfRequest);
    }
    const auto batches = batchesWhere([&](const EventBatch& batch) {
        return std::find(batch.requests.begin(), batch.requests.end(), request) != batch.requests.end();
    });
    for (const auto& batch : batches)
        append(events, *batch, isOfRequest);
    return events;
}

std::vector<Event> EventStore::eventsMentioning(std::string_view text) const
{
    const auto mentions = [&](const Event& event) { return event.reason.find(text) != std::string::npos; };
    std::vector<Event> events;
    {
        const std::lock_guard lock(m_mutex);
        std::copy_if(m_pending.begin(), m_pending.end(), std::back_inserter(events), mentions);
    }
    for (const auto& batch : batchesWhere([](const EventBatch&) { return true; })) {
        Failure failure;
        const auto lines = unpackText(*batch, failure);
        if (lines && lines->find(text) != std::string::npos)
            append(events, *batch, mentions);
    }
    return events;
}

std::uint64_t EventStore::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

std::size_t EventStore::packedBytes() const
{
    const std::lock_guard lock(m_mutex);
    return m_own.bytes + m_held.bytes;
}

}
