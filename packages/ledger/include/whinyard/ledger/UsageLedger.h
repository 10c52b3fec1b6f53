// Keeps bill lines so that each is counted exactly once, also after a kill.
//
// The router records a line before the last piece of an answer leaves. The line is then either
// held by two peers in other availability zones or durable in the key-value service.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/ledger/UsageLine.h"

#include <string>

namespace whinyard::ledger {

class UsageLedger {
public:
    virtual ~UsageLedger() = default;

    // Makes a line safe and returns how ("mirrored to a, b" or "segment K"). Returns nothing when
    // neither peers nor the store could take it in time; the line is kept and tried again.
    virtual std::optional<std::string> record(const UsageLine& line, Failure& failure) = 0;
};

}
