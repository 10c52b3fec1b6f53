#include "whinyard/settings/DaemonSettings.h"

#include "whinyard/settings/JsonReader.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <set>

namespace whinyard::settings {

namespace {

    using namespace std::chrono_literals;
    using std::chrono::milliseconds;

    constexpr std::size_t leastKeyBytes = 16;
    constexpr std::size_t largestFile = 1'000'000;
    constexpr Choice<std::string_view> logLevels[] {
        { "debug", "debug" },
        { "info", "info" },
        { "warning", "warning" },
        { "error", "error" },
    };

    void readAddress(JsonObject& object, std::string_view key, net::Address& target)
    {
        const std::size_t longestAddress = 80;
        std::string text;
        object.text(key, text, Presence::required, longestAddress);
        if (text.empty())
            return;
        Failure failure;
        if (const auto address = net::parseAddress(text, failure))
            target = *address;
        else
            object.fault(key, "found \"" + text + "\"; allowed: a numeric address with a port, as 127.0.0.1:8080 or [::1]:8080");
    }

    void readSeeds(JsonObject& object, DaemonSettings& settings)
    {
        std::set<InstanceName> names;
        object.objects("seeds", Presence::optional, [&](JsonObject& entry) {
            Seed seed;
            entry.name("name", seed.name, Presence::required);
            entry.name("zone", seed.zone, Presence::required);
            readAddress(entry, "peers", seed.peers);
            if (!seed.name.empty() && !names.insert(seed.name).second)
                entry.fault("name", "found \"" + seed.name.value + "\" a second time; allowed: each instance once");
            settings.seeds.push_back(std::move(seed));
        });
    }

    void readKeys(JsonObject& object, std::string_view key, std::vector<KeySource>& target)
    {
        std::set<std::uint32_t> numbers;
        object.objects(key, Presence::required, [&](JsonObject& entry) {
            KeySource source;
            entry.integer("number", source.number, Presence::required, { 1U, 1'000'000U });
            entry.text("file", source.file, Presence::optional);
            entry.text("environment", source.environment, Presence::optional);
            if (source.file.empty() == source.environment.empty())
                entry.fault("file", "allowed: either \"file\" or \"environment\", and not both");
            if (!numbers.insert(source.number).second)
                entry.fault("number", "found " + std::to_string(source.number) + " a second time; allowed: each number once");
            target.push_back(std::move(source));
        });
        if (object.has(key) && target.empty())
            object.fault(key, "found no key; allowed: at least one");
    }

    void readLimits(JsonObject& object, Limits& limits)
    {
        constexpr std::size_t kilobyte = 1024;
        constexpr std::size_t megabyte = kilobyte * kilobyte;
        object.integer("headerBytes", limits.headerBytes, Presence::optional, { kilobyte, megabyte });
        object.integer("bodyBytes", limits.bodyBytes, Presence::optional, { kilobyte, 256 * megabyte });
        object.integer("connections", limits.connections, Presence::optional, { std::size_t { 1 }, std::size_t { 1'000'000 } });
        object.integer("concurrentRequests", limits.concurrentRequests, Presence::optional, { std::size_t { 1 }, std::size_t { 1'000'000 } });
        object.milliseconds("receiveTimeoutMs", limits.receiveTimeout, Presence::optional, { 100ms, 10min });
        object.milliseconds("requestDeadlineMs", limits.requestDeadline, Presence::optional, { 100ms, 1h });
        object.integer("eventMirrorBytesPerSecond", limits.eventMirrorBytesPerSecond, Presence::optional, { std::size_t { 0 }, std::size_t { 100 * 1024 * 1024 } });
        object.integer("eventBytes", limits.eventBytes, Presence::optional, { std::size_t { 64 * 1024 }, std::size_t { 1024 * 1024 * 1024 } });
    }

    void readTiming(JsonObject& object, Timing& timing)
    {
        constexpr int heartbeatsWithinBound = 3;
        object.milliseconds("heartbeatMs", timing.heartbeat, Presence::optional, { 50ms, 5s });
        object.milliseconds("configurationBoundMs", timing.configurationBound, Presence::optional, { 500ms, 8s });
        object.milliseconds("usageMirrorIntervalMs", timing.usageMirrorInterval, Presence::optional, { 1ms, 1s });
        object.milliseconds("usageFlushMs", timing.usageFlush, Presence::optional, { 100ms, 1min });
        object.milliseconds("intentIntervalMs", timing.intentInterval, Presence::optional, { 10ms, 5s });
        object.milliseconds("instanceListPollMs", timing.instanceListPoll, Presence::optional, { 100ms, 1min });
        object.milliseconds("loadPollMs", timing.loadPoll, Presence::optional, { 50ms, 10s });
        object.milliseconds("shutdownBoundMs", timing.shutdownBound, Presence::optional, { 1s, 10min });
        if (timing.configurationBound < heartbeatsWithinBound * timing.heartbeat)
            object.fault("configurationBoundMs", "found " + std::to_string(timing.configurationBound.count()) + "; allowed: at least three times heartbeatMs");
    }

    DaemonSettings readSettings(JsonObject& object)
    {
        DaemonSettings settings;
        object.name("instance", settings.instance, Presence::required);
        object.name("zone", settings.zone, Presence::required);
        object.nameText("region", settings.region, Presence::required);
        readAddress(object, "callers", settings.callers);
        readAddress(object, "admin", settings.admin);
        readAddress(object, "peers", settings.peers);
        readAddress(object, "platform", settings.platform);
        readSeeds(object, settings);
        readKeys(object, "peerKeys", settings.peerKeys);
        readKeys(object, "sessionKeys", settings.sessionKeys);
        object.text("operatorsFile", settings.operatorsFile, Presence::optional);
        object.integer("intentPartitions", settings.intentPartitions, Presence::optional, { 1U, 1'024U });
        std::string_view level = settings.logLevel;
        object.choice("logLevel", level, Presence::optional, logLevels);
        settings.logLevel = level;
        object.object("limits", Presence::optional, [&](JsonObject& inner) { readLimits(inner, settings.limits); });
        object.object("timing", Presence::optional, [&](JsonObject& inner) { readTiming(inner, settings.timing); });
        object.finish();
        return settings;
    }

    std::optional<std::string> readFile(const std::string& path, Failure& failure)
    {
        std::ifstream stream(path, std::ios::binary);
        std::string text(std::istreambuf_iterator<char>(stream), {});
        if (stream.is_open() && !stream.bad() && text.size() <= largestFile)
            return text;
        const std::string_view reason = stream.is_open() ? " can't be read or is over a megabyte" : " can't be opened";
        failure = { ErrorKind::invalidSettings, path + std::string(reason) };
        return std::nullopt;
    }

    void trimEnd(std::string& text)
    {
        while (!text.empty() && (text.back() == '\n' || text.back() == '\r' || text.back() == ' ' || text.back() == '\t'))
            text.pop_back();
    }

}

std::optional<DaemonSettings> parseDaemonSettings(std::string_view text, std::string_view file, Failure& failure)
{
    std::vector<JsonFault> faults;
    const auto json = parseJson(text, faults);
    std::optional<DaemonSettings> settings;
    if (json) {
        JsonObject object(*json, "", faults);
        settings = readSettings(object);
    }
    if (faults.empty())
        return settings;
    std::string reason;
    for (const JsonFault& fault : faults)
        reason += (reason.empty() ? "" : "\n") + std::string(file) + ": " + toText({ fault });
    failure = { ErrorKind::invalidSettings, std::move(reason) };
    return std::nullopt;
}

std::optional<DaemonSettings> loadDaemonSettings(const std::string& file, Failure& failure)
{
    const auto text = readFile(file, failure);
    if (!text)
        return std::nullopt;
    return parseDaemonSettings(*text, file, failure);
}

std::optional<std::string> loadKey(const KeySource& source, Failure& failure)
{
    std::optional<std::string> key;
    std::string place = source.file;
    if (!source.file.empty()) {
        key = readFile(source.file, failure);
        if (!key)
            return std::nullopt;
    } else {
        place = "environment variable " + source.environment;
        const char* value = std::getenv(source.environment.c_str());
        key = value ? value : "";
    }
    trimEnd(*key);
    if (key->size() >= leastKeyBytes)
        return key;
    failure = { ErrorKind::invalidSettings, place + " holds a key of " + std::to_string(key->size()) + " bytes; allowed: at least " + std::to_string(leastKeyBytes) };
    return std::nullopt;
}

}
