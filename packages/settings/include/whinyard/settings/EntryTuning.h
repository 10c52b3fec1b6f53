// The project's own settings of an entry daemon, beside those that a site hands out: the numbers of its decisions.
//
// Read once at start from a JSON file with comments; every number has a default, so the file may be absent or short.
#pragma once

#include "whinyard/base/Error.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::settings {

struct EntryTuning {
    // A route's smallest model is asked first where it costs less than this share of the largest one.
    double smallFirstBelow = 0.5;
    // Confidence, 0 to 100, from which a smaller model's answer is shown.
    std::uint32_t acceptFrom = 50;
    // Load on engines, in running and waiting requests for each slot, for which a zone's own endpoints are preferred.
    double zoneFactor = 1.5;
    std::chrono::milliseconds zonePenalty { 2 }; // Added to the wait at an endpoint of another zone.
    double affinityCachedShare = 0.5;
    std::chrono::microseconds rereadPenalty { 20 }; // A token that another engine holds, beyond the time of reading it.
    std::uint32_t randomChoices = 2;
    std::uint32_t fullScanLimit = 64; // Endpoints up to which all are compared.
    std::string logLevel = "info";
};

// Reads the tuning from text. `file` names it in the reasons. On a fault returns nothing with invalidSettings; the
// reason names file, JSON path, the value found and what is allowed.
std::optional<EntryTuning> parseEntryTuning(std::string_view text, std::string_view file, Failure& failure);

std::optional<EntryTuning> loadEntryTuning(const std::string& file, Failure& failure);

}
