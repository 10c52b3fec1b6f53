// One line of the bill: what a customer pays for one request.
//
// The router makes it, the usage ledger keeps it, the command line and the administration API add up the lines.
#pragma once

#include "whinyard/base/HybridTime.h"
#include "whinyard/base/Identity.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::ledger {

// How the request that is billed ended.
enum class UsageEnd : std::uint8_t {
    complete, // The whole answer was handed over, or is durable in a record.
    cancelled, // The caller went away; what was delivered until then is billed.
    cut, // The answer ended in an error event; nothing is billed, the cost is shown.
};

// A line. Lines with the same identity are the same line; a reader counts it once.
struct UsageLine {
    // The identity of the request that was dispatched, in its text form. For a keyed call it is the request whose
    // intent was granted, never the key: a key may be used anew after the retention, and that call is billed too.
    std::string identity;
    RequestId request;
    CustomerName customer;
    std::string item; // The version or plain service that answered.
    UsageEnd end = UsageEnd::complete;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
    std::uint64_t billedUnits = 0; // In thousandths of the configured cost unit.
    std::uint64_t innerUnits = 0; // Cost of all attempts, shown apart and never billed.
    std::uint32_t attempts = 0;
    HybridTime at;

    bool operator==(const UsageLine&) const = default;
};

// Returns the name of `end` as it stands in records and bills.
std::string_view toText(UsageEnd end);

// Writes a line as one line of JSON and reads it back.
std::string toJsonLine(const UsageLine& line);
std::optional<UsageLine> parseUsageLine(std::string_view text);

}
