#include "whinyard/admin/TraceReport.h"

#include <nlohmann/json.hpp>

namespace whinyard::admin {

namespace {

    using nlohmann::json;

    TraceLine readLine(const json& entry)
    {
        TraceLine line;
        line.isGap = entry.at("gap").get<bool>();
        line.text = entry.at("text").get<std::string>();
        if (entry.contains("event")) {
            line.event = parseEvent(entry.at("event").dump()).value_or(Event());
            return line;
        }
        line.event.at = { std::chrono::microseconds(entry.at("atUs").get<std::int64_t>()), entry.at("logical").get<std::uint32_t>() };
        line.event.request = parseRequestId(entry.at("request").get<std::string>()).value_or(RequestId());
        line.event.instance.value = entry.at("instance").get<std::string>();
        return line;
    }

    TraceReport readReport(const json& root)
    {
        TraceReport report;
        report.summary = root.at("summary").get<std::string>();
        for (const json& entry : root.at("outcomes"))
            report.outcomes.push_back({ parseRequestId(entry.at("request").get<std::string>()).value_or(RequestId()), entry.at("text").get<std::string>() });
        for (const json& entry : root.at("timeLine"))
            report.lines.push_back(readLine(entry));
        report.gaps = root.at("gaps").get<std::vector<std::string>>();
        return report;
    }

}

std::string toJson(const TraceReport& report)
{
    using nlohmann::ordered_json;
    ordered_json outcomes = ordered_json::array();
    for (const RequestOutcome& outcome : report.outcomes)
        outcomes.push_back({ { "request", toText(outcome.request) }, { "text", outcome.text } });
    ordered_json lines = ordered_json::array();
    for (const TraceLine& line : report.lines) {
        ordered_json entry = {
            { "atUs", line.event.at.physical.count() },
            { "logical", line.event.at.logical },
            { "request", toText(line.event.request) },
            { "instance", line.event.instance.value },
            { "text", line.text },
            { "gap", line.isGap },
        };
        if (!line.isGap || line.event.kind == EventKind::eventsLost)
            entry["event"] = ordered_json::parse(toJsonLine(line.event));
        lines.push_back(std::move(entry));
    }
    const ordered_json json = { { "summary", report.summary }, { "outcomes", outcomes }, { "timeLine", lines }, { "gaps", report.gaps } };
    return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
}

std::optional<TraceReport> parseTraceReport(std::string_view text, Failure& failure)
{
    try {
        return readReport(json::parse(text));
    } catch (const json::exception& error) {
        failure = { ErrorKind::corruptRecord, std::string("the report can't be read: ") + error.what() };
        return std::nullopt;
    }
}

}
