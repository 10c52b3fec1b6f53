#include "whinyard/policy/AdmissionQueue.h"

#include <algorithm>
#include <cmath>

namespace whinyard::policy {

namespace {

    using Seconds = std::chrono::duration<double>;

    // Requests of a flow that fit without allocating.
    constexpr std::size_t reservedPerFlow = 16;

    // Less than this much measured time says nothing about the drain rate.
    constexpr double minimumDrainSeconds = 0.05;

}

AdmissionQueue::AdmissionQueue(QueueSettings settings)
    : m_settings(settings)
{
}

bool AdmissionQueue::isLater(const Waiting& left, const Waiting& right)
{
    return left.order > right.order;
}

std::size_t AdmissionQueue::flowIndex(CustomerIndex customer, std::uint8_t priority) const
{
    const std::size_t level = std::min<std::size_t>(priority, priorityCount - 1);
    return static_cast<std::size_t>(customer) * priorityCount + level;
}

AdmissionQueue::Flow& AdmissionQueue::flowFor(const QueueItem& item)
{
    const std::size_t index = flowIndex(item.customer, item.priority);
    while (m_flows.size() <= index) {
        m_flows.emplace_back();
        m_flows.back().heap.reserve(reservedPerFlow);
        m_flows.back().weight = m_settings.weights[(m_flows.size() - 1) % priorityCount];
    }
    if (m_active.size() < m_flows.size()) {
        std::vector<std::size_t> ring(m_flows.capacity());
        for (std::size_t i = 0; i < m_activeCount; ++i)
            ring[i] = m_active[(m_front + i) % m_active.size()];
        m_active = std::move(ring);
        m_front = 0;
    }
    return m_flows[index];
}

QueueDecision AdmissionQueue::offer(const QueueItem& item, SteadyTime now)
{
    Flow& flow = flowFor(item);
    const std::uint32_t cost = std::max<std::uint32_t>(item.cost, 1);
    QueueDecision decision;
    decision.expectedWait = waitFor(costAhead(flow, cost));
    const bool hasDeadline = item.deadline != SteadyTime::max();
    if (hasDeadline && now + decision.expectedWait > item.deadline) {
        decision.verdict = QueueVerdict::deadlineUnreachable;
        const auto excess = std::chrono::ceil<std::chrono::milliseconds>(now + decision.expectedWait - item.deadline);
        decision.retryAfter = std::max(excess, std::chrono::milliseconds(1));
        return decision;
    }
    if (m_size >= m_settings.capacity) {
        decision.evicted = evictFromLongest(flow);
        if (!decision.evicted) {
            decision.verdict = QueueVerdict::full;
            const std::chrono::milliseconds wait = waitFor(cost * m_activeWeight / flow.weight);
            decision.retryAfter = wait.count() > 0 ? wait : m_settings.initialRetryAfter;
            return decision;
        }
    }
    if (m_size == 0)
        m_busySince = now;
    const SteadyTime order = std::min(item.deadline, now + m_settings.patience);
    flow.heap.push_back({ order, item.deadline, item.id, cost });
    std::push_heap(flow.heap.begin(), flow.heap.end(), isLater);
    flow.cost += cost;
    m_cost += cost;
    ++m_size;
    if (!flow.isActive)
        activate(flowIndex(item.customer, item.priority));
    return decision;
}

// While a flow has its own cost and `added` served, every other one gets its weight's part, but no more than waits of it.
std::uint64_t AdmissionQueue::costAhead(const Flow& flow, std::uint64_t added) const
{
    const std::uint64_t own = flow.cost + added;
    std::uint64_t ahead = flow.cost;
    for (std::size_t i = 0; i < m_activeCount; ++i) {
        const Flow& other = m_flows[m_active[(m_front + i) % m_active.size()]];
        if (&other != &flow)
            ahead += std::min(other.cost, own * other.weight / flow.weight);
    }
    return ahead;
}

std::chrono::milliseconds AdmissionQueue::waitFor(std::uint64_t cost) const
{
    if (m_statedRate > 0)
        return std::chrono::ceil<std::chrono::milliseconds>(Seconds(static_cast<double>(cost) / m_statedRate));
    if (m_drainSeconds < minimumDrainSeconds || m_drainedCost <= 0)
        return std::chrono::milliseconds(0);
    const Seconds wait(static_cast<double>(cost) * m_drainSeconds / m_drainedCost);
    return std::chrono::ceil<std::chrono::milliseconds>(wait);
}

std::chrono::milliseconds AdmissionQueue::expectedWait(CustomerIndex customer, std::uint8_t priority) const
{
    const std::size_t index = flowIndex(customer, priority);
    if (index < m_flows.size())
        return waitFor(costAhead(m_flows[index], m_settings.quantum));
    Flow flow;
    flow.weight = m_settings.weights[index % priorityCount];
    return waitFor(costAhead(flow, m_settings.quantum));
}

// Longest queue drop (Suter, Lakshman, Stiliadis, Choudhury, INFOCOM 1998), by cost over weight. A heap's
// last entry is a leaf, so it isn't the flow's soonest unless it is its only one.
std::optional<std::uint64_t> AdmissionQueue::evictFromLongest(const Flow& newcomer)
{
    Flow* longest = nullptr;
    for (std::size_t i = 0; i < m_activeCount; ++i) {
        Flow& flow = m_flows[m_active[(m_front + i) % m_active.size()]];
        if (!longest || flow.cost * longest->weight > longest->cost * flow.weight)
            longest = &flow;
    }
    const bool isShorter = longest && longest->heap.size() > 1 && newcomer.cost * longest->weight < longest->cost * newcomer.weight;
    if (!isShorter)
        return std::nullopt;
    const Waiting evicted = longest->heap.back();
    longest->heap.pop_back();
    longest->cost -= evicted.cost;
    m_cost -= evicted.cost;
    --m_size;
    return evicted.id;
}

void AdmissionQueue::activate(std::size_t flow)
{
    m_active[(m_front + m_activeCount) % m_active.size()] = flow;
    ++m_activeCount;
    m_flows[flow].isActive = true;
    m_flows[flow].deficit = 0;
    m_activeWeight += m_flows[flow].weight;
}

void AdmissionQueue::deactivateFront()
{
    Flow& flow = m_flows[m_active[m_front]];
    flow.isActive = false;
    flow.deficit = 0;
    m_activeWeight -= flow.weight;
    m_front = (m_front + 1) % m_active.size();
    --m_activeCount;
}

std::optional<TakenItem> AdmissionQueue::take(SteadyTime now)
{
    while (m_activeCount > 0) {
        const std::size_t index = m_active[m_front];
        Flow& flow = m_flows[index];
        if (flow.heap.empty()) {
            deactivateFront();
            continue;
        }
        const Waiting next = flow.heap.front();
        if (next.deadline < now) {
            popFrom(flow);
            return TakenItem { next.id, TakeVerdict::expired };
        }
        if (flow.deficit < next.cost) {
            flow.deficit += static_cast<std::uint64_t>(flow.weight) * m_settings.quantum;
            m_front = (m_front + 1) % m_active.size();
            m_active[(m_front + m_activeCount - 1) % m_active.size()] = index;
            continue;
        }
        flow.deficit -= next.cost;
        popFrom(flow);
        measure(next.cost, now);
        return TakenItem { next.id, TakeVerdict::serve };
    }
    return std::nullopt;
}

void AdmissionQueue::popFrom(Flow& flow)
{
    const std::uint32_t cost = flow.heap.front().cost;
    std::pop_heap(flow.heap.begin(), flow.heap.end(), isLater);
    flow.heap.pop_back();
    flow.cost -= cost;
    m_cost -= cost;
    --m_size;
    if (flow.heap.empty())
        deactivateFront();
}

// Counts only time in which requests waited: an idle queue drains slowly for want of work.
void AdmissionQueue::measure(std::uint32_t cost, SteadyTime now)
{
    if (m_busySince) {
        const Seconds passed = std::max(now - *m_busySince, SteadyTime::duration::zero());
        const double keep = std::exp(-passed / Seconds(m_settings.drainMemory));
        m_drainedCost = m_drainedCost * keep + cost;
        m_drainSeconds = m_drainSeconds * keep + passed.count();
    }
    m_busySince = now;
    if (m_size == 0)
        m_busySince.reset();
}

bool AdmissionQueue::remove(const QueueItem& item)
{
    const std::size_t index = flowIndex(item.customer, item.priority);
    if (index >= m_flows.size())
        return false;
    Flow& flow = m_flows[index];
    const auto found = std::find_if(flow.heap.begin(), flow.heap.end(), [&](const Waiting& waiting) { return waiting.id == item.id; });
    if (found == flow.heap.end())
        return false;
    flow.cost -= found->cost;
    m_cost -= found->cost;
    --m_size;
    *found = flow.heap.back();
    flow.heap.pop_back();
    std::make_heap(flow.heap.begin(), flow.heap.end(), isLater);
    return true;
}

}
