#include "internal/Pages.h"

#include <ctime>

namespace whinyard::admin {

namespace {

    constexpr int refreshSeconds = 2;

    std::string timeText(WallTime at)
    {
        const std::time_t seconds = std::chrono::system_clock::to_time_t(at);
        std::tm utc {};
        gmtime_r(&seconds, &utc);
        char text[32];
        std::strftime(text, sizeof text, "%Y-%m-%d %H:%M:%S UTC", &utc);
        return text;
    }

    void writeHeadings(Html& html, std::initializer_list<std::string_view> titles)
    {
        html.open("tr");
        for (const std::string_view title : titles)
            html.element("th", title, { { "scope", "col" } });
        html.close();
    }

    void writeQuestionField(Html& html, const net::HttpRequest& request, const std::string& name, std::string_view label)
    {
        html.open("div", { { "class", "field" } }).element("label", label, { { "for", name } });
        html.single("input", { { "type", "text" }, { "id", name }, { "name", name }, { "value", net::queryValue(request.target, name) } });
        html.close();
    }

    void writeReport(Html& html, const TraceReport& report)
    {
        html.open("section").element("h2", "Outcome").element("p", report.summary, { { "class", "outcome" } });
        for (const RequestOutcome& outcome : report.outcomes)
            html.open("p").element("code", toText(outcome.request)).text(" " + outcome.text).close();
        for (const std::string& gap : report.gaps)
            html.element("p", "Gap: " + gap, { { "class", "gap" } });
        html.close();
        if (report.lines.empty())
            return;
        html.open("section").element("h2", "Time line").open("div", { { "class", "wide" } }).open("table");
        const bool isOne = report.outcomes.size() == 1;
        writeHeadings(html, { "Time (UTC)", "Instance", isOne ? "" : "Request", "What happened" });
        for (const TraceLine& line : report.lines) {
            html.open("tr").element("td", timeOfDay(line.event.at)).element("td", line.event.instance.value);
            html.element("td", isOne ? "" : shortText(line.event.request));
            html.element("td", (line.isGap ? "Gap: " : "") + line.text, { { "class", line.isGap ? "gap" : "" } }).close();
        }
        html.close().close().close();
    }

}

std::string acceptanceText(const peer::Acceptance& acceptance)
{
    return (acceptance.accepted ? "Accepted: " : "Written, not yet accepted: ") + countText(acceptance) + " instances confirm it";
}

std::string statusPage(const Visitor& visitor, const Confirmation& confirmation, bool storeReadable)
{
    Html html;
    const bool isEverywhere = confirmation.isEverywhere();
    const std::string count = acceptanceText(confirmation.acceptance);
    html.open("section", { { "aria-live", "polite" } });
    html.element("p", isEverywhere ? count + ": it is in force everywhere." : count + "; this page loads itself again.", { { "class", isEverywhere ? "outcome good" : "outcome" } });
    if (!storeReadable)
        html.element("p", "The key-value service can't be read now, so a newer revision may be there.", { { "class", "bad" } });
    html.open("table");
    writeHeadings(html, { "Instance", "Availability zone", "State", "Holds revision", "Confirms" });
    for (const auto& [instance, confirms] : confirmation.rows) {
        html.open("tr").element("td", instance.name.value).element("td", instance.zone.value).element("td", instance.state).element("td", std::to_string(instance.revision));
        html.element("td", confirms ? "yes" : "not yet", { { "class", confirms ? "good" : "bad" } }).close();
    }
    html.close().close();
    return wrapPage(visitor, "Revision " + std::to_string(confirmation.acceptance.revision) + " on the instances", html.take(), isEverywhere ? 0 : refreshSeconds);
}

std::string historyPage(const Visitor& visitor, const std::vector<config::Configuration>& history)
{
    Html html;
    html.open("section").open("div", { { "class", "wide" } }).open("table");
    writeHeadings(html, { "Revision", "Made from", "When", "By", "What for" });
    for (const config::Configuration& entry : history) {
        const std::string number = std::to_string(entry.revision);
        html.open("tr").open("td").element("a", number, { { "href", "/console/revision?number=" + number } }).close();
        html.element("td", std::to_string(entry.basedOn)).element("td", timeText(entry.submittedAt)).element("td", entry.author).element("td", entry.summary).close();
    }
    html.close().close().close();
    return wrapPage(visitor, "Revisions", html.take());
}

std::string revisionPage(const Visitor& visitor, const config::Configuration& shown, const config::Configuration& current)
{
    Html html;
    const std::string number = std::to_string(shown.revision);
    html.element("p", "By " + shown.author + ", " + timeText(shown.submittedAt) + (shown.summary.empty() ? "" : ": " + shown.summary));
    html.open("section").element("h2", "From revision " + std::to_string(current.revision) + " in force back to revision " + number);
    writeDifferences(html, config::diff(current.document, shown.document));
    if (visitor.caller.role == Role::change && shown.revision != current.revision) {
        FormSession session = beginSession(current);
        session.document = nlohmann::ordered_json::parse(config::toJson(shown.document));
        html.open("form", { { "method", "post" }, { "action", "/console/session" } });
        const std::pair<std::string_view, std::string> fields[] = {
            { "document", session.document.dump() },
            { "basedOn", std::to_string(session.basedOn) },
            { "submission", session.submission },
            { "summary", "rollback to revision " + number },
        };
        for (const auto& [name, value] : fields)
            html.single("input", { { "type", "hidden" }, { "name", std::string(name) }, { "value", value } });
        html.element("button", "Roll back to revision " + number, { { "name", "do" }, { "value", "review" }, { "class", "main" } });
        html.element("p", "A rollback is a new revision; you review it before it is submitted.", { { "class", "hint" } }).close();
    }
    html.close();
    html.element("pre", config::toJson(shown.document));
    return wrapPage(visitor, "Revision " + number, html.take());
}

std::string tracePage(const Visitor& visitor, const net::HttpRequest& request, const std::optional<TraceReport>& report, const std::string& notice)
{
    Html html;
    if (!notice.empty())
        html.open("div", { { "class", "faults" }, { "role", "alert" } }).element("p", notice).close();
    if (report)
        writeReport(html, *report);
    html.open("form", { { "method", "get" }, { "action", "/console/trace" } }).open("section").element("h2", "What became of a request?");
    writeQuestionField(html, request, "request", "Request identity, from the answer's X-Whinyard-Request field");
    html.element("button", "Find", { { "class", "main" } });
    html.element("h2", "or by idempotency key");
    writeQuestionField(html, request, "key", "Idempotency key");
    writeQuestionField(html, request, "customer", "Customer");
    writeQuestionField(html, request, "service", "Plain service");
    html.element("h2", "or by session");
    writeQuestionField(html, request, "session", "Session");
    html.element("button", "Find").close().close();
    return wrapPage(visitor, "Trace", html.take());
}

std::string billPage(const Visitor& visitor, const Bill& bill)
{
    Html html;
    for (const std::string& fault : bill.faults)
        html.element("p", "Can't be read, so what it holds is missing: " + fault, { { "class", "bad" } });
    html.element("p", "Each request counts once. Inner cost is that of all attempts; it is never billed.", { { "class", "quiet" } });
    html.open("section").open("div", { { "class", "wide" } }).open("table");
    html.open("tr").element("th", "Customer", { { "scope", "col" } }).element("th", "Version or service", { { "scope", "col" } });
    for (const char* title : { "Requests", "Billed", "Inner cost", "Tokens" })
        html.element("th", title, { { "scope", "col" }, { "class", "number" } });
    html.close();
    for (const BillTotal& total : bill.totals) {
        html.open("tr").element("td", total.customer.value).element("td", total.item);
        for (const std::string& value : { std::to_string(total.lines), unitsText(total.billedUnits), unitsText(total.innerUnits), std::to_string(total.tokens) })
            html.element("td", value, { { "class", "number" } });
        html.close();
    }
    html.close().close().close();
    return wrapPage(visitor, "Bill", html.take());
}

}
