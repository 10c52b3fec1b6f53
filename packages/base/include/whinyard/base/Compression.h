// Compression of text by zlib (RFC 1950), with an optional dictionary for short texts of known shape.
//
// The time line's batches and the bill lines between instances use it.
#pragma once

#include "whinyard/base/Error.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard {

// Compresses `text`. What the dictionary and the text share takes next to no room; the reader needs
// the same dictionary, byte for byte.
std::string compress(std::string_view text, std::string_view dictionary = {});

// Returns the text, or nothing with corruptRecord when the data is cut, foreign, made with another
// dictionary, or larger than `limit`.
std::optional<std::string> decompress(std::string_view data, std::size_t limit, Failure& failure, std::string_view dictionary = {});

}
