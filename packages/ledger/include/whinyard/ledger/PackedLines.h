// Packs the bill lines of one message to a holder: what a line repeats is left out, the rest is compressed.
//
// PeerMirrorChannel packs what it sends, the daemon's handler of MirrorUsage unpacks it. The
// form is a part of the protocol between instances: another one needs another protocol version.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/ledger/MirrorChannel.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::ledger {

// Packs lines in their order. Any text comes back byte for byte; one that toJsonLine() wrote takes the least room.
std::string packLines(const std::vector<NumberedLine>& lines);

// Returns the lines, or nothing with corruptRecord.
std::optional<std::vector<NumberedLine>> unpackLines(std::string_view packed, Failure& failure);

}
