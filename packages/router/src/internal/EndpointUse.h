// Counts one attempt at its endpoint, and its end exactly once.
#pragma once

#include "internal/PlacePermit.h"
#include "whinyard/base/Clock.h"
#include "whinyard/endpoint/EndpointDirectory.h"

#include <cstdint>
#include <vector>

namespace whinyard::router {

class EndpointUse {
public:
    // Begins an attempt now, under a permit where its service is scarce. The directory and the clock must outlive the object.
    EndpointUse(endpoint::EndpointDirectory& directory, const Clock& clock, const EndpointName& endpoint, const std::vector<std::uint64_t>& prefix, PlacePermit permit = {});

    // Ends it as cancelled, unless end() was called.
    ~EndpointUse();
    EndpointUse(const EndpointUse&) = delete;
    EndpointUse& operator=(const EndpointUse&) = delete;

    // Takes what the endpoint states of itself in the head of its answer.
    endpoint::StatementEffect takeStatement(const endpoint::EndpointStatement& statement);

    void firstByte();
    void end(endpoint::EndpointOutcome outcome);

    SteadyTime began() const { return m_began; }

private:
    endpoint::EndpointDirectory& m_directory;
    const Clock& m_clock;
    const EndpointName m_endpoint;
    const SteadyTime m_began;
    PlacePermit m_permit;
    bool m_sawFirstByte = false;
    bool m_ended = false;
};

}
