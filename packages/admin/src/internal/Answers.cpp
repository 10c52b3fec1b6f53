#include "internal/Answers.h"

#include "whinyard/base/Log.h"

#include <algorithm>
#include <charconv>

namespace whinyard::admin {

using nlohmann::ordered_json;

namespace {

    // The repository takes at most 10 s before, and callers wait 20 s for both.
    constexpr std::chrono::milliseconds changeBound { 5'000 };

    // Long enough for two rounds of calls, which acceptance needs, when one instance is silent.
    constexpr std::chrono::milliseconds statusBound { 1'500 };

    std::string dump(const ordered_json& json)
    {
        return json.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
    }

}

net::HttpResponse textResponse(int status, std::string_view type, std::string body)
{
    net::HttpResponse response;
    response.status = status;
    response.fields = { { "Content-Type", std::string(type) }, { "Cache-Control", "no-store" } };
    response.body = std::move(body);
    return response;
}

net::HttpResponse jsonResponse(int status, const ordered_json& body)
{
    return textResponse(status, "application/json", dump(body));
}

net::HttpResponse failureResponse(const Failure& failure)
{
    net::HttpResponse response = textResponse(answerFor(failure.kind).httpStatus, "application/json", errorBody(failure));
    if (failure.kind == ErrorKind::unauthenticated)
        response.fields.push_back({ "WWW-Authenticate", "Basic realm=\"whinyard\", charset=\"UTF-8\"" });
    return response;
}

ordered_json faultsToJson(const std::vector<config::Fault>& faults)
{
    ordered_json list = ordered_json::array();
    for (const config::Fault& fault : faults)
        list.push_back({ { "path", fault.path }, { "message", fault.message } });
    return list;
}

ordered_json differencesToJson(const std::vector<config::Difference>& differences)
{
    ordered_json list = ordered_json::array();
    for (const config::Difference& difference : differences)
        list.push_back({ { "change", config::toText(difference.change) }, { "path", difference.path }, { "before", difference.before }, { "after", difference.after } });
    return list;
}

ordered_json headToJson(const config::Configuration& configuration)
{
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(configuration.submittedAt.time_since_epoch());
    return {
        { "revision", configuration.revision },
        { "basedOn", configuration.basedOn },
        { "author", configuration.author },
        { "summary", configuration.summary },
        { "submission", configuration.submission },
        { "submittedAtMs", at.count() },
    };
}

ordered_json configurationToJson(const config::Configuration& configuration)
{
    ordered_json json = headToJson(configuration);
    json["document"] = ordered_json::parse(config::toJson(configuration.document));
    return json;
}

std::string_view ChangeResult::outcome() const
{
    if (answer.outcome == SubmitOutcome::written && acceptance.accepted)
        return "accepted";
    return toText(answer.outcome);
}

std::optional<ChangeResult> awaitAcceptance(const std::optional<SubmitAnswer>& answer, ConfirmationSource& confirmations)
{
    if (!answer)
        return std::nullopt;
    ChangeResult result { *answer, {} };
    if (answer->outcome == SubmitOutcome::written)
        result.acceptance = confirmations.confirm(answer->revision, changeBound);
    return result;
}

ordered_json changeResultToJson(const ChangeResult& result)
{
    const SubmitAnswer& answer = result.answer;
    ordered_json json = { { "outcome", result.outcome() } };
    if (answer.outcome == SubmitOutcome::written) {
        json["revision"] = answer.revision;
        json["confirmed"] = result.acceptance.confirmed;
        json["of"] = result.acceptance.instances;
    }
    if (answer.outcome == SubmitOutcome::invalid)
        json["faults"] = faultsToJson(answer.faults);
    if (answer.outcome == SubmitOutcome::conflict) {
        json["conflict"] = {
            { "revision", answer.conflict.revision },
            { "author", answer.conflict.author },
            { "baseKnown", answer.conflict.baseKnown },
            { "theirs", differencesToJson(answer.conflict.theirs) },
            { "mine", differencesToJson(answer.conflict.mine) },
        };
    }
    return json;
}

ordered_json billToJson(const Bill& bill)
{
    ordered_json totals = ordered_json::array();
    for (const BillTotal& total : bill.totals) {
        totals.push_back({
            { "customer", total.customer.value },
            { "item", total.item },
            { "lines", total.lines },
            { "billedUnits", total.billedUnits },
            { "innerUnits", total.innerUnits },
            { "tokens", total.tokens },
        });
    }
    return { { "complete", bill.faults.empty() }, { "totals", totals }, { "faults", bill.faults } };
}

int statusOf(const ChangeResult& result)
{
    constexpr int okay = 200;
    constexpr int notYetAccepted = 202;
    switch (result.answer.outcome) {
    case SubmitOutcome::written:
        return result.acceptance.accepted ? okay : notYetAccepted;
    case SubmitOutcome::invalid:
        return answerFor(ErrorKind::invalidConfiguration).httpStatus;
    case SubmitOutcome::conflict:
        return answerFor(ErrorKind::swapConflict).httpStatus;
    }
    return answerFor(ErrorKind::internalError).httpStatus;
}

Confirmation confirmationOf(std::uint64_t revision, const AdminParts& parts)
{
    Confirmation confirmation { parts.confirmations.confirm(revision, statusBound), {} };
    std::vector<InstanceName> missing = confirmation.acceptance.missing;
    for (const InstanceStatus& status : parts.fleet.instances()) {
        const bool isMissing = std::erase(missing, status.name) > 0;
        confirmation.rows.push_back({ status, !isMissing && confirmation.acceptance.instances > 0 });
    }
    for (const InstanceName& name : missing)
        confirmation.rows.push_back({ { name, {}, "unknown" }, false });
    return confirmation;
}

std::string countText(const peer::Acceptance& acceptance)
{
    return std::to_string(acceptance.confirmed) + " of " + std::to_string(acceptance.instances);
}

ordered_json confirmationToJson(const Confirmation& confirmation)
{
    ordered_json instances = ordered_json::array();
    for (const InstanceRow& row : confirmation.rows) {
        instances.push_back({
            { "name", row.status.name.value },
            { "zone", row.status.zone.value },
            { "state", row.status.state },
            { "revision", row.status.revision },
            { "confirms", row.confirms },
        });
    }
    return {
        { "revision", confirmation.acceptance.revision },
        { "accepted", confirmation.acceptance.accepted },
        { "confirmed", confirmation.acceptance.confirmed },
        { "of", confirmation.acceptance.instances },
        { "instances", instances },
    };
}

std::optional<std::uint64_t> queryNumber(const net::HttpRequest& request, std::string_view name, std::optional<std::uint64_t> fallback, Failure& failure)
{
    const std::string text = net::queryValue(request.target, name);
    if (text.empty() && fallback)
        return fallback;
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    if (result.ec == std::errc() && result.ptr == text.data() + text.size())
        return value;
    failure = { ErrorKind::malformedRequest, "found \"" + text + "\" for \"" + std::string(name) + "\"; allowed: a number" };
    return std::nullopt;
}

void audit(AuditLog& log, const std::string& action, const Submission& submission, const std::optional<ChangeResult>& result, const Failure& failure)
{
    AuditEntry entry;
    entry.operatorName = submission.author;
    entry.action = action;
    entry.basedOn = submission.basedOn;
    entry.submission = submission.identity;
    entry.result = result ? result->outcome() : answerFor(failure.kind).name;
    if (result) {
        entry.revision = result->answer.revision;
        entry.confirmed = result->acceptance.confirmed;
        entry.instances = result->acceptance.instances;
    }
    log.record(entry);
}

void LogAudit::record(const AuditEntry& entry)
{
    log::info("configuration change",
        { { "operator", entry.operatorName },
            { "action", entry.action },
            { "basedOn", std::to_string(entry.basedOn) },
            { "submission", entry.submission },
            { "result", entry.result },
            { "revision", std::to_string(entry.revision) },
            { "confirmed", std::to_string(entry.confirmed) },
            { "of", std::to_string(entry.instances) } });
}

}
