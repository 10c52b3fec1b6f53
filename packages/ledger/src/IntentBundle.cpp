// Bundles: sealed segments copied into one record, so that a partition is read with few calls.
#include "whinyard/ledger/IntentRecord.h"

#include "internal/Envelope.h"

#include <iterator>
#include <nlohmann/json.hpp>

namespace whinyard::ledger {

namespace {

    constexpr std::string_view bundleFormat = "whinyard-intent-bundle-1";

    Failure corruptBundle(std::uint32_t partition, std::uint64_t number, const std::string& reason)
    {
        return { .kind = ErrorKind::corruptRecord, .reason = bundleKey(partition, number) + ": " + reason };
    }

    // Cuts the segments, whose sizes the first line lists, out of a bundle's body.
    std::optional<std::vector<std::string_view>> splitBundle(std::uint32_t partition, std::uint64_t number, std::string_view body)
    {
        const auto json = nlohmann::json::parse(nextLine(body));
        if (json.at("partition").get<std::uint32_t>() != partition || json.at("number").get<std::uint64_t>() != number)
            return std::nullopt;
        std::vector<std::string_view> segments;
        for (const auto& size : json.at("bytes")) {
            const auto bytes = size.get<std::size_t>();
            if (bytes > body.size())
                return std::nullopt;
            segments.push_back(body.substr(0, bytes));
            body.remove_prefix(bytes);
        }
        if (!body.empty())
            return std::nullopt;
        return segments;
    }

}

std::string encodeBundle(std::uint32_t partition, std::uint64_t number, const std::vector<std::string>& segments)
{
    nlohmann::ordered_json json { { "partition", partition }, { "number", number } };
    json["bytes"] = nlohmann::ordered_json::array();
    std::string rest;
    for (const std::string& segment : segments) {
        json["bytes"].push_back(segment.size());
        rest += segment;
    }
    return wrapRecord(bundleFormat, json.dump() + '\n' + rest);
}

std::optional<std::vector<std::vector<EncodedEntry>>> parseBundle(std::uint32_t partition, std::uint64_t number, std::string_view text, Failure& failure)
{
    const auto body = unwrapRecord(bundleFormat, text, failure);
    if (!body) {
        failure = corruptBundle(partition, number, failure.reason);
        return std::nullopt;
    }
    std::optional<std::vector<std::string_view>> segments;
    try {
        segments = splitBundle(partition, number, *body);
    } catch (const nlohmann::json::exception&) {
        segments.reset();
    }
    if (!segments) {
        failure = corruptBundle(partition, number, "another bundle, or sizes that can't be read");
        return std::nullopt;
    }
    std::vector<std::vector<EncodedEntry>> all;
    for (const std::string_view segment : *segments) {
        auto entries = parseSegment(partition, number + all.size(), segment, failure);
        if (!entries) {
            failure = corruptBundle(partition, number, failure.reason);
            return std::nullopt;
        }
        all.push_back(std::move(*entries));
    }
    return all;
}

std::optional<std::vector<EncodedEntry>> parseWhole(std::uint32_t partition, const SegmentInfo& segment, std::string_view text, Failure& failure)
{
    if (!segment.isBundle())
        return parseSegment(partition, segment.number, text, failure);
    auto all = parseBundle(partition, segment.number, text, failure);
    if (!all)
        return std::nullopt;
    std::vector<EncodedEntry> entries;
    for (auto& part : *all)
        entries.insert(entries.end(), std::make_move_iterator(part.begin()), std::make_move_iterator(part.end()));
    return entries;
}

std::optional<std::vector<EncodedEntry>> parseListed(std::uint32_t partition, const SegmentInfo& record, std::uint64_t number, std::string_view text, Failure& failure)
{
    if (!record.isBundle())
        return parseSegment(partition, number, text, failure);
    auto all = parseBundle(partition, record.number, text, failure);
    if (!all)
        return std::nullopt;
    const std::uint64_t place = number - record.number;
    if (place < all->size())
        return std::move((*all)[place]);
    failure = corruptBundle(partition, record.number, "it doesn't hold segment " + std::to_string(number));
    return std::nullopt;
}

}
