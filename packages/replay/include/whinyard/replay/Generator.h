// Makes traces from a name and a seed: the same text on every machine.
//
// `whinyard replay --generate` writes them to files; the replay over many seeds makes them in memory.
#pragma once

#include "whinyard/replay/Trace.h"

namespace whinyard::replay {

// The names that generateTrace() knows:
// * praxeo-opening-day: a new version of the strong model takes a tenth of new sessions and turns bad.
// * tatra-morning-rush: demand doubles, a zone is lost in it, a large customer sends thrice its limit.
// * interrupted-rollout: a roll-out of a version that is bad from the start, with the store down soon after.
std::vector<std::string> traceNames();

// Makes a trace. Fills `failure` with notFound for an unknown name.
std::optional<Trace> generateTrace(std::string_view name, std::uint64_t seed, Failure& failure);

}
