// The records in which instances keep and share how far a version shift is, as JSON.
//
// The daemon writes them to the store and reads those of other instances.
#pragma once

#include "whinyard/policy/VersionShift.h"

#include <optional>
#include <string>
#include <string_view>

namespace whinyard::policy {

std::string writeShiftRecord(const ShiftRecord& record);
std::optional<ShiftRecord> readShiftRecord(std::string_view text);

std::string writeShiftEvidence(const ShiftEvidence& evidence);
std::optional<ShiftEvidence> readShiftEvidence(std::string_view text);

}
