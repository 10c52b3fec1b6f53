#include "whinyard/policy/ShiftRecords.h"

#include <nlohmann/json.hpp>

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
    const json object = { { "order", record.order }, { "state", toText(record.state) }, { "elapsedMs", record.elapsed.count() }, { "reason", record.reason } };
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
        return ShiftRecord { object->at("order").get<std::uint64_t>(), *state, std::chrono::milliseconds(object->at("elapsedMs").get<std::int64_t>()), object->value("reason", "") };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string writeShiftEvidence(const ShiftEvidence& evidence)
{
    return json({ { "order", evidence.order }, { "failures", writeCounts(evidence.failures) }, { "slowness", writeCounts(evidence.slowness) }, { "otherFailures", writeCounts(evidence.otherFailures) } }).dump();
}

std::optional<ShiftEvidence> readShiftEvidence(std::string_view text)
{
    const std::optional<json> object = parsed(text);
    if (!object)
        return std::nullopt;
    try {
        return ShiftEvidence { object->at("order").get<std::uint64_t>(), readCounts(object->at("failures")), readCounts(object->at("slowness")), readCounts(object->at("otherFailures")) };
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

}
