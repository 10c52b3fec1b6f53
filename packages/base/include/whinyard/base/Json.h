// Parses JSON of callers, endpoints, other instances and the platform's store.
//
// The library copies a value, and writes it as text, by functions that call themselves for each level of nesting, on fibers whose stacks hold 128 KB. So
// what others write is refused where it is nested more deeply than any document of ours (RFC 8259, 9).
#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace whinyard {

inline constexpr std::size_t deepestJson = 100; // Levels of arrays and objects.

// Returns whether `text`, as far as it is JSON, is nested more deeply than that.
bool isNestedTooDeeply(std::string_view text);

// Returns a discarded value for a text that is no JSON or is nested too deeply.
nlohmann::json parseUntrustedJson(std::string_view text);

}
