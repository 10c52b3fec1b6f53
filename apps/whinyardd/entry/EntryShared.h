// What all duties of an entry daemon share. Everything in it may be used from any thread.
#pragma once

#include "entry/RoutingKeeper.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/net/HttpClient.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/settings/DescriptorShares.h"
#include "whinyard/settings/EntrySettings.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace whinyard::daemon {

// Makes what connects to endpoints, for the duty that it belongs to. Tests replace it to partition an instance from them.
struct EndpointTransport {
    std::function<std::unique_ptr<net::HttpClient>(net::Duty&, const net::HttpClientLimits&)> makeClient = net::HttpClient::create;
    std::function<std::unique_ptr<net::ListenProbe>(net::Duty&, std::size_t mostAtOnce)> makeProbe = net::ListenProbe::create;
};

// Tells how many connections the process holds for one use. Each takes a descriptor, a relayed one two.
inline void tellConnectionCount(Metrics& metrics, std::string_view use, std::size_t count)
{
    metrics.set("whinyard_connections{use=\"" + std::string(use) + "\"}", static_cast<double>(count));
}

struct EntryShared {
    explicit EntryShared(const settings::EntrySettings& entrySettings, const settings::DescriptorShares& descriptorShares = {}, EndpointTransport endpointTransport = {})
        : settings(entrySettings)
        , shares(descriptorShares)
        , transport(std::move(endpointTransport))
    {
    }

    const settings::EntrySettings settings;
    const settings::DescriptorShares shares;
    const EndpointTransport transport;
    const SystemClock clock;
    Metrics metrics;
    RoutingKeeper routing;
    std::atomic<bool> endpointsKnown = false;
    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false; // Ends the loops of all duties.
};

}
