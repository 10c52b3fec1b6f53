// When an instance writes the shared record of a version shift, to which all instances come at about the same time, and when it reads
// the one that stands first.
//
// The daemon asks before each write and tells how it ended. Pure: no I/O, no clock of its own.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/base/Random.h"
#include "whinyard/policy/VersionShift.h"

#include <cstdint>
#include <map>
#include <set>

namespace whinyard::policy {

class ShiftWrites {
public:
    explicit ShiftWrites(Random random);

    // Begins a turn: what is due is asked for from now on.
    void beginTurn() { m_known.clear(); }

    // Returns whether a record that is due may be written now. One write is enough: each instance waits for a time of its own, and the
    // first tells the others.
    bool isTime(const ServiceName& service, ShiftState state, SteadyTime now);

    // Nothing is due any more.
    void drop(const ServiceName& service);

    void noteWritten(const ServiceName& service);

    // Notes a write that was refused, or whose answer is missing. Whoever has written the record that stands may never tell: it knows
    // nothing of a write without an answer, or has ended.
    void noteFailed(const ServiceName& service, ErrorKind kind);

    // Notes that a newer record is known: what was due in this turn was due without it.
    void noteKnown(const ServiceName& service);

    // Returns whether the records are to be read at once, before the next write can succeed.
    bool mustRead() const;

    // Notes that they were read. Returns whether the others are to be told what of it is new here.
    bool noteRead();

private:
    struct Planned {
        ShiftState state = ShiftState::running;
        SteadyTime at;
    };

    Random m_random;
    std::map<ServiceName, Planned> m_planned;
    std::set<ServiceName> m_known; // Services whose record was learnt in this turn.
    std::map<ServiceName, std::uint32_t> m_failures; // Writes that met another record than the one that is known.
};

}
