// Packs the demand reports of CustomerLimits small enough for one gossip entry.
//
// The daemon publishes the bytes under one topic and reads those of the other instances.
#pragma once

#include "whinyard/policy/CustomerLimits.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace whinyard::policy {

// One life of an instance that an acknowledgement may name.
struct DemandPeer {
    InstanceName instance;
    Incarnation incarnation;
};

// Packs a report as one flat MessagePack array: the sequence, the number of demands, four numbers for each
// demand, two for each acknowledgement. All demands are kept: without one of them the report would say that
// there is none. Acknowledgements that don't fit `maximumBytes` are left out, beginning after `firstAck`
// others, so that a caller who raises it with each report tells them all in turn. Returns nothing
// when the demands alone don't fit.
std::optional<std::string> packDemandReport(const DemandReport& report, std::size_t maximumBytes, std::size_t firstAck);

// Reads what packDemandReport() wrote in the life `sender`. Acknowledgements of lives that aren't among
// `peers` are dropped. Returns nothing for any other bytes.
std::optional<DemandReport> unpackDemandReport(std::string_view bytes, Incarnation sender, std::span<const DemandPeer> peers);

}
