// The requests that wait for a permit, in the order of an AdmissionQueue. Used by PlacePool.
#pragma once

#include "whinyard/policy/AdmissionQueue.h"
#include "whinyard/policy/PlacePool.h"

#include <map>
#include <vector>

namespace whinyard::policy {

struct WaitingRequest {
    PermitRequest request;
    SteadyTime latestStart; // With a later one the answer would miss its objective.
    SteadyTime deadline;
    SteadyTime lastSeen;
    QueueItem item;
    bool isQueued = true; // Not yet selected by the AdmissionQueue.
};

class PermitQueue {
public:
    explicit PermitQueue(std::size_t capacity);

    // Puts a request in, or refuses it. takeOut() takes out the one that gave way to it.
    QueueDecision offer(WaitingRequest waiting, SteadyTime now);

    // Returns the request if it waits.
    WaitingRequest* find(const PermitId& id);

    // Selects the next request, which then comes before all that are still queued until it is erased.
    std::optional<PermitId> select(SteadyTime now);

    // Takes a request out.
    void erase(const PermitId& id);

    // Takes out the request that an offer evicted.
    PermitRequest takeOut(std::uint64_t evicted);

    // Returns the requests that were selected, in that order, whose endpoints had no free permit then.
    const std::vector<PermitId>& selected() const { return m_selected; }

    const std::map<PermitId, WaitingRequest>& all() const { return m_waiting; }

    std::chrono::milliseconds expectedWait(const PermitRequest& request) const;

    void useDrainRate(double requestsPerSecond);

private:
    struct Customer {
        CustomerIndex index {};
        std::size_t waiting = 0;
    };

    // Returns the customer's index, which is its own while it has requests here.
    CustomerIndex enter(const CustomerName& name);
    void leave(const CustomerName& name);

    const std::size_t m_capacity; // Of the queue, and of those selected.
    AdmissionQueue m_queue;
    std::map<PermitId, WaitingRequest> m_waiting;
    std::map<std::uint64_t, PermitId> m_byNumber;
    std::uint64_t m_lastNumber = 0;
    std::vector<PermitId> m_selected;
    std::map<CustomerName, Customer> m_customers;
    std::vector<CustomerIndex> m_freeIndexes;
};

}
