#include "whinyard/admin/AdminApi.h"

#include "internal/Answers.h"

#include <algorithm>

namespace whinyard::admin {

using nlohmann::ordered_json;

namespace {

    constexpr std::string_view tracePrefix = "/api/trace/";
    constexpr std::uint64_t defaultHistory = 20;
    constexpr std::uint64_t longestHistory = 200;
    constexpr std::size_t longestSummary = 500;

    // Reads and validates the document of a request's body. Returns nothing when there are faults.
    std::optional<config::Document> documentOf(const net::HttpRequest& request, std::vector<config::Fault>& faults)
    {
        auto document = config::parseDocument(request.body, faults);
        if (document)
            faults = config::validate(*document);
        return faults.empty() ? document : std::nullopt;
    }

    // Reads who submits what from the query; the document is left empty.
    std::optional<Submission> submissionOf(const net::HttpRequest& request, const Operator& caller, Failure& failure)
    {
        const auto basedOn = queryNumber(request, "basedOn", std::nullopt, failure);
        if (!basedOn)
            return std::nullopt;
        Submission submission;
        submission.identity = net::queryValue(request.target, "submission");
        submission.author = caller.name;
        submission.summary = net::queryValue(request.target, "summary");
        submission.basedOn = *basedOn;
        const bool printable = std::none_of(submission.summary.begin(), submission.summary.end(), [](unsigned char character) { return character < 0x20 || character == 0x7F; });
        if (submission.summary.size() <= longestSummary && printable)
            return submission;
        failure = { ErrorKind::malformedRequest, "the summary may have at most " + std::to_string(longestSummary) + " bytes without control characters" };
        return std::nullopt;
    }

    net::HttpResponse outcomeResponse(const std::optional<ChangeResult>& result, const Failure& failure)
    {
        return result ? jsonResponse(statusOf(*result), changeResultToJson(*result)) : failureResponse(failure);
    }

    std::optional<TraceQuestion> questionOf(const net::HttpRequest& request, Failure& failure)
    {
        const std::string_view path = net::pathOf(request.target);
        TraceQuestion question;
        if (path.starts_with(tracePrefix)) {
            const auto id = parseRequestId(path.substr(tracePrefix.size()));
            question.request = id.value_or(RequestId());
        }
        question.key = net::queryValue(request.target, "key");
        question.customer.value = net::queryValue(request.target, "customer");
        question.service.value = net::queryValue(request.target, "service");
        question.session.value = net::queryValue(request.target, "session");
        const bool byKey = !question.key.empty() && !question.customer.empty() && !question.service.empty();
        if (!question.request.empty() || byKey || !question.session.empty())
            return question;
        failure = { ErrorKind::malformedRequest, "allowed: a request identity of 32 hexadecimal digits, a key with its customer and service, or a session" };
        return std::nullopt;
    }

}

AdminApi::AdminApi(AdminParts parts, std::vector<Operator> operators)
    : m_parts(parts)
    , m_operators(std::move(operators))
{
}

const AdminApi::Route* AdminApi::findRoute(const net::HttpRequest& request, bool& pathKnown)
{
    static constexpr Route routes[] = {
        { "GET", "/api/configuration", Role::view, &AdminApi::configuration },
        { "GET", "/api/configuration/history", Role::view, &AdminApi::history },
        { "GET", "/api/configuration/status", Role::view, &AdminApi::status },
        { "POST", "/api/configuration/check", Role::view, &AdminApi::check },
        { "POST", "/api/configuration/diff", Role::view, &AdminApi::difference },
        { "POST", "/api/configuration", Role::change, &AdminApi::submit },
        { "POST", "/api/configuration/rollback", Role::change, &AdminApi::rollback },
        { "GET", "/api/trace", Role::view, &AdminApi::trace },
        { "GET", "/api/bill", Role::view, &AdminApi::bill },
        { "GET", "/api/bill/lines", Role::view, &AdminApi::billLines },
    };
    std::string_view path = net::pathOf(request.target);
    if (path.starts_with(tracePrefix))
        path = "/api/trace";
    const Route* found = nullptr;
    for (const Route& route : routes) {
        if (route.path != path)
            continue;
        pathKnown = true;
        if (route.method == request.method)
            found = &route;
    }
    return found;
}

net::HttpResponse AdminApi::answer(const net::HttpRequest& request)
{
    if (!net::pathOf(request.target).starts_with("/api/"))
        return openAnswer(request);
    const Operator* caller = authenticateOperator(m_operators, net::fieldValue(request.fields, "Authorization"));
    if (!caller)
        return failureResponse({ ErrorKind::unauthenticated, "an operator's name and key are required" });
    bool pathKnown = false;
    const Route* route = findRoute(request, pathKnown);
    if (!route)
        return failureResponse({ ErrorKind::unknownRoute, pathKnown ? "this path doesn't take " + request.method : "no such path" });
    if (route->role == Role::change && caller->role != Role::change)
        return failureResponse({ ErrorKind::forbidden, "operator " + caller->name + " may view, and not change" });
    return (this->*route->handler)(request, *caller);
}

// Health and metrics need no key: the balancer and the collector ask without one.
net::HttpResponse AdminApi::openAnswer(const net::HttpRequest& request)
{
    const std::string_view path = net::pathOf(request.target);
    if (request.method != "GET")
        return failureResponse({ ErrorKind::unknownRoute, "no such path" });
    if (path == "/metrics")
        return textResponse(200, "text/plain; version=0.0.4", m_parts.metrics.render());
    if (path == "/healthz")
        return textResponse(200, "text/plain", "ok\n");
    if (path != "/readyz")
        return failureResponse({ ErrorKind::unknownRoute, "no such path" });
    std::string reason;
    if (m_parts.fleet.isReady(reason))
        return textResponse(200, "text/plain", "ready\n");
    return textResponse(503, "text/plain", reason + "\n");
}

net::HttpResponse AdminApi::configuration(const net::HttpRequest& request, const Operator&)
{
    Failure failure;
    const auto revision = queryNumber(request, "revision", 0, failure);
    if (!revision)
        return failureResponse(failure);
    const auto found = *revision == 0 ? m_parts.repository.current(failure) : m_parts.repository.at(*revision, failure);
    return found ? jsonResponse(200, configurationToJson(*found)) : failureResponse(failure);
}

net::HttpResponse AdminApi::history(const net::HttpRequest& request, const Operator&)
{
    Failure failure;
    const auto limit = queryNumber(request, "limit", defaultHistory, failure);
    if (!limit)
        return failureResponse(failure);
    const auto found = m_parts.repository.history(std::min(*limit, longestHistory), failure);
    if (!found)
        return failureResponse(failure);
    ordered_json revisions = ordered_json::array();
    for (const config::Configuration& configuration : *found)
        revisions.push_back(headToJson(configuration));
    return jsonResponse(200, { { "revisions", revisions } });
}

// While the store can't be read, the highest revision that any instance holds takes its place.
net::HttpResponse AdminApi::status(const net::HttpRequest&, const Operator&)
{
    Failure failure;
    const auto current = m_parts.repository.current(failure);
    std::uint64_t revision = current ? current->revision : 0;
    if (!current) {
        for (const InstanceStatus& instance : m_parts.fleet.instances())
            revision = std::max(revision, instance.revision);
    }
    ordered_json json = confirmationToJson(confirmationOf(revision, m_parts));
    json["storeReadable"] = current.has_value();
    json["storeReason"] = current ? "" : failure.reason;
    return jsonResponse(200, json);
}

net::HttpResponse AdminApi::check(const net::HttpRequest& request, const Operator&)
{
    std::vector<config::Fault> faults;
    const bool valid = documentOf(request, faults).has_value();
    return jsonResponse(200, { { "valid", valid }, { "faults", faultsToJson(faults) } });
}

net::HttpResponse AdminApi::difference(const net::HttpRequest& request, const Operator&)
{
    Failure failure;
    const auto revision = queryNumber(request, "from", 0, failure);
    if (!revision)
        return failureResponse(failure);
    std::vector<config::Fault> faults;
    const auto document = documentOf(request, faults);
    if (!document)
        return jsonResponse(answerFor(ErrorKind::invalidConfiguration).httpStatus, { { "valid", false }, { "faults", faultsToJson(faults) } });
    const auto base = *revision == 0 ? m_parts.repository.current(failure) : m_parts.repository.at(*revision, failure);
    if (!base)
        return failureResponse(failure);
    return jsonResponse(200, { { "valid", true }, { "from", base->revision }, { "differences", differencesToJson(config::diff(base->document, *document)) } });
}

net::HttpResponse AdminApi::submit(const net::HttpRequest& request, const Operator& caller)
{
    Failure failure;
    auto submission = submissionOf(request, caller, failure);
    if (!submission)
        return failureResponse(failure);
    SubmitAnswer refused;
    auto document = documentOf(request, refused.faults);
    std::optional<SubmitAnswer> answer = refused;
    if (document) {
        submission->document = std::move(*document);
        answer = m_parts.repository.submit(*submission, failure);
    }
    const auto result = awaitAcceptance(answer, m_parts.confirmations);
    audit(m_parts.audit, "submit", *submission, result, failure);
    return outcomeResponse(result, failure);
}

net::HttpResponse AdminApi::rollback(const net::HttpRequest& request, const Operator& caller)
{
    Failure failure;
    const auto revision = queryNumber(request, "revision", std::nullopt, failure);
    if (!revision)
        return failureResponse(failure);
    const auto submission = submissionOf(request, caller, failure);
    if (!submission)
        return failureResponse(failure);
    const auto answer = m_parts.repository.rollback(*revision, *submission, failure);
    const auto result = awaitAcceptance(answer, m_parts.confirmations);
    audit(m_parts.audit, "rollback", *submission, result, failure);
    return outcomeResponse(result, failure);
}

net::HttpResponse AdminApi::trace(const net::HttpRequest& request, const Operator&)
{
    Failure failure;
    const auto question = questionOf(request, failure);
    if (!question)
        return failureResponse(failure);
    const auto material = m_parts.traces.find(*question, failure);
    if (!material)
        return failureResponse(failure);
    const TraceReport report = makeTraceReport(*material);
    return textResponse(report.lines.empty() ? 404 : 200, "application/json", toJson(report));
}

net::HttpResponse AdminApi::bill(const net::HttpRequest& request, const Operator&)
{
    Failure failure;
    const auto bill = m_parts.bills.bill({ net::queryValue(request.target, "customer") }, failure);
    return bill ? jsonResponse(200, billToJson(*bill)) : failureResponse(failure);
}

net::HttpResponse AdminApi::billLines(const net::HttpRequest& request, const Operator&)
{
    Failure failure;
    const auto lines = m_parts.bills.lines({ net::queryValue(request.target, "customer") }, failure);
    if (!lines)
        return failureResponse(failure);
    std::string body;
    for (const ledger::UsageLine& line : *lines)
        body += ledger::toJsonLine(line) + "\n";
    return textResponse(200, "application/x-ndjson", std::move(body));
}

}
