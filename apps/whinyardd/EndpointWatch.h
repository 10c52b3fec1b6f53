// Feeds the endpoint directory with the engines' load reports.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/endpoint/EndpointDirectory.h"
#include "whinyard/endpoint/EngineClient.h"
#include "whinyard/net/Duty.h"

namespace whinyard::daemon {

class EndpointWatch {
public:
    // All of it belongs to the serve duty.
    EndpointWatch(net::Duty& serve, const Clock& clock, endpoint::EndpointDirectory& directory, endpoint::EngineClient& engines);

    // Asks the next engines for their load, side by side: all of a small fleet, and in a large one a
    // bounded number in turn, so that a daemon's cost doesn't grow with the engines.
    void askLoads();

    static constexpr std::size_t mostAtOnce = 20;

private:
    void askLoad(const backing::ListedEndpoint& engine);

    net::Duty& m_serve;
    const Clock& m_clock;
    endpoint::EndpointDirectory& m_directory;
    endpoint::EngineClient& m_engines;
    std::size_t m_next = 0; // The place, in the order of names, where the next round begins.
};

}
