#include "whinyard/ledger/IntentRecord.h"

#include "internal/Envelope.h"
#include "internal/LineJson.h"
#include "whinyard/base/Encoding.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace whinyard::ledger {

using Json = nlohmann::ordered_json;

namespace {

    constexpr std::string_view headFormat = "whinyard-intents-1";
    constexpr std::string_view segmentFormat = "whinyard-intent-segment-1";
    constexpr std::array<std::string_view, 3> erasureNames { "droppedSegment", "droppedBundle", "copiedSegment" };
    constexpr std::array<std::string_view, 4> kindNames { "intent", "finished", "released", "unknown" };

    std::string digestText(const ShortDigest& digest)
    {
        return toText(RequestId { digest.high, digest.low });
    }

    std::optional<ShortDigest> parseDigest(const std::string& text)
    {
        const auto id = parseRequestId(text);
        if (!id)
            return std::nullopt;
        return ShortDigest { id->origin, id->sequence };
    }

    // The body is text where it is valid UTF-8, which JSON demands, and base64 otherwise.
    Json answerToJson(const IntentEntry& entry)
    {
        Json json;
        json["status"] = entry.answer.status;
        json["type"] = entry.answer.contentType;
        if (entry.parts.count) {
            json["parts"] = entry.parts.count;
            json["sha256"] = entry.parts.digest;
            return json;
        }
        try {
            static_cast<void>(Json(entry.answer.body).dump());
            json["body"] = entry.answer.body;
        } catch (const Json::exception&) {
            json["base64"] = encodeBase64(entry.answer.body);
        }
        return json;
    }

    bool readAnswer(const nlohmann::json& json, IntentEntry& entry)
    {
        entry.answer.status = json.at("status").get<int>();
        entry.answer.contentType = json.at("type").get<std::string>();
        if (json.contains("parts")) {
            entry.parts = { json.at("parts").get<std::uint32_t>(), json.at("sha256").get<std::string>() };
            return entry.parts.count > 0;
        }
        if (json.contains("base64")) {
            auto body = decodeBase64(json.at("base64").get<std::string>());
            if (!body)
                return false;
            entry.answer.body = std::move(*body);
            return true;
        }
        entry.answer.body = json.at("body").get<std::string>();
        return true;
    }

    Json writerToJson(const Writer& writer)
    {
        return { { "instance", writer.instance.value }, { "incarnation", writer.incarnation.number } };
    }

    Writer readWriter(const nlohmann::json& json)
    {
        return { InstanceName { json.at("instance").get<std::string>() }, Incarnation { json.at("incarnation").get<std::uint64_t>() } };
    }

    Json entryToJson(const IntentEntry& entry)
    {
        Json json;
        json["kind"] = kindNames[static_cast<std::size_t>(entry.kind)];
        json["key"] = digestText(entry.key);
        json["body"] = digestText(entry.body);
        json["request"] = toText(entry.request);
        json["writer"] = writerToJson(entry.writer);
        json["sequence"] = entry.sequence;
        json["atUs"] = entry.at.count();
        if (entry.kind == EntryKind::finished)
            json["answer"] = answerToJson(entry);
        if (entry.usage)
            json["usage"] = lineToJson(*entry.usage);
        return json;
    }

    std::optional<IntentEntry> readEntry(const nlohmann::json& json)
    {
        const auto kind = std::find(kindNames.begin(), kindNames.end(), json.at("kind").get<std::string>());
        const auto key = parseDigest(json.at("key").get<std::string>());
        const auto body = parseDigest(json.at("body").get<std::string>());
        const auto request = parseRequestId(json.at("request").get<std::string>());
        if (kind == kindNames.end() || !key || !body || !request)
            return std::nullopt;
        IntentEntry entry;
        entry.kind = static_cast<EntryKind>(kind - kindNames.begin());
        entry.key = *key;
        entry.body = *body;
        entry.request = *request;
        entry.writer = readWriter(json.at("writer"));
        entry.sequence = json.at("sequence").get<std::uint64_t>();
        entry.at = std::chrono::microseconds(json.at("atUs").get<std::int64_t>());
        if (entry.kind == EntryKind::finished && !readAnswer(json.at("answer"), entry))
            return std::nullopt;
        if (json.contains("usage")) {
            entry.usage = lineFromJson(json.at("usage"));
            if (!entry.usage)
                return std::nullopt;
        }
        return entry;
    }

    bool readEntries(std::string_view text, std::uint64_t count, std::vector<EncodedEntry>& entries)
    {
        while (!text.empty()) {
            const std::string_view line = nextLine(text);
            auto entry = readEntry(nlohmann::json::parse(line));
            if (!entry)
                return false;
            entries.push_back({ std::move(*entry), std::string(line) + '\n' });
        }
        return entries.size() == count;
    }

    Failure corrupt(const std::string& key, const std::string& reason)
    {
        return { .kind = ErrorKind::corruptRecord, .reason = key + ": " + reason };
    }

    void appendEntries(std::string& text, const std::vector<EncodedEntry>& entries, std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i)
            text += entries[i].text;
    }

    // A short array, since a head may list hundreds of records and is written with each swap.
    SegmentInfo readSegmentInfo(const nlohmann::json& json)
    {
        SegmentInfo info;
        info.number = json.at(0).get<std::uint64_t>();
        info.count = json.at(1).get<std::uint64_t>();
        info.entries = json.at(2).get<std::uint64_t>();
        info.newest = std::chrono::microseconds(json.at(3).get<std::int64_t>());
        info.bytes = json.at(4).get<std::uint64_t>();
        return info;
    }

    Json segmentInfoToJson(const SegmentInfo& info)
    {
        return Json::array({ info.number, info.count, info.entries, info.newest.count(), info.bytes });
    }

    bool readErasures(const nlohmann::json& json, std::vector<Erasure>& erasures)
    {
        for (const auto& item : json) {
            const auto kind = std::find(erasureNames.begin(), erasureNames.end(), item.at("kind").get<std::string>());
            if (kind == erasureNames.end())
                return false;
            erasures.push_back({ static_cast<ErasureKind>(kind - erasureNames.begin()), item.at("number").get<std::uint64_t>() });
        }
        return true;
    }

    std::optional<IntentHead> readHead(std::uint32_t partition, std::string_view body)
    {
        const auto json = nlohmann::json::parse(nextLine(body));
        IntentHead head;
        head.partition = json.at("partition").get<std::uint32_t>();
        head.writer = readWriter(json.at("writer"));
        head.swap = json.at("swap").get<std::uint64_t>();
        head.nextSegment = json.at("nextSegment").get<std::uint64_t>();
        if (!readErasures(json.at("erasing"), head.erasing))
            return std::nullopt;
        for (const auto& segment : json.at("segments"))
            head.segments.push_back(readSegmentInfo(segment));
        if (head.partition != partition || !readEntries(body, json.at("entries").get<std::uint64_t>(), head.entries))
            return std::nullopt;
        return head;
    }

}

ShortDigest shortDigest(std::string_view bytes)
{
    return *parseDigest(sha256Hex(bytes).substr(0, 32));
}

ShortDigest keyDigest(const CallIdentity& call)
{
    // Lengths keep "ab" + "c" apart from "a" + "bc".
    std::string text;
    for (const std::string* part : { &call.customer.value, &call.service.value, &call.key }) {
        text += std::to_string(part->size());
        text += ':';
        text += *part;
    }
    return shortDigest(text);
}

std::uint32_t partitionOf(const ShortDigest& key, std::uint32_t partitions)
{
    return static_cast<std::uint32_t>(key.high % partitions);
}

bool belongsTo(const IntentEntry& outcome, const IntentEntry& intent)
{
    return outcome.key == intent.key && outcome.writer == intent.writer && outcome.sequence == intent.sequence;
}

EncodedEntry encode(IntentEntry entry)
{
    std::string text = entryToJson(entry).dump(-1, ' ', false, Json::error_handler_t::replace);
    text += '\n';
    return { std::move(entry), std::move(text) };
}

std::string headKey(std::uint32_t partition)
{
    return "intents/" + std::to_string(partition);
}

std::string segmentKey(std::uint32_t partition, std::uint64_t number)
{
    return headKey(partition) + "/segment/" + std::to_string(number);
}

std::string bundleKey(std::uint32_t partition, std::uint64_t number)
{
    return headKey(partition) + "/bundle/" + std::to_string(number);
}

std::string recordKeyOf(std::uint32_t partition, const SegmentInfo& segment)
{
    return segment.isBundle() ? bundleKey(partition, segment.number) : segmentKey(partition, segment.number);
}

std::string erasureKey(std::uint32_t partition, const Erasure& erasure)
{
    return erasure.kind == ErasureKind::droppedBundle ? bundleKey(partition, erasure.number) : segmentKey(partition, erasure.number);
}

std::string answerKey(std::uint32_t partition, const IntentEntry& entry, std::uint32_t part)
{
    return headKey(partition) + "/answer/" + entry.writer.instance.value + "/" + std::to_string(entry.writer.incarnation.number) + "/"
        + std::to_string(entry.sequence) + "/" + std::to_string(part);
}

std::string sealedUsageKey(std::uint32_t partition, std::uint64_t number)
{
    return "usage/sealed/" + std::to_string(partition) + "/" + std::to_string(number);
}

std::string encodeHead(const IntentHead& head)
{
    Json json;
    json["partition"] = head.partition;
    json["writer"] = writerToJson(head.writer);
    json["swap"] = head.swap;
    json["nextSegment"] = head.nextSegment;
    json["segments"] = Json::array();
    for (const SegmentInfo& segment : head.segments)
        json["segments"].push_back(segmentInfoToJson(segment));
    json["erasing"] = Json::array();
    for (const Erasure& erasure : head.erasing)
        json["erasing"].push_back({ { "kind", erasureNames[static_cast<std::size_t>(erasure.kind)] }, { "number", erasure.number } });
    json["entries"] = head.entries.size();
    std::string body = json.dump();
    body += '\n';
    appendEntries(body, head.entries, head.entries.size());
    return wrapRecord(headFormat, body);
}

std::optional<IntentHead> parseHead(std::uint32_t partition, std::string_view text, Failure& failure)
{
    const auto body = unwrapRecord(headFormat, text, failure);
    if (!body) {
        failure = corrupt(headKey(partition), failure.reason);
        return std::nullopt;
    }
    try {
        if (auto head = readHead(partition, *body))
            return head;
        failure = corrupt(headKey(partition), "the head of another partition, or an entry that can't be read");
    } catch (const nlohmann::json::exception& error) {
        failure = corrupt(headKey(partition), error.what());
    }
    return std::nullopt;
}

std::string encodeSegment(std::uint32_t partition, std::uint64_t number, const std::vector<EncodedEntry>& entries, std::size_t count)
{
    std::string body = Json({ { "partition", partition }, { "number", number }, { "entries", count } }).dump();
    body += '\n';
    appendEntries(body, entries, count);
    return wrapRecord(segmentFormat, body);
}

std::optional<std::vector<EncodedEntry>> parseSegment(std::uint32_t partition, std::uint64_t number, std::string_view text, Failure& failure)
{
    auto body = unwrapRecord(segmentFormat, text, failure);
    if (!body) {
        failure = corrupt(segmentKey(partition, number), failure.reason);
        return std::nullopt;
    }
    try {
        const auto json = nlohmann::json::parse(nextLine(*body));
        std::vector<EncodedEntry> entries;
        if (json.at("partition").get<std::uint32_t>() == partition && json.at("number").get<std::uint64_t>() == number && readEntries(*body, json.at("entries").get<std::uint64_t>(), entries))
            return entries;
        failure = corrupt(segmentKey(partition, number), "another segment, or an entry that can't be read");
    } catch (const nlohmann::json::exception& error) {
        failure = corrupt(segmentKey(partition, number), error.what());
    }
    return std::nullopt;
}

}
