// What all duties of an entry daemon share. Everything in it may be used from any thread.
#pragma once

#include "entry/RoutingKeeper.h"
#include "whinyard/base/Clock.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/settings/EntrySettings.h"

#include <atomic>

namespace whinyard::daemon {

struct EntryShared {
    explicit EntryShared(const settings::EntrySettings& entrySettings)
        : settings(entrySettings)
    {
    }

    const settings::EntrySettings settings;
    const SystemClock clock;
    Metrics metrics;
    RoutingKeeper routing;
    std::atomic<bool> endpointsKnown = false;
    std::atomic<bool> draining = false;
    std::atomic<bool> stopping = false; // Ends the loops of all duties.
};

}
