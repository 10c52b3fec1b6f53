#include "PermitQueue.h"

#include <algorithm>

namespace whinyard::policy {

namespace {

    // The largest weight of the queue: in each round a customer is served at most one request, so that one with few does not wait
    // for several of one with many.
    constexpr std::uint32_t requestCost = QueueSettings {}.weights.front();

}

PermitQueue::PermitQueue(std::size_t capacity)
    : m_capacity(capacity)
    , m_queue(QueueSettings { .capacity = capacity, .quantum = 1 })
{
}

CustomerIndex PermitQueue::enter(const CustomerName& name)
{
    const auto [found, isNew] = m_customers.try_emplace(name);
    if (isNew && m_freeIndexes.empty()) {
        found->second.index = static_cast<CustomerIndex>(m_customers.size() - 1);
    } else if (isNew) {
        found->second.index = m_freeIndexes.back();
        m_freeIndexes.pop_back();
    }
    ++found->second.waiting;
    return found->second.index;
}

void PermitQueue::leave(const CustomerName& name)
{
    const auto found = m_customers.find(name);
    if (--found->second.waiting > 0)
        return;
    m_freeIndexes.push_back(found->second.index);
    m_customers.erase(found);
}

QueueDecision PermitQueue::offer(WaitingRequest waiting, SteadyTime now)
{
    if (m_selected.size() >= m_capacity)
        return { QueueVerdict::full, {}, {}, {} };
    const PermitId id = waiting.request.id;
    const CustomerIndex customer = enter(waiting.request.customer);
    waiting.item = { .id = ++m_lastNumber, .customer = customer, .priority = waiting.request.priority, .cost = requestCost, .deadline = waiting.latestStart };
    const QueueDecision decision = m_queue.offer(waiting.item, now);
    if (decision.verdict != QueueVerdict::accepted) {
        leave(waiting.request.customer);
        return decision;
    }
    m_byNumber[waiting.item.id] = id;
    m_waiting[id] = std::move(waiting);
    return decision;
}

WaitingRequest* PermitQueue::find(const PermitId& id)
{
    const auto found = m_waiting.find(id);
    return found == m_waiting.end() ? nullptr : &found->second;
}

std::optional<PermitId> PermitQueue::select(SteadyTime now)
{
    const std::optional<TakenItem> taken = m_queue.take(now);
    if (!taken)
        return std::nullopt;
    const PermitId id = m_byNumber.at(taken->id);
    m_waiting.at(id).isQueued = false;
    m_selected.push_back(id);
    return id;
}

void PermitQueue::erase(const PermitId& id)
{
    const auto found = m_waiting.find(id);
    if (found == m_waiting.end())
        return;
    if (found->second.isQueued)
        m_queue.remove(found->second.item);
    else
        std::erase(m_selected, id);
    leave(found->second.request.customer);
    m_byNumber.erase(found->second.item.id);
    m_waiting.erase(found);
}

PermitRequest PermitQueue::takeOut(std::uint64_t evicted)
{
    const PermitId id = m_byNumber.at(evicted);
    PermitRequest request = m_waiting.at(id).request;
    erase(id);
    return request;
}

void PermitQueue::useDrainRate(double requestsPerSecond)
{
    m_queue.useDrainRate(requestsPerSecond * requestCost);
}

std::chrono::milliseconds PermitQueue::expectedWait(const PermitRequest& request) const
{
    const auto found = m_customers.find(request.customer);
    const CustomerIndex unknown = static_cast<CustomerIndex>(m_customers.size() + m_freeIndexes.size());
    return m_queue.expectedWait(found == m_customers.end() ? unknown : found->second.index, request.priority);
}

}
