// Makes the bill line of an answer and has it made safe before the answer's last piece leaves.
#pragma once

#include "internal/RequestContext.h"
#include "whinyard/ledger/UsageLine.h"
#include "whinyard/router/ChatRequest.h"

namespace whinyard::router {

// Returns what so many tokens of a version cost, in thousandths of the cost unit.
std::uint64_t tokenUnits(const config::Configuration& configuration, const VersionName& version, const TokenUsage& usage);

// Makes the line of a chat answer.
ledger::UsageLine chatLine(const RequestContext& context, const VersionName& version, const TokenUsage& usage, ledger::UsageEnd end);

// Makes the line of a plain service's call.
ledger::UsageLine serviceLine(const RequestContext& context, const config::Service& service);

// Has a line made safe and records that in the time line. A line that neither peers nor the store
// took in time is kept and tried again by the ledger; the answer doesn't wait for that.
void bill(RequestContext& context, const ledger::UsageLine& line);

}
