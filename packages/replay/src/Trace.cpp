#include "whinyard/replay/Trace.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace whinyard::replay {

namespace {

    using nlohmann::json;
    using nlohmann::ordered_json;
    using std::chrono::milliseconds;

    constexpr std::array<std::string_view, 6> failureNames { "zoneLost", "versionTurnsBad", "storeDown", "storeUp", "ratingsDown", "ratingsUp" };
    constexpr double qualityUnit = 1'000; // Qualities are written in thousandths.
    constexpr std::uint32_t maximumInstances = 1'000;

    // ---- Writing ----

    template <typename NameType>
    ordered_json namesToJson(const std::vector<NameType>& names)
    {
        ordered_json list = ordered_json::array();
        for (const NameType& name : names)
            list.push_back(name.value);
        return list;
    }

    ordered_json timesToJson(const TraceTimes& times)
    {
        return { { "hopMs", times.hop.count() }, { "reportIntervalMs", times.reportInterval.count() }, { "reportLagMs", times.reportLag.count() },
            { "gossipIntervalMs", times.gossipInterval.count() }, { "gossipLagMs", times.gossipLag.count() }, { "listLagMs", times.listLag.count() },
            { "failureDetectionMs", times.failureDetection.count() }, { "ratingLagMs", times.ratingLag.count() }, { "ratedShare", times.ratedShare },
            { "judgeTimeMs", times.judgeTime.count() }, { "judgedShare", times.judgedShare }, { "ratingNoise", times.ratingNoise } };
    }

    ordered_json engineToJson(const TraceEngine& engine)
    {
        return { { "name", engine.name.value }, { "zone", engine.zone.value }, { "versions", namesToJson(engine.versions) }, { "slots", engine.slots },
            { "stepUs", engine.step.count() }, { "prefillPerStep", engine.prefillPerStep }, { "cacheTokens", engine.cacheTokens } };
    }

    ordered_json headerToJson(const Trace& trace)
    {
        ordered_json applications = ordered_json::array();
        for (std::size_t i = 0; i < trace.applications.size(); ++i)
            applications.push_back({ { "name", trace.applications[i] }, { "firstTokenWithinMs", trace.firstTokenWithin[i].count() } });
        ordered_json engines = ordered_json::array();
        for (const TraceEngine& engine : trace.engines)
            engines.push_back(engineToJson(engine));
        return { { "kind", "trace" }, { "format", 1 }, { "name", trace.name }, { "seed", trace.seed }, { "zones", namesToJson(trace.zones) },
            { "instances", trace.instances }, { "applications", applications }, { "cascade", trace.cascade.value }, { "engines", engines },
            { "times", timesToJson(trace.times) }, { "document", ordered_json::parse(config::toJson(trace.document)) } };
    }

    ordered_json failureToJson(const TraceFailure& failure)
    {
        return { { "kind", "failure" }, { "t", failure.at.count() }, { "type", failureNames[static_cast<std::size_t>(failure.kind)] }, { "subject", failure.subject }, { "amount", failure.amount } };
    }

    ordered_json requestToJson(const TraceRequest& request)
    {
        ordered_json quality = ordered_json::array();
        for (const float one : request.quality)
            quality.push_back(std::lround(one * qualityUnit));
        return { { "t", request.at.count() }, { "c", request.customer }, { "s", request.session }, { "a", request.application }, { "in", request.promptTokens },
            { "pre", request.prefixTokens }, { "out", request.completionTokens }, { "q", quality }, { "u", std::lround(request.luck * qualityUnit) } };
    }

    // ---- Reading: json's accessors throw, and parseTrace() turns that into a failure with the line ----

    template <typename NameType>
    std::vector<NameType> namesFrom(const json& list)
    {
        std::vector<NameType> names;
        for (const json& name : list)
            names.push_back({ name.get<std::string>() });
        return names;
    }

    milliseconds millisecondsAt(const json& object, const char* key) { return milliseconds(object.at(key).get<std::int64_t>()); }

    TraceTimes timesFrom(const json& object)
    {
        TraceTimes times;
        times.hop = millisecondsAt(object, "hopMs");
        times.reportInterval = millisecondsAt(object, "reportIntervalMs");
        times.reportLag = millisecondsAt(object, "reportLagMs");
        times.gossipInterval = millisecondsAt(object, "gossipIntervalMs");
        times.gossipLag = millisecondsAt(object, "gossipLagMs");
        times.listLag = millisecondsAt(object, "listLagMs");
        times.failureDetection = millisecondsAt(object, "failureDetectionMs");
        times.ratingLag = millisecondsAt(object, "ratingLagMs");
        times.ratedShare = object.at("ratedShare").get<double>();
        times.judgeTime = millisecondsAt(object, "judgeTimeMs");
        times.judgedShare = object.at("judgedShare").get<double>();
        times.ratingNoise = object.at("ratingNoise").get<double>();
        return times;
    }

    TraceEngine engineFrom(const json& object)
    {
        TraceEngine engine;
        engine.name = { object.at("name").get<std::string>() };
        engine.zone = { object.at("zone").get<std::string>() };
        engine.versions = namesFrom<VersionName>(object.at("versions"));
        engine.slots = object.at("slots").get<std::uint32_t>();
        engine.step = std::chrono::microseconds(object.at("stepUs").get<std::int64_t>());
        engine.prefillPerStep = object.at("prefillPerStep").get<std::uint32_t>();
        engine.cacheTokens = object.at("cacheTokens").get<std::uint32_t>();
        return engine;
    }

    // Returns what is wrong with the header, or an empty text.
    std::string readHeader(const json& object, Trace& trace)
    {
        if (object.at("kind") != "trace" || object.at("format") != 1)
            return "the first line must be of kind \"trace\" and format 1";
        trace.name = object.at("name").get<std::string>();
        trace.seed = object.at("seed").get<std::uint64_t>();
        trace.zones = namesFrom<ZoneName>(object.at("zones"));
        trace.instances = object.at("instances").get<std::uint32_t>();
        for (const json& application : object.at("applications")) {
            trace.applications.push_back(application.at("name").get<std::string>());
            trace.firstTokenWithin.push_back(millisecondsAt(application, "firstTokenWithinMs"));
        }
        trace.cascade = { object.at("cascade").get<std::string>() };
        for (const json& engine : object.at("engines"))
            trace.engines.push_back(engineFrom(engine));
        trace.times = timesFrom(object.at("times"));
        std::vector<config::Fault> faults;
        auto document = config::parseDocument(object.at("document").dump(), faults);
        if (!document)
            return "the document at " + faults.front().path + ": " + faults.front().message;
        trace.document = std::move(*document);
        const config::Cascade* cascade = config::findCascade(trace.document, trace.cascade);
        if (!cascade || cascade->steps.empty())
            return "the cascade \"" + trace.cascade.value + "\" must stand in the document";
        if (trace.zones.empty() || trace.engines.empty() || trace.instances == 0 || trace.instances > maximumInstances)
            return "zones, engines and 1 to 1000 instances are required";
        return {};
    }

    std::string readFailure(const json& object, Trace& trace)
    {
        const auto name = std::find(failureNames.begin(), failureNames.end(), object.at("type").get<std::string>());
        if (name == failureNames.end())
            return "unknown type of failure";
        const auto kind = static_cast<FailureKind>(name - failureNames.begin());
        trace.failures.push_back({ millisecondsAt(object, "t"), kind, object.at("subject").get<std::string>(), object.at("amount").get<double>() });
        return {};
    }

    std::string readRequest(const json& object, Trace& trace)
    {
        TraceRequest request;
        request.at = millisecondsAt(object, "t");
        request.customer = object.at("c").get<std::uint32_t>();
        request.session = object.at("s").get<std::uint32_t>();
        request.application = object.at("a").get<std::uint32_t>();
        request.promptTokens = object.at("in").get<std::uint32_t>();
        request.prefixTokens = object.at("pre").get<std::uint32_t>();
        request.completionTokens = object.at("out").get<std::uint32_t>();
        for (const json& quality : object.at("q"))
            request.quality.push_back(static_cast<float>(quality.get<double>() / qualityUnit));
        request.luck = static_cast<float>(object.at("u").get<double>() / qualityUnit);
        if (request.customer >= trace.document.customers.size() || request.application >= trace.applications.size())
            return "customer or application is out of range";
        if (request.quality.size() != trace.document.versions.size() || request.prefixTokens > request.promptTokens || request.completionTokens == 0)
            return "one quality a version, a prefix within the prompt and at least one token are required";
        if (!trace.requests.empty() && request.at < trace.requests.back().at)
            return "requests must be in the order of time";
        trace.requests.push_back(std::move(request));
        return {};
    }

    std::string readLine(std::string_view line, bool isFirst, Trace& trace)
    {
        try {
            const json object = json::parse(line);
            if (isFirst)
                return readHeader(object, trace);
            return object.contains("kind") ? readFailure(object, trace) : readRequest(object, trace);
        } catch (const json::exception& exception) {
            return exception.what();
        }
    }

}

std::size_t Trace::versionIndex(const VersionName& version) const
{
    const auto& versions = document.versions;
    return static_cast<std::size_t>(std::find_if(versions.begin(), versions.end(), [&](const config::Version& one) { return one.name == version; }) - versions.begin());
}

std::optional<Trace> parseTrace(std::string_view text, Failure& failure)
{
    Trace trace;
    std::size_t number = 0;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('\n'), text.size());
        const std::string_view line = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        ++number;
        if (line.empty())
            continue;
        const std::string fault = readLine(line, number == 1, trace);
        if (!fault.empty()) {
            failure = { ErrorKind::malformedRequest, "line " + std::to_string(number) + ": " + fault };
            return std::nullopt;
        }
    }
    if (number == 0) {
        failure = { ErrorKind::malformedRequest, "line 1: the trace is empty" };
        return std::nullopt;
    }
    return trace;
}

std::string toText(const Trace& trace)
{
    std::string text = headerToJson(trace).dump() + "\n";
    for (const TraceFailure& failure : trace.failures)
        text += failureToJson(failure).dump() + "\n";
    for (const TraceRequest& request : trace.requests)
        text += requestToJson(request).dump() + "\n";
    return text;
}

}
