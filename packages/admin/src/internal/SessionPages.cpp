#include "internal/Pages.h"

namespace whinyard::admin {

using nlohmann::ordered_json;

namespace {

    void openSessionForm(Html& html, const Visitor& visitor, const FormSession& session, const std::string& target, bool withSummary)
    {
        html.open("form", { { "method", "post" }, { "action", target } });
        const auto hidden = [&](std::string_view name, const std::string& value) {
            html.single("input", { { "type", "hidden" }, { "name", std::string(name) }, { "value", value } });
        };
        hidden("token", visitor.token);
        hidden("basedOn", std::to_string(session.basedOn));
        hidden("submission", session.submission);
        hidden("document", session.document.dump());
        if (withSummary)
            hidden("summary", session.summary);
    }

    void writeButton(Html& html, const std::string& step, std::string_view title, const std::string& label = {}, const std::string& style = {})
    {
        Attributes attributes { { "name", "do" }, { "value", step } };
        if (!label.empty())
            attributes.push_back({ "aria-label", label });
        if (!style.empty())
            attributes.push_back({ "class", style });
        html.element("button", title, attributes);
    }

    // Says a path such as "/rollouts/0/to" in the words of the forms: "roll-out lm-large, To version".
    std::string placeText(const std::string& path, const ordered_json& document)
    {
        const auto sectionEnd = path.find('/', 1);
        const PartSection* section = sectionEnd == std::string::npos ? nullptr : findSection(path.substr(1, sectionEnd - 1));
        if (!section)
            return path;
        const auto indexEnd = path.find('/', sectionEnd + 1);
        const std::string fieldPath = indexEnd == std::string::npos ? std::string() : path.substr(indexEnd + 1);
        const auto& parts = document.at(std::string(section->key));
        const std::size_t index = std::stoul(path.substr(sectionEnd + 1, indexEnd - sectionEnd - 1));
        std::string text = std::string(section->singular) + " " + parts.at(index).value(std::string(section->nameKey), "");
        for (const PartField& field : section->fields) {
            if (fieldPath.substr(0, fieldPath.find('/')) == field.key)
                text += ", " + std::string(field.label);
        }
        return text;
    }

    void writeFaults(Html& html, const std::vector<config::Fault>& faults, const ordered_json& document)
    {
        if (faults.empty())
            return;
        html.open("div", { { "class", "faults" }, { "role", "alert" } });
        html.element("p", faults.size() == 1 ? "One fault keeps this document from being submitted:" : std::to_string(faults.size()) + " faults keep this document from being submitted:").open("ul");
        for (const config::Fault& fault : faults)
            html.open("li").element("strong", placeText(fault.path, document) + ": ").text(fault.message).close();
        html.close().close();
    }

    void writeHeadings(Html& html, const PartSection& section, bool withActions)
    {
        html.open("tr");
        for (const PartField& field : section.fields) {
            if (field.kind != FieldKind::key)
                html.element("th", field.label, { { "scope", "col" }, { "class", field.kind == FieldKind::number ? "number" : "" } });
        }
        if (withActions)
            html.element("th", "", { { "aria-label", "Actions" } });
        html.close();
    }

    void writeCells(Html& html, const PartSection& section, const ordered_json& part)
    {
        for (const PartField& field : section.fields) {
            if (field.kind != FieldKind::key)
                html.element("td", shownValue(field, part), { { "class", field.kind == FieldKind::number ? "number" : "" } });
        }
    }

    void writeActions(Html& html, const PartSection& section, const ordered_json& part, std::size_t index)
    {
        const std::string place = std::string(section.key) + " " + std::to_string(index);
        const std::string name = std::string(section.singular) + " " + part.value(std::string(section.nameKey), "");
        html.open("td", { { "class", "do" } });
        writeButton(html, "edit " + place, "Edit", "Edit " + name);
        if (section.key == "versions" && part.value("state", "") == "active")
            writeButton(html, "withdraw " + place, "Withdraw", "Withdraw " + name, "danger");
        writeButton(html, "remove " + place, "Remove", "Remove " + name, "danger");
        html.close();
    }

    void writeSection(Html& html, const PartSection& section, const ordered_json& parts, bool withActions)
    {
        html.open("section").element("h2", section.title);
        if (parts.empty())
            html.element("p", "None.", { { "class", "quiet" } });
        html.open("div", { { "class", "wide" } }).open("table");
        if (!parts.empty())
            writeHeadings(html, section, withActions);
        for (std::size_t index = 0; index < parts.size(); ++index) {
            html.open("tr");
            writeCells(html, section, parts[index]);
            if (withActions)
                writeActions(html, section, parts[index], index);
            html.close();
        }
        html.close().close();
        if (withActions)
            writeButton(html, "add " + std::string(section.key), "Add a " + std::string(section.singular));
        html.close();
    }

    std::string countText(const std::vector<config::Difference>& differences)
    {
        return differences.size() == 1 ? "1 difference" : std::to_string(differences.size()) + " differences";
    }

}

std::string overviewPage(const Visitor& visitor, const config::Configuration& configuration, const Confirmation& confirmation)
{
    Html html;
    if (configuration.revision == 0) {
        html.element("p", "No configuration was submitted yet.");
    } else {
        html.element("p", "By " + configuration.author + (configuration.summary.empty() ? "" : ": " + configuration.summary));
        html.element("p", acceptanceText(confirmation.acceptance) + ".", { { "class", confirmation.acceptance.accepted ? "quiet" : "bad" } });
    }
    const auto document = ordered_json::parse(config::toJson(configuration.document));
    for (const PartSection& section : partSections())
        writeSection(html, section, document.at(std::string(section.key)), false);
    return wrapPage(visitor, "Revision " + std::to_string(configuration.revision) + " in force", html.take());
}

std::string sessionPage(const Visitor& visitor, const FormSession& session, const std::vector<config::Difference>& differences)
{
    Html html;
    html.element("p", "Made from revision " + std::to_string(session.basedOn) + ". Nothing is in force before you review and submit it; everything here is submitted as one change.");
    writeFaults(html, faultsOf(session), session.document);
    openSessionForm(html, visitor, session, "/console/session", true);
    html.open("section").element("h2", countText(differences) + " so far");
    writeDifferences(html, differences);
    html.open("p");
    writeButton(html, "review", "Review and submit", "", "main");
    html.close().close();
    for (const PartSection& section : partSections())
        writeSection(html, section, session.document.at(std::string(section.key)), true);
    html.close();
    return wrapPage(visitor, "Change the configuration", html.take());
}

std::string partPage(const Visitor& visitor, const FormSession& session, const SessionStep& step, const ordered_json& part, const std::vector<config::Fault>& faults)
{
    Html html;
    const std::string place = std::string(step.section->key) + " " + std::to_string(step.index);
    const std::string path = "/" + std::string(step.section->key) + "/" + std::to_string(step.index);
    if (!faults.empty())
        html.open("div", { { "class", "faults" }, { "role", "alert" } }).element("p", "Not saved: see the marked fields.").close();
    openSessionForm(html, visitor, session, "/console/session", true);
    html.open("section");
    writeFields(html, *step.section, part, session.document, faults, path);
    html.open("p");
    writeButton(html, "save " + place, "Save", "", "main");
    writeButton(html, "list", "Cancel");
    html.close().close().close();
    const std::string name = part.value(std::string(step.section->nameKey), "");
    return wrapPage(visitor, name.empty() ? "New " + std::string(step.section->singular) : "Edit " + std::string(step.section->singular) + " " + name, html.take());
}

std::string reviewPage(const Visitor& visitor, const FormSession& session, const std::vector<config::Difference>& differences, const std::string& notice)
{
    const std::vector<config::Fault> faults = faultsOf(session);
    Html html;
    if (!notice.empty())
        html.open("div", { { "class", "notice" }, { "role", "alert" } }).element("p", notice).close();
    writeFaults(html, faults, session.document);
    html.open("section").element("h2", countText(differences) + " from revision " + std::to_string(session.basedOn));
    writeDifferences(html, differences);
    html.close();
    if (faults.empty()) {
        openSessionForm(html, visitor, session, "/console/submit", false);
        html.open("section").open("div", { { "class", "field" } }).element("label", "What is this change for?", { { "for", "summary" } });
        html.element("p", "It stands in the history beside your name.", { { "class", "hint" } });
        html.single("input", { { "type", "text" }, { "id", "summary" }, { "name", "summary" }, { "maxlength", "500" }, { "value", session.summary } });
        html.close().element("button", "Submit this change", { { "class", "main" } }).close().close();
    }
    openSessionForm(html, visitor, session, "/console/session", true);
    html.open("p");
    writeButton(html, "list", "Back to editing");
    html.close().close();
    html.open("details").element("summary", "The whole document").element("pre", session.document.dump(2)).close();
    return wrapPage(visitor, "Review the change", html.take());
}

std::string conflictPage(const Visitor& visitor, const FormSession& session, const Conflict& conflict)
{
    Html html;
    html.open("div", { { "class", "faults" }, { "role", "alert" } });
    html.element("p", conflict.author + " made revision " + std::to_string(conflict.revision) + " since you began from revision " + std::to_string(session.basedOn) + ". Nothing of yours was put in force, and nothing of theirs was changed.").close();
    html.open("div", { { "class", "sides" } });
    html.open("section").element("h2", "Theirs: in force now");
    if (!conflict.baseKnown)
        html.element("p", "Revision " + std::to_string(session.basedOn) + " can't be read, so your side is compared with what is in force.", { { "class", "quiet" } });
    writeDifferences(html, conflict.theirs);
    html.close().open("section").element("h2", "Yours: not in force");
    writeDifferences(html, conflict.mine);
    html.close().close();
    html.open("p").text("Begin again from what is in force, with your side at hand: ").element("a", "change revision " + std::to_string(conflict.revision), { { "href", "/console/session" } }).close();
    html.open("details").element("summary", "Your whole document").element("pre", session.document.dump(2)).close();
    return wrapPage(visitor, "Another operator was first", html.take());
}

}
