// The JSON form of a bill line, shared by the codecs of this package.
#pragma once

#include "whinyard/ledger/UsageLine.h"

#include <nlohmann/json.hpp>

namespace whinyard::ledger {

nlohmann::ordered_json lineToJson(const UsageLine& line);

// Returns nothing when a field is missing or of another type; never throws.
std::optional<UsageLine> lineFromJson(const nlohmann::json& json);

}
