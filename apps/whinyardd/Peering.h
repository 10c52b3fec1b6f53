// The peers duty: the other instances, the spread of the configuration, and their calls.
#pragma once

#include "EventMirroring.h"
#include "Shared.h"

#include "whinyard/backing/InstanceList.h"
#include "whinyard/peer/PeerService.h"
#include "whinyard/router/ConfigurationSource.h"

#include <atomic>
#include <memory>

namespace whinyard::daemon {

class Serving;
class Storing;

// Hands the calls of other instances to the duties that answer them. Until those are there, calls are refused.
class PeerCalls final : public peer::PeerHandler {
public:
    explicit PeerCalls(Shared& shared);

    // Writes this instance's bill lines now; false when some are not durable within `bound`.
    bool flushUsage(std::chrono::milliseconds bound);

    // Tells which duties answer; null ends that. Callable from any thread.
    void connect(Storing* storing, Serving* serving);

    std::optional<peer::MirrorUsageAnswer> mirrorUsage(const peer::Sender& sender, const peer::MirrorUsage& request, Failure& failure) override;
    std::optional<peer::ReleaseMirrorAnswer> releaseMirror(const peer::Sender& sender, const peer::ReleaseMirror& request, Failure& failure) override;
    std::optional<peer::ForwardCallAnswer> forwardCall(const peer::Sender& sender, const peer::ForwardCall& request, Failure& failure) override;
    std::optional<peer::FlushUsageAnswer> flushUsage(const peer::Sender& sender, const peer::FlushUsage& request, Failure& failure) override;
    std::optional<peer::MirrorEventsAnswer> mirrorEvents(const peer::Sender& sender, const peer::MirrorEvents& request, Failure& failure) override;
    std::optional<peer::TraceQueryAnswer> traceQuery(const peer::Sender& sender, const peer::TraceQuery& request, Failure& failure) override;

private:
    Shared& m_shared;
    net::Duty m_traces { "traces" }; // Reads packed events, which may take long, apart from heartbeats.
    std::atomic<Storing*> m_storing = nullptr;
    std::atomic<Serving*> m_serving = nullptr;
};

class Peering final : public router::ConfigurationSource {
public:
    // `shared` must outlive the object.
    explicit Peering(Shared& shared);
    ~Peering() override;

    // Loads the keys and opens the address for instances.
    bool open(Failure& failure);

    // The other functions are called after open() has succeeded, from any thread.
    peer::PeerService& service() { return *m_service; }
    PeerCalls& calls() { return m_calls; }

    // Takes the platform's list.
    void takeList(const std::vector<backing::ListedEndpoint>& listed);

    std::shared_ptr<const config::Configuration> newest() const override { return m_service->configuration(); }
    bool mayServe(Failure& failure) const override { return m_service->mayServe(failure); }

    // Writes this instance's bill lines now; false when some are not durable within `bound`.
    bool flushUsage(std::chrono::milliseconds bound) { return m_calls.flushUsage(bound); }

    // Hands the events that are not mirrored yet to another instance.
    void flushEvents();

    // Tells the others that this instance ends, and ends the duty.
    void stop();

private:
    Shared& m_shared;
    PeerCalls m_calls;
    net::Duty m_duty { "peers" };
    std::unique_ptr<peer::PeerService> m_service;
    std::unique_ptr<EventMirroring> m_mirroring;
};

}
