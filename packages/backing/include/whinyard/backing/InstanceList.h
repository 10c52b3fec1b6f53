// The platform's list of live and leaving endpoints and entry instances, which lags behind the truth.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/net/Address.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace whinyard::backing {

// What an entry of the list is.
enum class ListedKind : std::uint8_t {
    engine, // A model engine.
    service, // A process of a plain service.
    instance, // An entry instance: a whinyardd process.
};

// One entry of the list.
struct ListedEndpoint {
    EndpointName name;
    ListedKind kind = ListedKind::engine;
    net::Address address;
    ZoneName zone;
    std::vector<VersionName> versions; // The versions that an engine has loaded.
    ServiceName service; // The service of a plain service's process.
    bool leaving = false;
    std::uint32_t slots = 0; // Requests that it runs at once; 0 if it doesn't say.
    std::chrono::milliseconds coldLeft { 0 }; // How much longer it bears but few requests, when it said so.
    bool isSpot = false; // Its provider may take it away, with all others like it in its zone.
    std::uint64_t born = 0; // When its process started, by its own clock, in milliseconds; 0 if it doesn't say. Another one is another process.

    bool operator==(const ListedEndpoint&) const = default;
};

class InstanceList {
public:
    virtual ~InstanceList() = default;

    virtual std::optional<std::vector<ListedEndpoint>> fetch(Failure& failure) = 0;
};

}
