#include "whinyard/policy/ShiftRecords.h"

#include "whinyard/base/Json.h"

#include <utility>

namespace whinyard::policy {

namespace {

    using nlohmann::json;

    std::optional<json> parsed(std::string_view text)
    {
        json object = parseUntrustedJson(text);
        return object.is_object() ? std::optional(std::move(object)) : std::nullopt;
    }

    std::optional<ShiftState> stateNamed(std::string_view name)
    {
        for (const ShiftState state : { ShiftState::running, ShiftState::completed, ShiftState::rolledBack }) {
            if (toText(state) == name)
                return state;
        }
        return std::nullopt;
    }

    // The era stands beside the number, where there is one.
    void writeOrder(json& object, const Revision& order)
    {
        object["order"] = order.number;
        if (order.era > 0)
            object["orderEra"] = order.era;
    }

    Revision readOrder(const json& object)
    {
        return { object.value("orderEra", std::uint64_t { 0 }), object.at("order").get<std::uint64_t>() };
    }

    json writeCounts(const RatedCounts& counts)
    {
        return { counts.good, counts.bad };
    }

    // Appends counts of failures and of slow answers.
    void appendCounts(json& row, const RatedCounts& failures, const RatedCounts& slowness)
    {
        for (const std::uint64_t count : { failures.good, failures.bad, slowness.good, slowness.bad })
            row.push_back(count);
    }

    // Reads such counts from that column on.
    void readCounts(const json& row, std::size_t column, RatedCounts& failures, RatedCounts& slowness)
    {
        failures = { row.at(column).get<std::uint64_t>(), row.at(column + 1).get<std::uint64_t>() };
        slowness = { row.at(column + 2).get<std::uint64_t>(), row.at(column + 3).get<std::uint64_t>() };
    }

    // Returns the counts of the kind that a row begins with; null where there can't be such a kind, or no further one.
    KindCounts* toldKind(ShiftEvidence& evidence, const json& row)
    {
        const auto place = row.at(0).get<std::size_t>();
        if (place >= kindPlaces || (!evidence.kinds.contains(place) && evidence.kinds.size() >= maximumKinds))
            return nullptr;
        return &evidence.kinds[place];
    }

    RatedCounts readCounts(const json& counts)
    {
        return { counts.at(0).get<std::uint64_t>(), counts.at(1).get<std::uint64_t>() };
    }

    json writeEnds(const CountsByPlace& ends)
    {
        json rows = json::array();
        for (const auto& [place, counts] : ends)
            rows.push_back({ place, counts.bad });
        return rows;
    }

    CountsByPlace readEnds(const json& rows)
    {
        CountsByPlace ends;
        for (const json& row : rows) {
            if (ends.size() < maximumEndpoints)
                ends[row.at(0).get<std::size_t>()].bad = row.at(1).get<std::uint64_t>();
        }
        return ends;
    }

}

std::string writeShiftRecord(const ShiftRecord& record)
{
    json object = { { "state", toText(record.state) }, { "elapsedMs", record.elapsed.count() }, { "reason", record.reason } };
    writeOrder(object, record.order);
    if (record.moveAt)
        object["moveAtMs"] = record.moveAt->count();
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<ShiftRecord> readShiftRecord(std::string_view text)
{
    const std::optional<json> object = parsed(text);
    if (!object)
        return std::nullopt;
    try {
        const std::optional<ShiftState> state = stateNamed(object->at("state").get<std::string>());
        if (!state)
            return std::nullopt;
        ShiftRecord record { readOrder(*object), *state, std::chrono::milliseconds(object->at("elapsedMs").get<std::int64_t>()), object->value("reason", ""), std::nullopt };
        if (object->contains("moveAtMs"))
            record.moveAt = std::chrono::milliseconds(object->at("moveAtMs").get<std::int64_t>());
        return record;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string writeShiftEvidence(const ShiftEvidence& evidence)
{
    json targets = json::array(); // Of kind and endpoint; most places are empty.
    json others = json::array(); // Of kind.
    for (const auto& [kind, counts] : evidence.kinds) {
        json& row = others.emplace_back(json::array({ kind }));
        appendCounts(row, counts.others, counts.slowOthers);
        for (const LogSum& sum : { counts.times, counts.pauses })
            row.insert(row.end(), { sum.count, sum.thousandths });
        for (const auto& [place, failures] : counts.target)
            appendCounts(targets.emplace_back(json::array({ kind, place })), failures, counts.slowTarget.at(place));
    }
    json object = { { "life", evidence.life }, { "elapsedMs", evidence.elapsed.count() }, { "failures", writeCounts(evidence.failures) }, { "slowness", writeCounts(evidence.slowness) }, { "otherFailures", writeCounts(evidence.otherFailures) }, { "byEndpoint", std::move(targets) }, { "byKind", std::move(others) }, { "ends", { writeEnds(evidence.ends.target), writeEnds(evidence.ends.others) } } };
    writeOrder(object, evidence.order);
    return object.dump();
}

std::optional<ShiftEvidence> readShiftEvidence(std::string_view text)
{
    const std::optional<json> object = parsed(text);
    if (!object)
        return std::nullopt;
    try {
        ShiftEvidence evidence { readOrder(*object), readCounts(object->at("failures")), readCounts(object->at("slowness")), readCounts(object->at("otherFailures")) };
        evidence.life = object->value("life", std::uint64_t { 0 });
        evidence.elapsed = std::chrono::milliseconds(object->value("elapsedMs", std::int64_t { 0 }));
        for (const json& row : object->value("byEndpoint", json::array())) {
            const auto place = row.at(1).get<std::size_t>();
            KindCounts* kind = toldKind(evidence, row);
            if (!kind || place >= endpointPlaces)
                return std::nullopt;
            RatedCounts slowness;
            readCounts(row, 2, kind->target[place], slowness);
            if (slowness.total() > 0)
                kind->slowTarget[place] = slowness;
        }
        for (const json& row : object->value("byKind", json::array())) {
            KindCounts* kind = toldKind(evidence, row);
            if (!kind)
                return std::nullopt;
            readCounts(row, 1, kind->others, kind->slowOthers);
            kind->times = { row.at(5).get<std::uint64_t>(), row.at(6).get<std::int64_t>() };
            kind->pauses = { row.at(7).get<std::uint64_t>(), row.at(8).get<std::int64_t>() };
        }
        if (const auto ends = object->find("ends"); ends != object->end()) {
            evidence.ends.target = readEnds(ends->at(0));
            evidence.ends.others = readEnds(ends->at(1));
        }
        return evidence;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
