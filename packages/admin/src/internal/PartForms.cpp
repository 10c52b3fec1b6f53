#include "internal/PartForms.h"

#include "whinyard/base/Encoding.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace whinyard::admin {

namespace {

    using nlohmann::ordered_json;

    constexpr std::size_t spareSteps = 2; // Empty selects after the last step.
    constexpr std::size_t saltBytes = 16;
    constexpr std::size_t leastKeyBytes = 16;

    std::vector<std::string> split(std::string_view text)
    {
        std::vector<std::string> words;
        while (!text.empty()) {
            const auto word = text.substr(0, text.find(' '));
            text.remove_prefix(std::min(text.size(), word.size() + 1));
            words.emplace_back(word);
        }
        return words;
    }

    // Returns the names that a field offers, with those that a part already has.
    std::vector<std::string> offered(const PartField& field, const ordered_json& document, const std::vector<std::string>& chosen)
    {
        std::vector<std::string> names;
        std::set<std::string> seen;
        const auto add = [&](const std::string& name) {
            if (!name.empty() && seen.insert(name).second)
                names.push_back(name);
        };
        const std::string section = field.from == "models" ? "versions" : std::string(field.from);
        for (const auto& part : document.value(section, ordered_json::array()))
            add(part.value(field.from == "models" ? "model" : "name", ""));
        for (const std::string& name : chosen)
            add(name);
        return names;
    }

    std::vector<std::string> namesIn(const PartField& field, const ordered_json& part)
    {
        std::vector<std::string> names;
        const auto found = part.find(std::string(field.key));
        if (found == part.end())
            return names;
        if (found->is_string())
            names.push_back(found->get<std::string>());
        if (found->is_array()) {
            for (const auto& name : *found)
                names.push_back(name.get<std::string>());
        }
        return names;
    }

    std::string textOf(const ordered_json& value)
    {
        if (value.is_string())
            return value.get<std::string>();
        constexpr double exact = 1e15; // Integers below it are shown without a fraction.
        if (value.is_number_float() && std::abs(value.get<double>()) < exact && std::floor(value.get<double>()) == value.get<double>())
            return std::to_string(value.get<std::int64_t>());
        return value.is_null() ? std::string() : value.dump();
    }

    std::string textIn(const PartField& field, const ordered_json& part)
    {
        const auto found = part.find(std::string(field.key));
        return found == part.end() ? std::string() : textOf(*found);
    }

    // Writes one part's fields.
    class FieldWriter {
    public:
        FieldWriter(Html& html, const ordered_json& part, const ordered_json& document, const std::vector<config::Fault>& faults, std::string path)
            : m_html(html)
            , m_part(part)
            , m_document(document)
            , m_faults(faults)
            , m_path(std::move(path))
        {
        }

        void write(const PartField& field)
        {
            const bool isGroup = field.kind == FieldKind::names || field.kind == FieldKind::orderedNames;
            m_html.open(isGroup ? "fieldset" : "div", { { "class", "field" } });
            if (isGroup)
                m_html.element("legend", field.label);
            else
                m_html.element("label", field.label, { { "for", std::string(field.key) } });
            writeHint(field);
            writeFaults(field);
            writeControl(field);
            m_html.close();
        }

    private:
        void writeHint(const PartField& field)
        {
            if (!field.hint.empty())
                m_html.element("p", field.hint, { { "class", "hint" }, { "id", std::string(field.key) + "-hint" } });
        }

        void writeFaults(const PartField& field)
        {
            if (field.kind == FieldKind::key)
                return writeKeyFault();
            const std::string start = m_path + "/" + std::string(field.key);
            for (const config::Fault& fault : m_faults) {
                if (fault.path == start || fault.path.starts_with(start + "/"))
                    m_html.element("p", fault.message, { { "class", "fault" } });
            }
        }

        // The digest's faults mean nothing to a person: it is there or it isn't.
        void writeKeyFault()
        {
            const bool isWrong = std::any_of(m_faults.begin(), m_faults.end(), [&](const config::Fault& fault) { return fault.path.starts_with(m_path + "/key"); });
            if (isWrong)
                m_html.element("p", "A key of at least " + std::to_string(leastKeyBytes) + " bytes is required.", { { "class", "fault" } });
        }

        void writeControl(const PartField& field)
        {
            switch (field.kind) {
            case FieldKind::text:
                return writeInput(field, "text", textIn(field, m_part));
            case FieldKind::number:
                return writeInput(field, "text", textIn(field, m_part), { { "inputmode", "decimal" } });
            case FieldKind::key:
                return writeInput(field, "password", "", { { "autocomplete", "new-password" } });
            case FieldKind::choice:
                return writeSelect(field, split(field.from), textIn(field, m_part));
            case FieldKind::yesNo:
                return writeSelect(field, { "false", "true" }, textIn(field, m_part));
            case FieldKind::oneName:
                return writeSelect(field, offered(field, m_document, namesIn(field, m_part)), textIn(field, m_part));
            case FieldKind::names:
                return writeCheckBoxes(field);
            case FieldKind::orderedNames:
                return writeSteps(field);
            }
        }

        Attributes described(const PartField& field, Attributes attributes)
        {
            if (!field.hint.empty())
                attributes.push_back({ "aria-describedby", std::string(field.key) + "-hint" });
            return attributes;
        }

        void writeInput(const PartField& field, const std::string& type, const std::string& value, const Attributes& more = {})
        {
            const std::string key(field.key);
            Attributes attributes { { "id", key }, { "name", key }, { "type", type }, { "value", value } };
            attributes.insert(attributes.end(), more.begin(), more.end());
            m_html.single("input", described(field, std::move(attributes)));
        }

        void writeSelect(const PartField& field, const std::vector<std::string>& names, const std::string& chosen)
        {
            const std::string key(field.key);
            m_html.open("select", described(field, { { "id", key }, { "name", key } }));
            writeOptions(field, names, chosen);
            m_html.close();
        }

        void writeOptions(const PartField& field, const std::vector<std::string>& names, const std::string& chosen)
        {
            for (const std::string& name : names) {
                Attributes attributes { { "value", name } };
                if (name == chosen)
                    attributes.push_back({ "selected", "" });
                const std::string shown = field.kind == FieldKind::yesNo ? (name == "true" ? "yes" : "no") : name;
                m_html.element("option", shown, attributes);
            }
        }

        void writeCheckBoxes(const PartField& field)
        {
            const std::vector<std::string> chosen = namesIn(field, m_part);
            const std::vector<std::string> names = offered(field, m_document, chosen);
            if (names.empty())
                m_html.element("p", "None is there yet.", { { "class", "hint" } });
            for (const std::string& name : names) {
                Attributes attributes { { "type", "checkbox" }, { "name", std::string(field.key) }, { "value", name } };
                if (std::find(chosen.begin(), chosen.end(), name) != chosen.end())
                    attributes.push_back({ "checked", "" });
                m_html.open("label", { { "class", "box" } }).single("input", attributes).text(name).close();
            }
        }

        void writeSteps(const PartField& field)
        {
            const std::vector<std::string> chosen = namesIn(field, m_part);
            const std::vector<std::string> names = offered(field, m_document, chosen);
            for (std::size_t step = 0; step < chosen.size() + spareSteps; ++step) {
                const std::string current = step < chosen.size() ? chosen[step] : std::string();
                m_html.open("label", { { "class", "step" } }).text("Step " + std::to_string(step + 1));
                m_html.open("select", { { "name", std::string(field.key) } });
                m_html.element("option", "(none)", { { "value", "" } });
                writeOptions(field, names, current);
                m_html.close().close();
            }
        }

        Html& m_html;
        const ordered_json& m_part;
        const ordered_json& m_document;
        const std::vector<config::Fault>& m_faults;
        const std::string m_path;
    };

    // Returns the number that a text is, or the text, at which the document's parser will name the fault.
    ordered_json numberOf(const std::string& text)
    {
        const auto json = ordered_json::parse(text, nullptr, false);
        return json.is_number() ? json : ordered_json(text);
    }

    void readKey(const FormData& form, const PartField& field, const ordered_json& before, ordered_json& part)
    {
        const std::string key = form.value(field.key);
        part["keySalt"] = before.value("keySalt", "");
        part["keyDigest"] = before.value("keyDigest", "");
        if (key.empty())
            return;
        if (key.size() < leastKeyBytes) {
            part["keyDigest"] = ""; // Which the document's parser refuses.
            return;
        }
        part["keySalt"] = randomHex(saltBytes);
        part["keyDigest"] = config::keyDigest(part["keySalt"].get<std::string>(), key);
    }

    const std::vector<PartSection>& makeSections()
    {
        using enum FieldKind;
        static const std::vector<PartSection> sections {
            { "versions", "Models and versions", "version", "name",
                { { "name", "Version", "Unique over all models, for example lm-large-2.", text, "", "" },
                    { "model", "Model", "The model that this is a version of.", text, "", "" },
                    { "state", "State", "A withdrawn version receives no new work, and its sessions move.", choice, "active withdrawn", "active" },
                    { "costPerThousandTokens", "Cost of a thousand tokens", "In the billing unit.", number, "", "1" } } },
            { "customers", "Customers", "customer", "name",
                { { "name", "Customer", "", text, "", "" },
                    { "key", "New key", "At least 16 bytes. Only its salted digest is kept. Leave empty to keep the present key.", key, "", "" },
                    { "versions", "Allowed versions", "A request of this customer runs on no other. None at all suspends the customer.", names, "versions", "" },
                    { "cascades", "Cascades", "Every step of a cascade must be an allowed version.", names, "cascades", "" },
                    { "services", "Plain services", "", names, "services", "" },
                    { "requestsPerSecond", "Requests a second", "Over all instances together.", number, "", "100" },
                    { "concurrentRequests", "Concurrent requests", "Over all instances together.", number, "", "1000" },
                    { "priority", "Priority", "0 is served first, 2 last.", choice, "0 1 2", "1" } } },
            { "cascades", "Cascades", "cascade", "name",
                { { "name", "Cascade", "Callers name it as their model.", text, "", "" },
                    { "steps", "Steps", "From cheap to strong.", orderedNames, "versions", "" },
                    { "qualityTarget", "Quality target", "The rating, 0 to 1, from which a step's answer is shown.", number, "", "0.8" } } },
            { "rollouts", "Roll-outs", "roll-out", "model",
                { { "model", "Model", "One roll-out a model.", oneName, "models", "" },
                    { "from", "From version", "", oneName, "versions", "" },
                    { "to", "To version", "", oneName, "versions", "" },
                    { "share", "Share", "Of new sessions that take the new version, 0 to 1.", number, "", "0.05" },
                    { "state", "State", "paused: keeps its share and draws no new sessions. stopped: all new sessions take the old version. completed: all take the new one, with share 1.", choice, "running paused stopped completed", "running" },
                    { "exposureLimit", "Exposure limit", "A bad version is judged within this many requests.", number, "", "200" },
                    { "tolerableBadShare", "Tolerable share of bad answers", "A good version may give as many, 0 to 1.", number, "", "0.05" },
                    { "unacceptableBadShare", "Unacceptable share of bad answers", "At this share a version must be stopped, 0 to 1.", number, "", "0.2" },
                    { "trial", "Trial", "Raise it to judge the same versions anew after a stop.", number, "", "0" } } },
            { "services", "Plain services", "plain service", "name",
                { { "name", "Service", "", text, "", "" },
                    { "idempotent", "Idempotent", "Calls may be repeated only where this is yes.", yesNo, "", "false" },
                    { "costPerCall", "Cost of a call", "In the billing unit.", number, "", "1" } } },
            { "evacuations", "Evacuated zones", "evacuated zone", "name",
                { { "name", "Availability zone", "Its endpoints get nothing more until this is removed.", text, "", "" } } },
        };
        return sections;
    }

    bool isNumeric(const PartField& field)
    {
        return field.kind == FieldKind::number || field.key == "priority";
    }

}

const std::vector<PartSection>& partSections()
{
    return makeSections();
}

const PartSection* findSection(std::string_view key)
{
    const auto& sections = partSections();
    const auto found = std::find_if(sections.begin(), sections.end(), [&](const PartSection& section) { return section.key == key; });
    return found == sections.end() ? nullptr : &*found;
}

void writeFields(Html& html, const PartSection& section, const ordered_json& part, const ordered_json& document, const std::vector<config::Fault>& faults, const std::string& path)
{
    FieldWriter writer(html, part, document, faults, path);
    for (const PartField& field : section.fields)
        writer.write(field);
}

ordered_json readPart(const PartSection& section, const FormData& form, const ordered_json& before)
{
    ordered_json part;
    for (const PartField& field : section.fields) {
        const std::string key(field.key);
        if (field.kind == FieldKind::key)
            readKey(form, field, before, part);
        else if (field.kind == FieldKind::names || field.kind == FieldKind::orderedNames)
            part[key] = form.values(field.key);
        else if (field.kind == FieldKind::yesNo)
            part[key] = form.value(field.key) == "true";
        else
            part[key] = isNumeric(field) ? numberOf(form.value(field.key)) : ordered_json(form.value(field.key));
    }
    return part;
}

ordered_json newPart(const PartSection& section)
{
    ordered_json part;
    for (const PartField& field : section.fields) {
        const std::string key(field.key);
        if (field.kind == FieldKind::names || field.kind == FieldKind::orderedNames)
            part[key] = ordered_json::array();
        else if (field.kind == FieldKind::yesNo)
            part[key] = field.initial == "true";
        else if (field.kind != FieldKind::key)
            part[key] = isNumeric(field) ? numberOf(std::string(field.initial)) : ordered_json(field.initial);
    }
    return part;
}

std::string shownValue(const PartField& field, const ordered_json& part)
{
    if (field.kind == FieldKind::yesNo)
        return part.value(std::string(field.key), false) ? "yes" : "no";
    if (field.kind != FieldKind::names && field.kind != FieldKind::orderedNames)
        return textIn(field, part);
    std::string text;
    for (const std::string& name : namesIn(field, part))
        text += (text.empty() ? "" : (field.kind == FieldKind::names ? ", " : " → ")) + name;
    return text.empty() ? "—" : text;
}

}
