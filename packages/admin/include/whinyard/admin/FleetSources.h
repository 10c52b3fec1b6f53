// The parts of the administration API over the peers and this process's own events.
//
// The daemon makes them; its handler of other instances' trace queries uses answerTraceQuery().
#pragma once

#include "whinyard/admin/AdminParts.h"
#include "whinyard/peer/Peers.h"
#include "whinyard/timeline/EventSource.h"

#include <chrono>
#include <functional>

namespace whinyard::admin {

// Waits on a fiber of a duty.
class FiberWaiter final : public Waiter {
public:
    void wait(std::chrono::milliseconds duration) override;
};

// What an instance knows of itself; the functions are called on the admin duty.
struct OwnStatus {
    InstanceName name;
    ZoneName zone;
    std::function<std::uint64_t()> revision; // Of the configuration that it holds.
    std::function<bool(std::string& reason)> isReady;
};

// The fleet as the members of this instance's view; without peers, this instance alone.
class PeersFleetView final : public FleetView {
public:
    // `peers` may be null, and must else outlive the view.
    PeersFleetView(const peer::Peers* peers, OwnStatus own);

    std::vector<InstanceStatus> instances() override;
    bool isReady(std::string& reason) override;

private:
    const peer::Peers* m_peers;
    const OwnStatus m_own;
};

// Returns the events that a query asks for. Events of a key or session are found by the requests whose
// events mention its digest or name.
peer::TraceQueryAnswer answerTraceQuery(const timeline::EventSource& source, const peer::TraceQuery& query);

// Returns the hexadecimal digest under which events mention an idempotency key: SHA-256 of customer,
// service and key, each on a line of its own.
std::string callDigest(const CustomerName& customer, const ServiceName& service, const std::string& key);

// Asks this process and every other instance. Instances that don't answer are named.
class PeersTraceSource final : public TraceSource {
public:
    // `peers` may be null; it and `own` must outlive the source.
    PeersTraceSource(peer::Peers* peers, const timeline::EventSource& own);

    std::optional<TraceMaterial> find(const TraceQuestion& question, Failure& failure) override;

private:
    void ask(const peer::TraceQuery& query, TraceMaterial& material);
    void take(peer::TraceQueryAnswer answer, TraceMaterial& material);

    peer::Peers* m_peers;
    const timeline::EventSource& m_own;
};

}
