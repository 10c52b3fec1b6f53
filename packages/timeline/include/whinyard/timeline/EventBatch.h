// Packs events of one incarnation for their way to another instance and for keeping them.
//
// EventStore makes and reads batches; the peer package carries them. A batch is the events' log
// lines, compressed by zlib: docs/TIMELINE.md gives the bytes an event.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::timeline {

// The greatest size of a batch before compression; larger ones are refused when they are read.
inline constexpr std::size_t largestBatchText = 4 * 1024 * 1024;

struct EventBatch {
    InstanceName instance; // Whose events these are.
    Incarnation incarnation;
    std::uint64_t sequence = 0; // Numbers the batches of the incarnation from 1.
    std::uint32_t count = 0; // Events in it.
    std::uint64_t lostBefore = 0; // Events of the incarnation that were dropped before they were packed.
    std::vector<RequestId> requests; // The requests that it has events of, each once, in order.
    std::string data; // The compressed lines.

    bool operator==(const EventBatch&) const = default;
};

// Packs events. The caller fills in instance, incarnation, sequence and lostBefore.
EventBatch packEvents(const std::vector<Event>& events);

// Returns the batch's log lines, each with its end, or nothing with corruptRecord.
std::optional<std::string> unpackText(const EventBatch& batch, Failure& failure);

// Returns the batch's events, or nothing with corruptRecord.
std::optional<std::vector<Event>> unpackEvents(const EventBatch& batch, Failure& failure);

}
