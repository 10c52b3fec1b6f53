#include "internal/CapacityQueue.h"

#include "internal/RequestContext.h"
#include "whinyard/net/HttpServer.h"

namespace whinyard::router {

namespace {

    // A request whose wait at the best endpoint is expected to be longer than this waits here instead. It must be well
    // above the time of a few steps, so that engines never run dry.
    constexpr std::chrono::milliseconds busyBeyond { 200 };

    // How many requests of one version go on in one tick: the next choice sees them dispatched.
    constexpr int servedInOneTick = 8;

    void refuse(Failure& failure, const std::string& reason, std::chrono::milliseconds retryAfter)
    {
        failure = { .kind = ErrorKind::overloaded, .reason = reason, .retryAfter = std::max(retryAfter, std::chrono::milliseconds(1)) };
    }

}

bool CapacityQueue::isBusy(const policy::EndpointPlan& plan)
{
    return plan.expectedWait - plan.unqueuedWait > busyBeyond;
}

bool CapacityQueue::mustWait(const VersionName& version, const policy::EndpointPlan& plan) const
{
    const auto queue = m_queues.find(version);
    return isBusy(plan) || (queue != m_queues.end() && queue->second.size() > 0);
}

bool CapacityQueue::wait(RequestContext& context, const endpoint::EndpointWish& wish, std::uint32_t cost, Failure& failure)
{
    const std::optional<policy::CustomerIndex> customer = context.core.parts.limits.find(context.customer);
    policy::AdmissionQueue& queue = m_queues[wish.version];
    const std::uint64_t id = ++m_lastId;
    const policy::QueueItem item { id, customer.value_or(policy::CustomerIndex {}), context.priority, std::max(cost, 1U), context.deadline };
    const policy::QueueDecision decision = queue.offer(item, context.now());
    if (decision.evicted)
        end(*decision.evicted, Verdict::evicted);
    if (decision.verdict != policy::QueueVerdict::accepted) {
        refuse(failure, "no capacity for " + wish.version.value + " before the deadline", decision.retryAfter);
        return false;
    }
    context.record(EventKind::planMade, { .version = wish.version, .amount = static_cast<std::uint64_t>(decision.expectedWait.count()), .reason = "waits for capacity" });
    Waiting& waiting = m_waiting[id];
    waiting.context = &context;
    waiting.item = item;
    waiting.wakeup = context.core.parts.fibers.makeWakeup();
    while (waiting.verdict == Verdict::waiting && waiting.wakeup->wait(context.timeLeft())) { }
    const Verdict verdict = waiting.verdict;
    if (verdict == Verdict::waiting)
        queue.remove(item);
    const std::chrono::milliseconds retryAfter = queue.expectedWait(item.customer, item.priority);
    m_waiting.erase(id);
    if (verdict == Verdict::goOn)
        return true;
    refuse(failure, verdict == Verdict::evicted ? "gave way to requests of other customers" : "no capacity for " + wish.version.value + " before the deadline", retryAfter);
    if (verdict == Verdict::callerGone)
        failure = { .kind = ErrorKind::cancelled, .reason = "the caller went away while the request waited" };
    return false;
}

void CapacityQueue::end(std::uint64_t id, Verdict verdict)
{
    const auto waiting = m_waiting.find(id);
    if (waiting == m_waiting.end())
        return;
    waiting->second.verdict = verdict;
    waiting->second.wakeup->notify();
}

void CapacityQueue::tick(endpoint::EndpointDirectory& directory, SteadyTime now)
{
    if (m_waiting.empty())
        return;
    dropGone();
    for (auto& [version, queue] : m_queues)
        serve(version, queue, directory, now);
}

void CapacityQueue::dropGone()
{
    for (auto& [id, waiting] : m_waiting) {
        const net::HttpResponder* caller = waiting.context->caller;
        if (waiting.verdict != Verdict::waiting || !caller || !caller->peerGone())
            continue;
        for (auto& [version, queue] : m_queues)
            queue.remove(waiting.item);
        end(id, Verdict::callerGone);
    }
}

void CapacityQueue::serve(const VersionName& version, policy::AdmissionQueue& queue, endpoint::EndpointDirectory& directory, SteadyTime now)
{
    endpoint::EndpointWish wish;
    wish.version = version;
    wish.mayProbe = false;
    for (int served = 0; served < servedInOneTick && queue.size() > 0; ++served) {
        Failure failure;
        const std::optional<endpoint::ChosenEndpoint> chosen = directory.choose(wish, now, failure);
        // Without any endpoint the requests go on, to be refused with the reason.
        if (chosen && isBusy(chosen->plan))
            return;
        const std::optional<policy::TakenItem> taken = queue.take(now);
        if (!taken)
            return;
        end(taken->id, taken->verdict == policy::TakeVerdict::serve ? Verdict::goOn : Verdict::expired);
    }
}

}
