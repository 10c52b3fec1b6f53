#include "whinyard/policy/RatingCounts.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

namespace whinyard::policy {

namespace {

    using nlohmann::json;

    constexpr std::uint32_t format = 1;
    constexpr std::size_t frameBytes = 8; // The most that the outer lists and the format take.

    std::uint64_t total(const RatingBins& bins) { return std::accumulate(bins.begin(), bins.end(), std::uint64_t { 0 }); }

    std::string packList(json list)
    {
        std::string bytes;
        json::to_msgpack(json::array({ format, std::move(list) }), bytes);
        return bytes;
    }

    std::optional<RatingBins> unpackBins(const json& row)
    {
        RatingBins bins {};
        if (!row.is_array() || row.size() != bins.size())
            return std::nullopt;
        for (std::size_t bin = 0; bin < bins.size(); ++bin) {
            if (!row[bin].is_number_unsigned())
                return std::nullopt;
            bins[bin] = row[bin].get<std::uint64_t>();
        }
        return bins;
    }

}

std::size_t ratingBin(double score)
{
    const auto bin = static_cast<std::size_t>(std::clamp(score, 0.0, 1.0) * ratingBins);
    return std::min(bin, ratingBins - 1);
}

std::vector<std::string> packRatingCounts(const RatingCounts& counts, std::size_t maximumBytes, std::size_t maximumParts)
{
    std::vector<const RatingCounts::value_type*> entries;
    for (const auto& entry : counts)
        entries.push_back(&entry);
    std::stable_sort(entries.begin(), entries.end(), [](const auto* a, const auto* b) { return total(a->second) > total(b->second); });
    std::vector<std::string> parts;
    json list = json::array();
    std::size_t size = frameBytes;
    for (const auto* entry : entries) {
        json row = json::array({ entry->first.application, entry->first.version.value, entry->second });
        const std::size_t rowSize = json::to_msgpack(row).size();
        if (frameBytes + rowSize > maximumBytes)
            continue;
        if (size + rowSize > maximumBytes) {
            parts.push_back(packList(std::exchange(list, json::array())));
            size = frameBytes;
        }
        if (parts.size() == maximumParts)
            return parts;
        size += rowSize;
        list.push_back(std::move(row));
    }
    if (!list.empty())
        parts.push_back(packList(std::move(list)));
    return parts;
}

std::optional<RatingCounts> unpackRatingCounts(std::string_view bytes)
{
    const json packed = json::from_msgpack(bytes.begin(), bytes.end(), true, false);
    if (!packed.is_array() || packed.size() != 2 || packed[0] != format || !packed[1].is_array())
        return std::nullopt;
    RatingCounts counts;
    for (const json& row : packed[1]) {
        if (!row.is_array() || row.size() != 3 || !row[0].is_string() || !row[1].is_string())
            return std::nullopt;
        const auto bins = unpackBins(row[2]);
        if (!bins)
            return std::nullopt;
        counts[{ row[0].get<std::string>(), { row[1].get<std::string>() } }] = *bins;
    }
    return counts;
}

}
