// The whole list of endpoints as an instance that follows the store hands it to another.
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

// The list as it stood after the notice with `sequence`.
struct RosterList {
    InstanceName instance;
    std::uint64_t life = 0; // Of the instance's process.
    std::uint64_t sequence = 0;
    Revision operators {}; // The revision up to which the instance knows the operators' records.
    std::vector<backing::ListedEndpoint> endpoints;
    Revision upTo {}; // The revision of the store up to which nothing is missing; 0: not known.

    bool operator==(const RosterList&) const = default;
};

// Returns the list compressed.
std::string encodeRoster(const RosterList& list);

// Fails with corruptRecord for bytes that encodeRoster() would not write.
std::optional<RosterList> decodeRoster(std::string_view bytes, Failure& failure);

}
