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
#include <vector>

namespace whinyard::settings {

// The defaults are what docs/DECISIONS.md found best.
struct EntryTuning {
    // A route's smallest model is asked first where it costs less than this share of the largest one.
    double smallFirstBelow = 1;
    // Worth of an answer of the most urgent priority for each thousand generated tokens, those read counting a quarter, in
    // the unit of the models' costs; and its factor for each further priority.
    double worthPerThousandTokens = 1.2;
    double worthByPriority = 0.7;
    std::vector<double> worthOfPriorities; // Of each priority, the last one for all further ones; replaces both of the above.
    double lateWorth = 0.5; // Of a late answer, as a share of one in time.
    // Choices consider that the time of a prompt depends on its size: which model is asked first, and where prompts go that
    // stall others.
    bool modelBySize = false;
    // What others lose when an engine is behind by one objective, as a share of the worth that it makes in the same time.
    double delayShare = 1.6;
    // A prompt's own reading counts in this only as far as the service's engines are busy.
    bool delayByBusyShare = false;
    // An endpoint of the own zone is taken while its expected wait is at most this many times the best one's.
    double zoneFactor = 1;
    // Added to the expected wait at an endpoint of another zone.
    std::chrono::milliseconds zonePenalty { 40 };
    // Added beside it at an endpoint of another region.
    std::chrono::milliseconds regionPenalty { 40 };
    // Of the shared parts of a prompt that an endpoint named by its hash is taken to hold.
    double affinityCachedShare = 0.5;
    // What a token that is read again costs beyond the time of reading it.
    std::chrono::microseconds rereadPenalty { 40 };
    // Endpoints drawn at random beside the others, where not all are compared.
    std::uint32_t randomChoices = 2;
    // Endpoints of a version up to which all are compared.
    std::uint32_t fullScanLimit = 64;
    // Whether the slots of a plain service with fewer of them than there are instances are granted by one instance.
    bool sharePlaces = false;
    // Instances learn the relative speeds of engines together, and weigh prefill times by them.
    bool sharePaces = false;
    // Requests are kept away from engines whose KV cache they would overfill.
    bool accountMemory = false;
    std::string logLevel = "info";
};

// Reads the tuning from text. `file` names it in the reasons. On a fault returns nothing with invalidSettings; the
// reason names file, JSON path, the value found and what is allowed.
std::optional<EntryTuning> parseEntryTuning(std::string_view text, std::string_view file, Failure& failure);

std::optional<EntryTuning> loadEntryTuning(const std::string& file, Failure& failure);

}
