// How often answers were rated how well, by application and version: grow-only counts that instances tell each other.
//
// CascadePlanner keeps its own and learns from what is new in those of others.
#pragma once

#include "whinyard/base/Identity.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace whinyard::policy {

// Ratings from 0 to 1 are counted in this many equal parts.
inline constexpr std::size_t ratingBins = 20;

// Returns the part that a rating falls into.
std::size_t ratingBin(double score);

// Whose answers were rated.
struct RatingKey {
    std::string application;
    VersionName version;

    auto operator<=>(const RatingKey&) const = default;
};

using RatingBins = std::array<std::uint64_t, ratingBins>;

using RatingCounts = std::map<RatingKey, RatingBins>;

// Packs counts as MessagePack, [format, [[application, version, [count, ...]], ...]], in parts of at most `maximumBytes`
// that can each be read alone. Those with the most ratings come first; what doesn't fit `maximumParts` is left out.
std::vector<std::string> packRatingCounts(const RatingCounts& counts, std::size_t maximumBytes, std::size_t maximumParts);

// Reads a part that packRatingCounts() wrote; returns nothing for any other bytes.
std::optional<RatingCounts> unpackRatingCounts(std::string_view bytes);

}
