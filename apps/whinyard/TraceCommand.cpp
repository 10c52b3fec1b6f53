#include "Commands.h"

#include "whinyard/admin/TraceReport.h"

#include <fstream>
#include <iterator>
#include <ostream>

namespace whinyard::command {

namespace {

    ExitCode refuse(const std::string& reason, ExitCode code, Streams streams)
    {
        streams.err << reason << "\n";
        return code;
    }

    ExitCode print(const admin::TraceReport& report, bool json, Streams streams)
    {
        streams.out << (json ? admin::toJson(report) : admin::toText(report));
        return report.lines.empty() ? ExitCode::refused : ExitCode::done;
    }

    ExitCode traceLogs(const TraceOptions& options, Streams streams)
    {
        const auto request = parseRequestId(options.request);
        if (!options.request.empty() && !request)
            return refuse("a request identity has 32 hexadecimal digits", ExitCode::invalid, streams);
        admin::TraceMaterial material;
        for (const std::string& file : options.logs) {
            std::ifstream stream(file, std::ios::binary);
            if (!stream.is_open())
                return refuse(file + " can't be opened", ExitCode::invalid, streams);
            const std::string text(std::istreambuf_iterator<char>(stream), {});
            auto events = admin::eventsOfLog(text, request.value_or(RequestId()));
            material.events.insert(material.events.end(), std::make_move_iterator(events.begin()), std::make_move_iterator(events.end()));
        }
        for (const std::string& text : { options.key, admin::sessionNameOf(options.session) }) {
            if (!text.empty())
                material.events = admin::eventsMentioning(material.events, text);
        }
        return print(admin::makeTraceReport(material), options.json, streams);
    }

}

ExitCode trace(AdminClient* client, const TraceOptions& options, Streams streams)
{
    if (options.request.empty() && options.key.empty() && options.session.empty())
        return refuse("give a request identity, --key with --customer and --service, or --session", ExitCode::invalid, streams);
    if (!client)
        return traceLogs(options, streams);
    const std::string path = options.request.empty() ? "/api/trace" : "/api/trace/" + options.request;
    const std::vector<Parameter> query { { "key", options.key }, { "customer", options.customer }, { "service", options.service }, { "session", options.session } };
    Failure failure;
    const auto response = client->call("GET", path, query, "", failure);
    if (!response)
        return refuse(failure.reason, ExitCode::refused, streams);
    const auto report = admin::parseTraceReport(response->body, failure);
    if (report)
        return print(*report, options.json, streams);
    const Failure refusal = failureOf(*response);
    return refuse(refusal.reason, refusal.kind == ErrorKind::malformedRequest ? ExitCode::invalid : ExitCode::refused, streams);
}

}
