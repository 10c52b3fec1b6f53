// Holds requests back while every endpoint of their version is busy, fair between customers: a short queue here
// can still choose, a long one at an engine can't.
//
// EngineDispatch waits in it before a dispatch; Router::tick() lets requests go on as capacity comes free.
#pragma once

#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/policy/AdmissionQueue.h"
#include "whinyard/router/Fibers.h"

#include <map>
#include <memory>

namespace whinyard::router {

class RequestContext;

class CapacityQueue {
public:
    // Returns whether a request that was planned so is to wait here first: every endpoint is busy, or others wait already.
    bool mustWait(const VersionName& version, const policy::EndpointPlan& plan) const;

    // Waits until the request may be dispatched. Fails with overloaded when it is refused at once, gives way to others or
    // can't be served before its deadline, and with cancelled when its caller has gone.
    bool wait(RequestContext& context, const endpoint::EndpointWish& wish, std::uint32_t cost, Failure& failure);

    // Lets waiting requests go on for which there is capacity, and ends the waits of those that give way.
    void tick(endpoint::EndpointDirectory& directory, SteadyTime now);

    // Returns how many requests wait.
    std::size_t size() const { return m_waiting.size(); }

private:
    enum class Verdict : std::uint8_t {
        waiting,
        goOn,
        expired,
        evicted,
        callerGone,
    };

    struct Waiting {
        const RequestContext* context = nullptr;
        policy::QueueItem item;
        std::unique_ptr<Wakeup> wakeup;
        Verdict verdict = Verdict::waiting;
    };

    static bool isBusy(const policy::EndpointPlan& plan);
    void end(std::uint64_t id, Verdict verdict);
    void dropGone();
    void serve(const VersionName& version, policy::AdmissionQueue& queue, endpoint::EndpointDirectory& directory, SteadyTime now);

    std::map<VersionName, policy::AdmissionQueue> m_queues;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_lastId = 0;
};

}
