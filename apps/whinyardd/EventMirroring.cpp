#include "EventMirroring.h"

#include "whinyard/timeline/MirrorBudget.h"

#include <algorithm>
#include <deque>

namespace whinyard::daemon {

namespace {

    constexpr std::chrono::milliseconds interval { 500 };
    constexpr std::chrono::milliseconds callTimeout { 1'000 };
    constexpr std::size_t holdersTried = 2;
    constexpr std::size_t mostWaiting = 100; // Batches; more are given up, the oldest first.

}

std::vector<InstanceName> eventHolders(const peer::MembershipView& view)
{
    const auto rank = [&](const peer::Member& member) {
        const bool isNear = member.zone == view.self.zone;
        return std::make_pair(isNear, stableHash(member.name.value, stableHash(view.self.name.value)));
    };
    std::vector<peer::Member> others;
    for (const peer::Member& member : view.members) {
        if (member.name != view.self.name && member.state == peer::MemberState::alive)
            others.push_back(member);
    }
    std::sort(others.begin(), others.end(), [&](const auto& left, const auto& right) { return rank(left) < rank(right); });
    std::vector<InstanceName> names;
    for (const peer::Member& member : others)
        names.push_back(member.name);
    return names;
}

struct EventMirroring::Loop {
    Loop(peer::Peers& otherPeers, Shared& sharedParts)
        : peers(otherPeers)
        , shared(sharedParts)
        , budget(sharedParts.settings.limits.eventMirrorBytesPerSecond)
    {
    }

    void run();
    bool handOver();
    void removeHandedOver(std::uint64_t sequence);
    bool handToAny(const peer::MirrorEvents& call);
    bool handTo(const InstanceName& holder, const peer::MirrorEvents& call);

    peer::Peers& peers;
    Shared& shared;
    timeline::MirrorBudget budget;
    net::Signal urgent;
    std::atomic<bool> notified = false;
    bool stopped = false;
    std::deque<timeline::EventBatch> waiting; // Not with another instance yet, the oldest first.
};

EventMirroring::EventMirroring(net::Duty& duty, peer::Peers& peers, Shared& shared)
    : m_loop(std::make_shared<Loop>(peers, shared))
{
    const std::shared_ptr<Loop> loop = m_loop;
    shared.events.store().whenUrgent([&duty, loop] {
        if (!loop->notified.exchange(true) && !duty.post([loop] { loop->urgent.notify(); }))
            loop->notified = false;
    });
    duty.post([loop] { loop->run(); });
}

void EventMirroring::flush()
{
    m_loop->handOver();
}

void EventMirroring::stop()
{
    m_loop->stopped = true;
    m_loop->urgent.notify();
}

void EventMirroring::Loop::run()
{
    while (!stopped) {
        urgent.wait(interval);
        notified = false;
        if (handOver())
            shared.metrics.add("whinyard_event_mirror_rounds_total");
    }
}

// Batches that nobody takes, because no other instance is known yet or none answers, wait for the next round.
bool EventMirroring::Loop::handOver()
{
    while (auto batch = shared.events.store().takeBatch()) {
        const std::uint32_t recorded = batch->count;
        timeline::EventBatch fitted = budget.fit(std::move(*batch), shared.clock.now());
        shared.metrics.add("whinyard_events_left_out_total", recorded - fitted.count);
        if (fitted.count)
            waiting.push_back(std::move(fitted));
    }
    while (waiting.size() > mostWaiting) {
        shared.metrics.add("whinyard_events_unmirrored_total", waiting.front().count);
        waiting.pop_front();
    }
    while (!waiting.empty()) {
        const peer::MirrorEvents call { waiting.front() };
        if (!handToAny(call))
            return false;
        shared.metrics.add("whinyard_events_mirrored_total", call.batch.count);
        shared.metrics.add("whinyard_event_bytes_mirrored_total", call.batch.data.size());
        removeHandedOver(call.batch.sequence);
    }
    return true;
}

// Another fiber may have handed over or dropped the front in the meantime.
void EventMirroring::Loop::removeHandedOver(std::uint64_t sequence)
{
    if (!waiting.empty() && waiting.front().sequence == sequence)
        waiting.pop_front();
}

bool EventMirroring::Loop::handToAny(const peer::MirrorEvents& call)
{
    std::vector<InstanceName> holders = eventHolders(*peers.view());
    holders.resize(std::min(holders.size(), holdersTried));
    return std::any_of(holders.begin(), holders.end(), [&](const InstanceName& holder) { return handTo(holder, call); });
}

bool EventMirroring::Loop::handTo(const InstanceName& holder, const peer::MirrorEvents& call)
{
    Failure failure;
    const auto answer = peer::ask(peers, holder, call, callTimeout, failure);
    return answer && answer->taken;
}

}
