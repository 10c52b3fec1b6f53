// One attempt of a forwarded request: its endpoint, the call, and what its answer's head says.
#pragma once

#include "internal/AnswerMemory.h"
#include "internal/EndpointUse.h"
#include "internal/ForwardCore.h"

#include <memory>
#include <optional>
#include <string>

namespace whinyard::router {

// Where an attempt goes.
struct AttemptTarget {
    ServiceName service;
    std::string version;
    endpoint::ChosenEndpoint endpoint;
    std::vector<std::uint64_t> prefix; // Digests of the prompt's parts for the model.
};

// What is known when the head of the answer is there, or can't come.
enum class HeadVerdict : std::uint8_t {
    answer, // A signed success for this request.
    failedAnswer, // A signed failure for this request.
    notRun, // The request has not run at this endpoint and won't.
    broken, // The request may have run; nothing that came can be shown.
};

class ForwardAttempt {
public:
    // All must outlive the object.
    ForwardAttempt(ForwardCore& core, const ForwardedRequest& request, AttemptTarget target, PlacePermit permit);

    // Sends the request and waits for the head of the answer, at most for `patience`.
    HeadVerdict open(const AttemptHead& head, std::chrono::milliseconds patience);

    // Reads the rest of a whole answer, whose bytes `share` counts. Returns nothing when it broke off or was given up.
    std::optional<net::HttpResponse> readWhole(SteadyTime deadline, AnswerMemory::Share& share);

    // Returns the next bytes of the body, empty at its end; nothing when it broke off or nothing came within `patience`.
    std::optional<std::string> read(std::chrono::milliseconds patience);

    // Returns whether the answer has no end of its own but the connection's; see net::HttpStream.
    bool endsWithConnection() const { return m_stream->endsWithConnection(); }

    // Takes the end of the answer for that of a connection that was lost.
    void loseConnection(std::string reason);

    // Ends the attempt from outside its fiber: its connection is closed, and a wait for it returns.
    void cancel();

    void end(endpoint::EndpointOutcome outcome);
    void firstByte() { m_use.firstByte(); }

    const AttemptTarget& target() const { return m_target; }
    const EndpointReply& reply() const { return m_reply; }
    const net::HttpResponse& head() const { return m_stream->head(); }
    const Failure& failure() const { return m_failure; }
    std::size_t bodyBytes() const { return m_bodyBytes; } // That were read.
    bool connectionLost() const { return m_connectionLost; } // Without the end of an answer, and not by us.
    bool hasHead() const { return m_stream != nullptr; }
    bool timedOut() const { return m_failure.kind == ErrorKind::deadlineExceeded; }
    bool wasSent() const { return m_progress.bytesWritten > 0; }
    bool isRelayed() const { return m_relay.has_value(); } // Its connection was made by another instance.
    const std::optional<InstanceName>& relay() const { return m_relay; }
    bool lacksPath() const { return m_lacksPath; } // Nobody has tried to connect to the endpoint, or only this instance while it was behind, so nothing is known of it.
    bool lacksResources() const { return m_progress.connect == net::ConnectOutcome::lacksResources; } // Of this instance: another endpoint would fare alike.
    std::chrono::nanoseconds age() const { return m_core.parts.clock.now() - m_use.began(); }

private:
    void call(const AttemptHead& head, std::chrono::milliseconds patience, const InstanceName* relay);
    void callDirectly(const AttemptHead& head, std::chrono::milliseconds patience);
    void callByRelays(const AttemptHead& head, std::chrono::milliseconds patience, std::optional<SteadyTime> directBegan);
    bool failedToConnect() const;
    bool wasLateItself() const; // The connect has timed out while this instance was behind.
    SteadyTime now() const { return m_core.parts.clock.now(); }
    void noteRelayedEnd() const;
    HeadVerdict judgeHead();
    void takeStatement();
    HeadVerdict fail(HeadVerdict verdict, ErrorKind kind, std::string reason);
    std::nullopt_t failBody(std::string reason);

    ForwardCore& m_core;
    const ForwardedRequest& m_request;
    const AttemptTarget m_target;
    EndpointUse m_use;
    net::HttpCancellation m_cancellation;
    net::HttpCallProgress m_progress;
    std::unique_ptr<net::HttpStream> m_stream;
    std::optional<InstanceName> m_relay;
    bool m_lacksPath = false;
    bool m_connectionLost = false;
    bool m_isAtEnd = false; // The answer's end was read.
    std::size_t m_bodyBytes = 0;
    EndpointReply m_reply;
    Failure m_failure;
};

}
