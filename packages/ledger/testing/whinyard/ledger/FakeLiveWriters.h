// A list of living writers that a test sets.
#pragma once

#include "whinyard/ledger/LiveWriters.h"

#include <set>

namespace whinyard::ledger {

class FakeLiveWriters final : public LiveWriters {
public:
    std::set<Writer> alive;

    bool isAlive(const Writer& writer) const override { return alive.contains(writer); }

    bool isReplaced(const Writer& writer) const override
    {
        const auto later = alive.upper_bound(writer);
        return later != alive.end() && later->instance == writer.instance;
    }
};

}
