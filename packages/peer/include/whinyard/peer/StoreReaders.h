// Which instances may read all that a store holds in the same moment, where nobody else answers them.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <cstddef>

namespace whinyard::peer {

// Of all instances together, in the mean, in each window of time. Where what all rely on fails, all find out in the same second, and
// their reads fill the link that would mend it.
inline constexpr std::size_t mostStoreReaders = 8;
inline constexpr std::chrono::milliseconds storeReadWindow { 2'000 };

// Returns whether an instance, one of `instances`, may begin to read now. Each is drawn anew for each window; in a small fleet all may.
bool mayReadStore(const InstanceName& self, std::size_t instances, SteadyTime now);

}
