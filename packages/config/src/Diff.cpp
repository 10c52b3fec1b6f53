#include "whinyard/config/Diff.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace whinyard::config {

namespace {

    using nlohmann::ordered_json;

    constexpr std::string_view secretFields[] = { "keySalt", "keyDigest" };

    bool isSecret(const std::string& field)
    {
        return std::find(std::begin(secretFields), std::end(secretFields), field) != std::end(secretFields);
    }

    std::string shown(const std::string& field, const ordered_json& value)
    {
        if (isSecret(field))
            return "(set)";
        return value.is_string() ? value.get<std::string>() : value.dump();
    }

    std::string shownPart(const ordered_json& part)
    {
        ordered_json copy = part;
        for (auto& [field, value] : copy.items()) {
            if (isSecret(field))
                value = "(set)";
        }
        return copy.dump();
    }

    std::string nameOf(const std::string& section, const ordered_json& part)
    {
        return part.at(section == "rollouts" ? "model" : "name").get<std::string>();
    }

    const ordered_json* partNamed(const std::string& section, const ordered_json& parts, const std::string& name)
    {
        const auto found = std::find_if(parts.begin(), parts.end(), [&](const ordered_json& part) { return nameOf(section, part) == name; });
        return found == parts.end() ? nullptr : &*found;
    }

    bool contains(const ordered_json& list, const ordered_json& value)
    {
        return std::find(list.begin(), list.end(), value) != list.end();
    }

    // Collects the differences of two documents in their JSON form.
    class Comparison {
    public:
        std::vector<Difference> run(const ordered_json& before, const ordered_json& after)
        {
            for (const auto& [section, parts] : before.items())
                compareSections(section, parts, after.at(section));
            return std::move(m_differences);
        }

    private:
        void add(Change change, std::string path, std::string before, std::string after)
        {
            m_differences.push_back({ change, std::move(path), std::move(before), std::move(after) });
        }

        void compareSections(const std::string& section, const ordered_json& before, const ordered_json& after)
        {
            for (const auto& part : before) {
                const std::string name = nameOf(section, part);
                const std::string path = "/" + section + "/" + name;
                if (const ordered_json* other = partNamed(section, after, name))
                    compareParts(path, part, *other);
                else
                    add(Change::removed, path, shownPart(part), "");
            }
            for (const auto& part : after) {
                const std::string name = nameOf(section, part);
                if (!partNamed(section, before, name))
                    add(Change::added, "/" + section + "/" + name, "", shownPart(part));
            }
        }

        void compareParts(const std::string& path, const ordered_json& before, const ordered_json& after)
        {
            for (const auto& [field, value] : before.items()) {
                const ordered_json& other = after.at(field);
                if (value == other)
                    continue;
                const std::string fieldPath = path + "/" + field;
                const bool isSet = value.is_array() && field != "steps"; // The order of steps matters.
                if (!isSet || !compareSets(fieldPath, value, other))
                    add(Change::changed, fieldPath, shown(field, value), shown(field, other));
            }
        }

        // Returns whether the lists differ in more than their order.
        bool compareSets(const std::string& path, const ordered_json& before, const ordered_json& after)
        {
            const std::size_t found = m_differences.size();
            for (const auto& value : before) {
                if (!contains(after, value))
                    add(Change::removed, path, value.get<std::string>(), "");
            }
            for (const auto& value : after) {
                if (!contains(before, value))
                    add(Change::added, path, "", value.get<std::string>());
            }
            return m_differences.size() > found;
        }

        std::vector<Difference> m_differences;
    };

}

std::vector<Difference> diff(const Document& before, const Document& after)
{
    return Comparison().run(ordered_json::parse(toJson(before)), ordered_json::parse(toJson(after)));
}

std::string_view toText(Change change)
{
    switch (change) {
    case Change::added:
        return "added";
    case Change::removed:
        return "removed";
    case Change::changed:
        return "changed";
    }
    return {};
}

std::string toText(const Difference& difference)
{
    const std::string start = std::string(toText(difference.change)) + " " + difference.path + ": ";
    if (difference.change == Change::changed)
        return start + difference.before + " -> " + difference.after;
    return start + difference.before + difference.after;
}

}
