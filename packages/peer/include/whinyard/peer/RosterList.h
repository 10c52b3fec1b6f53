// The list of endpoints as one instance hands it to another: what changed since the other one's own list, or all of it.
//
// Changes go by notices; an instance that missed one, or that starts, reads the list over a connection, since the parts of
// a list of hundreds of endpoints don't all get through a full link as datagrams.
#pragma once

#include "whinyard/backing/InstanceList.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Revision.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::peer {

struct RosterList {
    InstanceName instance; // That tells it.
    Revision operators {}; // The revision up to which the instance knows the operators' records.
    Revision since {}; // The revision of the store after which changes are told; 0: all endpoints are.
    Revision upTo {}; // The revision of the store up to which nothing is missing.
    std::vector<backing::ListedEndpoint> endpoints;
    std::vector<EndpointName> gone; // Of the changes.

    bool operator==(const RosterList&) const = default;
};

// Returns the list compressed.
std::string encodeRoster(const RosterList& list);

// Fails with corruptRecord for bytes that encodeRoster() would not write.
std::optional<RosterList> decodeRoster(std::string_view bytes, Failure& failure);

}
