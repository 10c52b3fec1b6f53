// A call to the key-value service as a value, so that a state machine can ask for it without doing
// input or output.
//
// The state machines of this package return StoreCalls; their drivers and the tests carry them out.
#pragma once

#include "whinyard/backing/KeyValueStore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace whinyard::ledger {

enum class StoreCallKind : std::uint8_t {
    read,
    swap,
    erase,
};

struct StoreCall {
    std::uint64_t number = 0; // Rises with each call of one state machine.
    StoreCallKind kind = StoreCallKind::read;
    std::string key;
    std::string value; // Only for swap.
    backing::Revision expected = 0; // For swap and erase.
};

// What came of a call. `failure` stands for all that is not a success.
struct StoreReply {
    std::optional<backing::Record> record; // Of a read that succeeded.
    backing::Revision revision = 0; // Of a swap that succeeded.
    std::optional<Failure> failure;

    bool failedWith(ErrorKind kind) const { return failure && failure->kind == kind; }
};

// Carries out `call`; suspends the fiber as the store does.
StoreReply execute(backing::KeyValueStore& store, const StoreCall& call);

}
