// Who wrote an entry of a record, and whether that process lives.
//
// The records carry the writer; the membership of the instances implements LiveWriters.
#pragma once

#include "whinyard/base/Identity.h"

#include <compare>

namespace whinyard::ledger {

// One life of an instance, as it signs what it writes.
struct Writer {
    InstanceName instance;
    Incarnation incarnation;

    auto operator<=>(const Writer&) const = default;
};

// Tells "running" from "unknown" and a late peer from a dead one. Nothing that must hold rests on
// it: a wrong answer changes only how a call without outcome is described, or makes a double that a
// reader counts once.
class LiveWriters {
public:
    virtual ~LiveWriters() = default;

    // Returns whether this very incarnation is known to be alive.
    virtual bool isAlive(const Writer& writer) const = 0;

    // Returns whether a later life of its instance is known, so that this one has certainly ended.
    virtual bool isReplaced(const Writer& writer) const = 0;
};

}
