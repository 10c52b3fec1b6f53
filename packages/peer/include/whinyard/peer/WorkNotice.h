// What an instance tells the others of the work that it has just given to engines, as one datagram.
//
// Prompts are read by an engine in turn, and its own report of what waits comes too late for the next choice; the
// notices let every instance know the backlog of every engine. They are hints: a lost one makes a choice worse, and
// nothing else rests on them.
#pragma once

#include "whinyard/base/Identity.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::peer {

struct WorkNotice {
    EndpointName endpoint;
    std::chrono::microseconds work { 0 }; // Of reading the prompts that it was given.

    bool operator==(const WorkNotice&) const = default;
};

// More notices don't go into one datagram.
inline constexpr std::size_t mostNotices = 32;

std::string encodeNotices(const std::vector<WorkNotice>& notices);

// Returns nothing for bytes that encodeNotices() would not write.
std::optional<std::vector<WorkNotice>> decodeNotices(std::string_view bytes);

}
