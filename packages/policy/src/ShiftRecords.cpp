#include "whinyard/policy/ShiftRecords.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace whinyard::policy {

namespace {

    using nlohmann::json;

    std::optional<json> parsed(std::string_view text)
    {
        json object = json::parse(text, nullptr, false);
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

    RatedCounts readCounts(const json& counts)
    {
        return { counts.at(0).get<std::uint64_t>(), counts.at(1).get<std::uint64_t>() };
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
    json others = json::array();
    for (std::size_t kind = 0; kind < kindPlaces; ++kind) {
        const KindCounts& counts = evidence.kinds[kind];
        others.push_back(writeCounts(counts.others));
        for (std::size_t place = 0; place < endpointPlaces; ++place) {
            if (counts.target[place].total() > 0)
                targets.push_back({ kind, place, counts.target[place].good, counts.target[place].bad });
        }
    }
    json object = { { "life", evidence.life }, { "elapsedMs", evidence.elapsed.count() }, { "failures", writeCounts(evidence.failures) }, { "slowness", writeCounts(evidence.slowness) }, { "otherFailures", writeCounts(evidence.otherFailures) }, { "targets", std::move(targets) }, { "others", std::move(others) } };
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
        for (const json& counts : object->value("targets", json::array()))
            evidence.kinds.at(counts.at(0).get<std::size_t>()).target.at(counts.at(1).get<std::size_t>()) = { counts.at(2).get<std::uint64_t>(), counts.at(3).get<std::uint64_t>() };
        const json others = object->value("others", json::array());
        for (std::size_t kind = 0; kind < others.size(); ++kind)
            evidence.kinds.at(kind).others = readCounts(others[kind]);
        return evidence;
    } catch (const json::exception&) {
        return std::nullopt;
    } catch (const std::out_of_range&) {
        return std::nullopt; // More kinds than are known here.
    }
}

}
