#include "whinyard/ledger/UsageLine.h"

#include "internal/LineJson.h"
#include "whinyard/base/Json.h"

#include <algorithm>
#include <array>

namespace whinyard::ledger {

namespace {

    constexpr std::array<std::string_view, 3> endNames { "complete", "cancelled", "cut" };

    UsageLine readLine(const nlohmann::json& json)
    {
        UsageLine line;
        line.identity = json.at("identity").get<std::string>();
        line.customer.value = json.at("customer").get<std::string>();
        line.item = json.at("item").get<std::string>();
        line.promptTokens = json.at("promptTokens").get<std::uint64_t>();
        line.completionTokens = json.at("completionTokens").get<std::uint64_t>();
        line.billedUnits = json.at("billedUnits").get<std::uint64_t>();
        line.innerUnits = json.at("innerUnits").get<std::uint64_t>();
        line.attempts = json.at("attempts").get<std::uint32_t>();
        line.at = { std::chrono::microseconds(json.at("physicalUs").get<std::int64_t>()), json.at("logical").get<std::uint32_t>() };
        return line;
    }

}

std::string_view toText(UsageEnd end)
{
    return endNames[static_cast<std::size_t>(end)];
}

nlohmann::ordered_json lineToJson(const UsageLine& line)
{
    nlohmann::ordered_json json;
    json["identity"] = line.identity;
    json["request"] = toText(line.request);
    json["customer"] = line.customer.value;
    json["item"] = line.item;
    json["end"] = toText(line.end);
    json["promptTokens"] = line.promptTokens;
    json["completionTokens"] = line.completionTokens;
    json["billedUnits"] = line.billedUnits;
    json["innerUnits"] = line.innerUnits;
    json["attempts"] = line.attempts;
    json["physicalUs"] = line.at.physical.count();
    json["logical"] = line.at.logical;
    return json;
}

std::optional<UsageLine> lineFromJson(const nlohmann::json& json)
{
    try {
        const auto request = parseRequestId(json.at("request").get<std::string>());
        const auto end = std::find(endNames.begin(), endNames.end(), json.at("end").get<std::string>());
        if (!request || end == endNames.end())
            return std::nullopt;
        UsageLine line = readLine(json);
        line.request = *request;
        line.end = static_cast<UsageEnd>(end - endNames.begin());
        return line;
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

std::string toJsonLine(const UsageLine& line)
{
    return lineToJson(line).dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<UsageLine> parseUsageLine(std::string_view text)
{
    return lineFromJson(parseUntrustedJson(text));
}

}
