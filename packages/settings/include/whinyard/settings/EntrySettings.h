// The settings of a whinyardd process that forwards callers' requests by the operators' routing and keeps everything
// that lasts in a site's store.
//
// A site hands them out in its own format; an adapter fills this aggregate, and the daemon reads it.
#pragma once

#include "whinyard/base/Identity.h"
#include "whinyard/net/Address.h"
#include "whinyard/settings/EntryTuning.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::settings {

// What the site promises or asks for, as far as the daemon decides by it. The defaults are those of the smallest
// sites; a site's settings state their own.
struct ServiceBounds {
    std::chrono::milliseconds contact { 3'000 }; // Without disturbance, after which an instance counts as in touch.
    std::chrono::milliseconds configurationInForce { 2'000 }; // After the acceptance of a configuration.
    std::chrono::milliseconds disturbedStretch { 5'000 }; // Longest addition to the one above while the store is disturbed.
    std::chrono::milliseconds drain { 2'000 }; // After which a leaving endpoint gets no new work.
    std::chrono::milliseconds stopGrace { 8'000 }; // From the request to stop until the process is killed.
    double repeatRatio = 0.9; // Arrivals beyond the first at a service, for each request of the window.
    std::chrono::milliseconds repeatWindow { 10'000 };
    double repeatSlack = 50; // Arrivals beyond the first that are allowed in any case, over all instances.
    double exposureShare = 0.15; // Of a service's requests that a bad version may get.
    double exposureSlack = 30;
    std::chrono::milliseconds rollbackWithin { 5'000 }; // After the 50th bad answer of a version.
    // What a cold endpoint may get in any second: its service's rate times the factor, and the slack.
    double coldFactor = 1.5;
    double coldSlack = 5;
    std::chrono::milliseconds sessionGap { 5'000 }; // Requests of one session follow each other within this.
    std::chrono::milliseconds leaderGap { 3'000 }; // In which no two leaders act by turns.
    std::chrono::milliseconds usageWindow { 5'000 }; // Whose usage is reported at a time.
    std::chrono::milliseconds usageDue { 10'000 }; // After a window's end.
};

// The provider of the endpoints, who takes reports of usage and orders of capacity from one instance at a time.
struct ProviderSettings {
    net::Address address;
    bool takesUsage = false;
    bool takesOrders = false;
    double callsPerSecond = 50; // Of all instances together; it refuses more.
};

// The site's store.
struct StoreSettings {
    net::Address address;
    double writesPerSecond = 400; // Of all instances together.
    double readsPerSecond = 2'000;
    std::chrono::milliseconds shortestLease { 1'000 };
};

struct EntrySettings {
    InstanceName instance;
    ZoneName zone;
    RegionName region;
    std::map<ZoneName, RegionName> regions; // Of each availability zone.
    net::Address callers; // Where callers connect.
    net::Address readiness; // Where the site asks whether this instance takes callers.
    std::optional<net::Address> metrics; // Where counters and latencies are read.
    std::optional<net::Address> peers; // Where other instances connect.
    std::optional<net::Address> relay; // Where other instances have connections to endpoints made; as far from `peers` on all instances.
    std::vector<net::Address> seeds; // Of other instances; they may be outdated.
    StoreSettings store;
    std::optional<ProviderSettings> provider; // Absent: nothing is reported or ordered.
    ServiceBounds bounds;
    bool isFirstStart = false; // Of the whole system: nothing has run before at any instance's place.
    std::uint32_t linkMegabits = 0; // A second, of the instance's own link; 0 if unknown.
    std::uint32_t memoryMegabytes = 0; // The process is killed above it; 0 if unknown.
    std::size_t descriptors = 0; // For sockets; 0 if unknown.
    EntryTuning tuning;

    // Settings that the daemon takes over when it reads them again; the others hold until it restarts.
    bool sameAddresses(const EntrySettings& other) const { return callers == other.callers && readiness == other.readiness && store.address == other.store.address; }
};

}
