// The operators' routing: which requests go to which services, for whom, and within which bounds.
//
// The forwarding path reads it for every request. A routing is a value; an instance holds the newest one behind a
// shared pointer and replaces it as a whole.
#pragma once

#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace whinyard::config {

// What may be repeated.
enum class RequestKind : std::uint8_t {
    idempotent, // May run more than once.
    nonIdempotent, // Runs at most once.
    streaming, // Answers by a stream of events; runs at most once unless the route can resume.
};

// A service that takes a part of a route's requests.
struct WeightedService {
    ServiceName service;
    std::uint32_t weight = 1;

    bool operator==(const WeightedService&) const = default;
};

struct Route {
    std::string name;
    std::string host; // Lower case, without a port.
    std::string prefix; // Begins and ends with a slash.
    RequestKind kind = RequestKind::nonIdempotent;
    std::chrono::milliseconds timeout { 30'000 }; // The longest that a caller is kept waiting.
    std::chrono::milliseconds objective { 1'000 }; // Until the answer, or the first event of a stream.
    std::chrono::milliseconds pauseObjective { 1'000 }; // Between two events of a stream.
    std::uint8_t priority = 1; // 0 is served first.
    std::uint32_t maximumAttempts = 1; // Endpoints on which one request may run.
    std::vector<ModelName> models; // Of which the router chooses one, the smallest first; empty: the caller names it.
    std::vector<WeightedService> services;
    bool needsKey = true;
    bool resumable = false;
    bool isGenerative = false; // Requests carry a prompt for a model.
    std::set<RegionName> allowedRegions {}; // Where requests may be served; empty: anywhere.

    // Returns whether a request may run again after it may have run.
    bool repeatable() const { return kind == RequestKind::idempotent || (kind == RequestKind::streaming && resumable); }

    bool operator==(const Route&) const = default;
};

// A model of a service as it is priced.
struct PricedModel {
    ModelName name;
    double costPerThousandTokens = 0; // Generated ones; tokens read count a quarter.

    bool operator==(const PricedModel&) const = default;
};

// How many endpoints of a service may be ordered, and what they cost.
struct CapacityLimits {
    std::uint32_t minimum = 0; // In each zone, of lasting and spot endpoints together.
    std::uint32_t maximum = 0;
    std::chrono::milliseconds startTime { 0 }; // Until an ordered endpoint serves.
    double spotPrice = 1; // Of a spot endpoint, as a share of a lasting one's.
    std::map<ZoneName, double> zonePrices; // Of a lasting endpoint, for each second.

    bool operator==(const CapacityLimits&) const = default;
};

// A service and what its endpoints are able to do.
struct RoutedService {
    ServiceName name;
    std::uint32_t maximumConnections = 0; // That one endpoint accepts from all instances; 0 if unknown.
    std::uint32_t slots = 0; // Requests that one model engine runs at once; 0 for plain services.
    std::uint64_t cacheTokens = 0; // Memory of one model engine.
    std::uint32_t tokensPerEvent = 1; // Of a stream.
    std::vector<PricedModel> models;
    std::chrono::milliseconds coldFor { 0 }; // How long an endpoint is cold after its start.
    double coldRequestsPerSecond = 0; // That one cold endpoint bears, of all instances; 0: as many as a warm one.
    std::optional<CapacityLimits> capacity {}; // Absent: its endpoints aren't ordered by the instances.

    bool operator==(const RoutedService&) const = default;
};

// A customer with the keys that it may use now.
struct RoutedCustomer {
    CustomerName name;
    std::vector<std::string> keys;
    std::optional<std::uint8_t> priority; // Goes before the route's.
    std::set<RegionName> allowedRegions {}; // Where its requests may be served; empty: anywhere.

    bool operator==(const RoutedCustomer&) const = default;
};

// The regions in which one request may be served.
class Residency {
public:
    // No restriction.
    Residency() = default;

    // The restrictions of a route and of the customer that calls it, null where no key is asked for. Both hold.
    Residency(const Route& route, const RoutedCustomer* customer);

    bool isRestricted() const { return m_allowed.has_value(); }
    bool allows(const RegionName& region) const { return !m_allowed || m_allowed->contains(region); }

    // Returns whether the restrictions leave no region.
    bool allowsNone() const { return m_allowed && m_allowed->empty(); }

    bool operator==(const Residency&) const = default;

private:
    void restrictTo(const std::set<RegionName>& regions);

    std::optional<std::set<RegionName>> m_allowed; // Absent: any region.
};

// What callers may send and how long they may take.
struct CallerLimits {
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout { 10'000 };
    std::chrono::milliseconds idleTimeout { 75'000 };

    bool operator==(const CallerLimits&) const = default;
};

struct Routing {
    std::uint64_t version = 0; // Rises with every accepted configuration.
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    std::vector<RoutedCustomer> customers;
    bool knowsCustomers = false; // Without customers no key is asked for.
    CallerLimits limits;
    std::vector<std::string> leftOut; // What the source held and couldn't be used, each with its reason.

    bool operator==(const Routing&) const = default;
};

// A routing with the indexes that a request's lookups use.
class RoutingTable {
public:
    explicit RoutingTable(Routing routing);
    RoutingTable(const RoutingTable&) = delete;
    RoutingTable& operator=(const RoutingTable&) = delete;

    const Routing& routing() const { return m_routing; }
    std::uint64_t version() const { return m_routing.version; }

    // Returns the route of the host with the longest prefix that begins the path; null if there is none. The host may
    // carry a port and upper-case letters.
    const Route* findRoute(std::string_view host, std::string_view path) const;

    // Returns the customer that holds the key, or null.
    const RoutedCustomer* findCustomer(std::string_view key) const;

    const RoutedService* findService(const ServiceName& name) const;

private:
    const Routing m_routing;
    std::unordered_map<std::string, std::vector<const Route*>> m_routesByHost; // The longest prefix first.
    std::unordered_map<std::string, const RoutedCustomer*> m_customersByKey;
};

}
