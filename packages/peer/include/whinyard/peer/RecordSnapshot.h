// The operators' records as one instance hands them to another.
//
// An instance that follows the store answers others with it, so that they need no read of the store; the one that asked
// takes it in as it would the store's answer.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/base/Error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::peer {

struct RecordSnapshot {
    std::uint64_t revision = 0; // Of the newest change that it holds.
    std::vector<backing::Record> records; // All that there are.
};

// Returns the snapshot compressed: a configuration of a thousand routes takes a twentieth of its size.
std::string encodeSnapshot(const RecordSnapshot& snapshot);

// Fails with corruptRecord for bytes that encodeSnapshot() would not write.
std::optional<RecordSnapshot> decodeSnapshot(std::string_view bytes, Failure& failure);

}
