#include "whinyard/timeline/MirrorBudget.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace whinyard::timeline {

namespace {

    constexpr std::chrono::duration<double> decayTime { 5.0 };

    bool belongsToIntent(const Event& event)
    {
        return event.kind == EventKind::intentDurable || event.kind == EventKind::outcomeDurable || event.kind == EventKind::answeredFromRecord;
    }

    std::set<RequestId> nonIdempotentRequests(const std::vector<Event>& events)
    {
        std::set<RequestId> requests;
        for (const Event& event : events) {
            if (belongsToIntent(event))
                requests.insert(event.request);
        }
        return requests;
    }

    // Places a request in [0, 1) by its identity.
    double placeOf(const RequestId& request)
    {
        return static_cast<double>(stableHash(toText(request)) >> 11) * 0x1.0p-53;
    }

    EventBatch repack(const EventBatch& batch, const std::vector<Event>& events)
    {
        EventBatch result = packEvents(events);
        result.instance = batch.instance;
        result.incarnation = batch.incarnation;
        result.sequence = batch.sequence;
        result.lostBefore = batch.lostBefore;
        return result;
    }

}

MirrorBudget::MirrorBudget(std::size_t bytesPerSecond)
    : m_bytesPerSecond(static_cast<double>(bytesPerSecond))
{
}

EventBatch MirrorBudget::fit(EventBatch batch, SteadyTime now)
{
    const std::chrono::duration<double> elapsed = now - m_last;
    m_last = now;
    m_rate = m_rate * std::exp(-elapsed / decayTime) + static_cast<double>(batch.data.size()) / decayTime.count();
    m_share = std::min(1.0, m_bytesPerSecond / m_rate);
    if (m_share == 1)
        return batch;
    Failure failure;
    std::optional<std::vector<Event>> events = unpackEvents(batch, failure);
    if (!events)
        return batch;
    const std::set<RequestId> always = nonIdempotentRequests(*events);
    std::erase_if(*events, [&](const Event& event) { return !always.contains(event.request) && placeOf(event.request) >= m_share; });
    return repack(batch, *events);
}

}
