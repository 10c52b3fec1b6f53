// Digests of a prompt's beginning, as engines report them for the prefixes that they cache.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace whinyard::router {

// Returns the chain of digests of the prompt's blocks of 64 bytes, each seeded with the one before it; a
// shorter rest is left out, and so is what lies beyond the first 256 blocks.
std::vector<std::uint64_t> promptPrefix(std::string_view prompt);

}
