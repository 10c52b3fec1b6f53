// The work of `whinyard replay`: generates traces, replays one against its stated outcomes, or many seeds.
//
// The command line fills the options and prints the text.
#pragma once

#include "whinyard/base/Error.h"

#include <cstdint>
#include <optional>
#include <string>

namespace whinyard::replay {

// Exactly one of `trace`, `generate` and `name` is set.
struct ReplayOptions {
    std::string trace; // Path of a trace to replay. Outcomes stated beside it (x.jsonl: x.outcomes.json) are checked.
    std::string outcomes; // Path of the outcomes, where they don't stand beside the trace.
    std::string generate; // Name of a trace to print.
    std::string name; // Name of a trace to generate and replay with the seeds 1 to `seeds`.
    std::uint64_t seed = 1; // Of the trace to print, or of the chances of the replay.
    std::uint32_t seeds = 20; // With `name`.
};

// Returns the text to print. Fills `failure` with notFound for a file or name that isn't there, malformedRequest for
// a trace or outcomes that can't be read, or options that don't fit; and with invalidConfiguration, the report as its
// reason, where a stated outcome is missed.
std::optional<std::string> runReplay(const ReplayOptions& options, Failure& failure);

}
