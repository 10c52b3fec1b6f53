#include "Commands.h"

#include "whinyard/config/Diff.h"

#include <charconv>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <ostream>
#include <random>

namespace whinyard::command {

namespace {

    using nlohmann::ordered_json;

    constexpr int okay = 200;
    constexpr int writtenOnly = 202;
    constexpr int notAcceptable = 409;
    constexpr int invalidDocument = 422;

    // `config show` begins a document with this line, so that `config apply` knows what it was made from.
    constexpr std::string_view revisionMark = "// whinyard revision ";

    std::optional<std::string> readFile(const std::string& file, Streams streams)
    {
        std::ifstream stream(file, std::ios::binary);
        if (stream.is_open())
            return std::string(std::istreambuf_iterator<char>(stream), {});
        streams.err << file << " can't be opened\n";
        return std::nullopt;
    }

    std::optional<std::uint64_t> markedRevision(const std::string& text)
    {
        const auto at = text.find(revisionMark);
        if (at == std::string::npos)
            return std::nullopt;
        std::uint64_t revision = 0;
        const char* begin = text.data() + at + revisionMark.size();
        const auto result = std::from_chars(begin, text.data() + text.size(), revision);
        return result.ec == std::errc() ? std::optional(revision) : std::nullopt;
    }

    std::string newIdentity()
    {
        constexpr std::size_t digits = 32;
        std::random_device device;
        std::uniform_int_distribution<int> digit(0, 15);
        std::string identity;
        while (identity.size() < digits)
            identity += "0123456789abcdef"[digit(device)];
        return identity;
    }

    ExitCode refuse(const Failure& failure, Streams streams)
    {
        streams.err << failure.reason << "\n";
        const bool isInput = failure.kind == ErrorKind::malformedRequest || failure.kind == ErrorKind::invalidConfiguration;
        return isInput ? ExitCode::invalid : ExitCode::refused;
    }

    void printFaults(const ordered_json& faults, const std::string& place, Streams streams)
    {
        for (const auto& fault : faults)
            streams.err << place << ": " << fault.value("path", "") << ": " << fault.value("message", "") << "\n";
    }

    void printDifferences(const ordered_json& differences, std::ostream& out)
    {
        if (differences.empty())
            out << "  no difference\n";
        for (const auto& difference : differences) {
            const std::string change = difference.value("change", "");
            const std::string before = difference.value("before", "");
            const std::string after = difference.value("after", "");
            out << "  " << change << " " << difference.value("path", "") << ": ";
            out << (change == "changed" ? before + " -> " + after : before + after) << "\n";
        }
    }

    void printConflict(const ordered_json& conflict, Streams streams)
    {
        streams.err << "conflict: " << conflict.value("author", "") << " made revision " << conflict.value("revision", 0) << " meanwhile; nothing was changed\n";
        streams.err << "theirs:\n";
        printDifferences(conflict.value("theirs", ordered_json::array()), streams.err);
        streams.err << "yours:\n";
        printDifferences(conflict.value("mine", ordered_json::array()), streams.err);
        streams.err << "take the newest with `whinyard config show`, make your change there, and apply it\n";
    }

    // Prints how far a written change has come.
    ExitCode printWritten(const ordered_json& json, const std::string& repetition, Streams streams)
    {
        const std::string confirmed = std::to_string(json.value("confirmed", 0)) + " of " + std::to_string(json.value("of", 0));
        const bool isAccepted = json.value("outcome", "") == "accepted";
        streams.out << (isAccepted ? "accepted" : "written") << " as revision " << json.value("revision", std::uint64_t { 0 }) << ", confirmed by " << confirmed << "\n";
        if (isAccepted)
            return ExitCode::done;
        streams.err << "not yet accepted, and not reverted: ask `whinyard config status`, or repeat with " << repetition << "\n";
        return ExitCode::refused;
    }

    // Submits a change and prints its outcome. The parameters name what is submitted.
    ExitCode submit(AdminClient& client, const std::string& path, std::vector<Parameter> parameters, const std::string& body, const std::string& place, const ChangeOptions& options, Streams streams)
    {
        const std::string identity = options.submission.empty() ? newIdentity() : options.submission;
        parameters.push_back({ "submission", identity });
        parameters.push_back({ "basedOn", std::to_string(options.basedOn.value_or(0)) });
        parameters.push_back({ "summary", options.summary });
        Failure failure;
        const auto response = client.call("POST", path, parameters, body, failure);
        const bool isUncertain = !response || failureOf(*response).kind == ErrorKind::storeUncertain;
        const std::string repetition = "--submission " + identity + " --based-on " + std::to_string(options.basedOn.value_or(0));
        if (isUncertain)
            streams.err << "the outcome isn't known; repeat with " << repetition << " to learn it\n";
        if (!response)
            return refuse(failure, streams);
        const auto json = ordered_json::parse(response->body, nullptr, false);
        if ((response->status == okay || response->status == writtenOnly) && json.is_object())
            return printWritten(json, repetition, streams);
        if (response->status == notAcceptable && json.contains("conflict")) {
            printConflict(json["conflict"], streams);
            return ExitCode::refused;
        }
        if (response->status == invalidDocument && json.contains("faults")) {
            printFaults(json["faults"], place, streams);
            return ExitCode::invalid;
        }
        return refuse(failureOf(*response), streams);
    }

    std::string timeText(std::int64_t milliseconds)
    {
        const std::time_t seconds = milliseconds / 1'000;
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char text[32];
        std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S", &utc);
        return text;
    }

}

ExitCode checkConfiguration(const std::string& file, Streams streams)
{
    const auto text = readFile(file, streams);
    if (!text)
        return ExitCode::invalid;
    std::vector<config::Fault> faults;
    const auto document = config::parseDocument(*text, faults);
    if (document)
        faults = config::validate(*document);
    for (const config::Fault& fault : faults)
        streams.err << file << ": " << fault.path << ": " << fault.message << "\n";
    if (!faults.empty())
        return ExitCode::invalid;
    streams.out << file << ": valid\n";
    return ExitCode::done;
}

ExitCode showConfiguration(AdminClient& client, std::uint64_t revision, Streams streams)
{
    Failure failure;
    const auto json = client.get("/api/configuration", { { "revision", std::to_string(revision) } }, failure);
    if (!json)
        return refuse(failure, streams);
    streams.out << revisionMark << json->value("revision", 0) << "\n"
                << json->value("document", ordered_json()).dump(2) << "\n";
    return ExitCode::done;
}

ExitCode diffConfiguration(AdminClient& client, const std::string& file, std::uint64_t from, Streams streams)
{
    const auto text = readFile(file, streams);
    if (!text)
        return ExitCode::invalid;
    Failure failure;
    const auto response = client.call("POST", "/api/configuration/diff", { { "from", std::to_string(from) } }, *text, failure);
    if (!response)
        return refuse(failure, streams);
    const auto json = ordered_json::parse(response->body, nullptr, false);
    if (response->status == invalidDocument && json.contains("faults")) {
        printFaults(json["faults"], file, streams);
        return ExitCode::invalid;
    }
    if (response->status != okay || !json.contains("differences"))
        return refuse(failureOf(*response), streams);
    streams.out << "from revision " << json.value("from", 0) << " to " << file << ":\n";
    printDifferences(json["differences"], streams.out);
    return ExitCode::done;
}

ExitCode applyConfiguration(AdminClient& client, const std::string& file, const ChangeOptions& options, Streams streams)
{
    const auto text = readFile(file, streams);
    if (!text)
        return ExitCode::invalid;
    ChangeOptions complete = options;
    if (!complete.basedOn)
        complete.basedOn = markedRevision(*text);
    if (!complete.basedOn) {
        streams.err << file << " doesn't say which revision it was made from: begin it with \"" << revisionMark << "N\", as `whinyard config show` does, or give --based-on\n";
        return ExitCode::invalid;
    }
    return submit(client, "/api/configuration", {}, *text, file, complete, streams);
}

ExitCode rollbackConfiguration(AdminClient& client, std::uint64_t revision, const ChangeOptions& options, Streams streams)
{
    ChangeOptions complete = options;
    Failure failure;
    if (!complete.basedOn) {
        const auto current = client.get("/api/configuration/history", { { "limit", "1" } }, failure);
        if (!current)
            return refuse(failure, streams);
        const auto& revisions = (*current)["revisions"];
        complete.basedOn = revisions.empty() ? 0 : revisions[0].value("revision", std::uint64_t { 0 });
    }
    return submit(client, "/api/configuration/rollback", { { "revision", std::to_string(revision) } }, "", "revision " + std::to_string(revision), complete, streams);
}

ExitCode configurationHistory(AdminClient& client, std::uint64_t limit, Streams streams)
{
    Failure failure;
    const auto json = client.get("/api/configuration/history", { { "limit", std::to_string(limit) } }, failure);
    if (!json)
        return refuse(failure, streams);
    streams.out << "revision  based on  when (UTC)           author            summary\n";
    for (const auto& entry : (*json)["revisions"]) {
        streams.out << std::right << std::setw(8) << entry.value("revision", std::uint64_t { 0 }) << "  " << std::setw(8) << entry.value("basedOn", std::uint64_t { 0 });
        streams.out << "  " << timeText(entry.value("submittedAtMs", std::int64_t { 0 })) << "  " << std::left << std::setw(16) << entry.value("author", "") << "  " << entry.value("summary", "") << "\n";
    }
    return ExitCode::done;
}

ExitCode configurationStatus(AdminClient& client, Streams streams)
{
    Failure failure;
    const auto json = client.get("/api/configuration/status", {}, failure);
    if (!json)
        return refuse(failure, streams);
    streams.out << "revision " << json->value("revision", std::uint64_t { 0 }) << ": " << json->value("confirmed", 0) << " of " << json->value("of", 0) << " instances confirm it; " << (json->value("accepted", false) ? "accepted" : "not yet accepted") << "\n";
    if (!json->value("storeReadable", true))
        streams.out << "the store can't be read, so a newer one may be there: " << json->value("storeReason", "") << "\n";
    for (const auto& instance : (*json)["instances"]) {
        streams.out << "  " << std::left << std::setw(16) << instance.value("name", "") << "  " << std::setw(16) << instance.value("zone", "") << "  " << std::setw(8) << instance.value("state", "");
        streams.out << "  revision " << instance.value("revision", std::uint64_t { 0 }) << (instance.value("confirms", false) ? "  confirms" : "  not yet") << "\n";
    }
    return json->value("accepted", false) ? ExitCode::done : ExitCode::refused;
}

}
