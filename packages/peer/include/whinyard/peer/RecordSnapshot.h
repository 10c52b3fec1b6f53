// The operators' records as one instance hands them to another.
//
// An instance that follows the store answers others with it, so that they need no read of the store; the one that asked
// takes it in as it would the store's answer.
#pragma once

#include "whinyard/backing/KeyValueStore.h"
#include "whinyard/base/Error.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::peer {

// A record that is in force, or out of force, against what the store holds since it came back from an older copy.
struct CarriedRecord {
    std::string key;
    std::optional<backing::Record> copied; // The store's; nothing where it holds none.
    std::chrono::milliseconds left { 0 }; // For the operators to write it again.

    bool operator==(const CarriedRecord&) const = default;
};

struct RecordSnapshot {
    Revision revision {}; // Of the newest change that it holds.
    std::vector<backing::Record> records; // All that are in force.
    std::vector<CarriedRecord> carried {};
    std::map<std::string, Revision> storedAs {}; // The store's revisions of the records that were written again, by key.
};

// Returns the snapshot compressed: a configuration of a thousand routes takes a twentieth of its size.
std::string encodeSnapshot(const RecordSnapshot& snapshot);

// Fails with corruptRecord for bytes that encodeSnapshot() would not write.
std::optional<RecordSnapshot> decodeSnapshot(std::string_view bytes, Failure& failure);

}
