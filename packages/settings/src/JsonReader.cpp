#include "whinyard/settings/JsonReader.h"

#include "whinyard/base/Json.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <sstream>

namespace whinyard::settings {

namespace {

    using nlohmann::json;

    constexpr std::size_t longestShownValue = 60;
    constexpr std::size_t longestName = 64;

    std::string escapedToken(std::string_view key)
    {
        std::string token;
        for (const char character : key) {
            if (character == '~')
                token += "~0";
            else if (character == '/')
                token += "~1";
            else
                token += character;
        }
        return token;
    }

    std::string shown(const json& value)
    {
        std::string text = value.dump(-1, ' ', true, json::error_handler_t::replace);
        if (text.size() > longestShownValue)
            text = text.substr(0, longestShownValue) + "...";
        return text;
    }

    // Finds keys that stand twice in an object, which the library would silently overwrite.
    class DuplicateFinder {
    public:
        explicit DuplicateFinder(std::vector<JsonFault>& faults)
            : m_faults(faults)
        {
        }

        void take(json::parse_event_t event, const json& parsed)
        {
            switch (event) {
            case json::parse_event_t::object_start:
            case json::parse_event_t::array_start:
                m_frames.push_back({ event == json::parse_event_t::array_start, 0, {}, {} });
                return;
            case json::parse_event_t::object_end:
            case json::parse_event_t::array_end:
                m_frames.pop_back();
                finishElement();
                return;
            case json::parse_event_t::value:
                finishElement();
                return;
            case json::parse_event_t::key:
                takeKey(parsed.get<std::string>());
                return;
            }
        }

    private:
        struct Frame {
            bool isArray = false;
            std::size_t index = 0;
            std::string key;
            std::set<std::string> keys;
        };

        void finishElement()
        {
            if (!m_frames.empty() && m_frames.back().isArray)
                ++m_frames.back().index;
        }

        void takeKey(const std::string& key)
        {
            Frame& frame = m_frames.back();
            frame.key = key;
            if (!frame.keys.insert(key).second)
                m_faults.push_back({ path(), "found twice; allowed: once" });
        }

        std::string path() const
        {
            std::string path;
            for (const Frame& frame : m_frames)
                path += "/" + (frame.isArray ? std::to_string(frame.index) : escapedToken(frame.key));
            return path;
        }

        std::vector<JsonFault>& m_faults;
        std::vector<Frame> m_frames;
    };

    JsonFault syntaxFault(std::string_view text, const json::parse_error& error)
    {
        const std::size_t end = std::min(error.byte == 0 ? std::size_t { 0 } : error.byte - 1, text.size());
        const std::string_view before = text.substr(0, end);
        const auto line = 1 + std::count(before.begin(), before.end(), '\n');
        const std::size_t lineStart = before.rfind('\n') == std::string_view::npos ? 0 : before.rfind('\n') + 1;
        std::string detail = error.what();
        if (const auto found = detail.find("syntax error"); found != std::string::npos)
            detail = detail.substr(found);
        return { "", "line " + std::to_string(line) + ", column " + std::to_string(end - lineStart + 1) + ": " + detail + "; allowed: JSON with comments" };
    }

    bool hasControlCharacter(const std::string& text)
    {
        return std::any_of(text.begin(), text.end(), [](unsigned char character) { return character < 0x20 || character == 0x7F; });
    }

    std::string rangeText(std::string_view what, const std::string& least, const std::string& greatest)
    {
        return std::string(what) + " from " + least + " to " + greatest;
    }

    std::string numberText(double value)
    {
        std::ostringstream text;
        text << value;
        return text.str();
    }

    std::string joined(const std::vector<std::string_view>& names)
    {
        std::string text;
        for (const std::string_view name : names)
            text += (text.empty() ? "" : ", ") + std::string(name);
        return text;
    }

}

std::optional<json> parseJson(std::string_view text, std::vector<JsonFault>& faults)
{
    const std::size_t before = faults.size();
    DuplicateFinder duplicates(faults);
    struct NestedTooDeeply { };
    const auto take = [&](int depth, json::parse_event_t event, json& parsed) {
        if (depth > static_cast<int>(deepestJson))
            throw NestedTooDeeply();
        duplicates.take(event, parsed);
        return true;
    };
    try {
        json value = json::parse(text.begin(), text.end(), take, true, true);
        if (faults.size() == before)
            return value;
    } catch (const json::parse_error& error) {
        faults.push_back(syntaxFault(text, error));
    } catch (const json::exception& error) {
        faults.push_back({ "", error.what() });
    } catch (const NestedTooDeeply&) {
        faults.push_back({ "", "found more than " + std::to_string(deepestJson) + " levels; allowed: as many" });
    }
    return std::nullopt;
}

bool isName(std::string_view text)
{
    const auto isAlphanumeric = [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') || (character >= '0' && character <= '9');
    };
    if (text.empty() || text.size() > longestName || !isAlphanumeric(text.front()))
        return false;
    return std::all_of(text.begin(), text.end(), [&](char character) {
        return isAlphanumeric(character) || character == '.' || character == '_' || character == '-';
    });
}

JsonObject::JsonObject(const json& value, std::string path, std::vector<JsonFault>& faults)
    : m_value(value)
    , m_path(std::move(path))
    , m_faults(faults)
{
    if (!value.is_object())
        m_faults.push_back({ m_path, "found " + shown(value) + "; allowed: an object" });
}

bool JsonObject::has(std::string_view key) const
{
    return m_value.is_object() && m_value.find(key) != m_value.end();
}

std::string JsonObject::pathOf(std::string_view key) const
{
    return m_path + "/" + escapedToken(key);
}

void JsonObject::fault(std::string_view key, std::string message)
{
    m_faults.push_back({ pathOf(key), std::move(message) });
}

const json* JsonObject::find(std::string_view key, Presence presence)
{
    m_known.emplace_back(key);
    if (!m_value.is_object())
        return nullptr;
    const auto found = m_value.find(key);
    if (found != m_value.end())
        return &*found;
    if (presence == Presence::required)
        fault(key, "found nothing; this key is required");
    return nullptr;
}

void JsonObject::wrongValue(std::string_view key, const json& found, std::string_view allowed)
{
    fault(key, "found " + shown(found) + "; allowed: " + std::string(allowed));
}

void JsonObject::text(std::string_view key, std::string& target, Presence presence, std::size_t longest)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    const auto* value = found->get_ptr<const std::string*>();
    if (value && value->size() <= longest && !hasControlCharacter(*value))
        target = *value;
    else
        wrongValue(key, *found, "a text of at most " + std::to_string(longest) + " bytes without control characters");
}

namespace {

    constexpr std::string_view nameRule = "a name of 1 to 64 letters, digits, '.', '_' and '-' that starts with a letter or digit";

}

void JsonObject::nameText(std::string_view key, std::string& target, Presence presence)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    const auto* value = found->get_ptr<const std::string*>();
    if (value && isName(*value))
        target = *value;
    else
        wrongValue(key, *found, nameRule);
}

void JsonObject::hexadecimal(std::string_view key, std::string& target, Presence presence, Range<std::size_t> digits)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    const auto* value = found->get_ptr<const std::string*>();
    const bool isRight = value && value->size() >= digits.least && value->size() <= digits.greatest && value->size() % 2 == 0
        && value->find_first_not_of("0123456789abcdef") == std::string::npos;
    if (isRight)
        target = *value;
    else
        wrongValue(key, *found, rangeText("an even number of hexadecimal digits 0-9 and a-f,", std::to_string(digits.least), std::to_string(digits.greatest)));
}

void JsonObject::nameTexts(std::string_view key, std::vector<std::string>& target, Presence presence)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    if (!found->is_array()) {
        wrongValue(key, *found, "a list of names");
        return;
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        const json& element = (*found)[index];
        const std::string path = pathOf(key) + "/" + std::to_string(index);
        const auto* value = element.get_ptr<const std::string*>();
        if (!value || !isName(*value))
            m_faults.push_back({ path, "found " + shown(element) + "; allowed: " + std::string(nameRule) });
        else if (std::find(target.begin(), target.end(), *value) != target.end())
            m_faults.push_back({ path, "found " + shown(element) + " a second time; allowed: once" });
        else
            target.push_back(*value);
    }
}

void JsonObject::boolean(std::string_view key, bool& target, Presence presence)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    if (found->is_boolean())
        target = found->get<bool>();
    else
        wrongValue(key, *found, "true or false");
}

void JsonObject::number(std::string_view key, double& target, Presence presence, Range<double> range)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    const double value = found->is_number() ? found->get<double>() : std::nan("");
    if (value >= range.least && value <= range.greatest)
        target = value;
    else
        wrongValue(key, *found, rangeText("a number", numberText(range.least), numberText(range.greatest)));
}

void JsonObject::readInteger(std::string_view key, std::uint64_t& target, Presence presence, Range<std::uint64_t> range)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    if (found->is_number_unsigned()) {
        const auto value = found->get<std::uint64_t>();
        if (value >= range.least && value <= range.greatest) {
            target = value;
            return;
        }
    }
    wrongValue(key, *found, rangeText("an integer", std::to_string(range.least), std::to_string(range.greatest)));
}

void JsonObject::milliseconds(std::string_view key, std::chrono::milliseconds& target, Presence presence, Range<std::chrono::milliseconds> range)
{
    auto count = static_cast<std::uint64_t>(target.count());
    readInteger(key, count, presence, { static_cast<std::uint64_t>(range.least.count()), static_cast<std::uint64_t>(range.greatest.count()) });
    target = std::chrono::milliseconds(count);
}

std::optional<std::size_t> JsonObject::readChoice(std::string_view key, Presence presence, const std::vector<std::string_view>& names)
{
    const json* found = find(key, presence);
    if (!found)
        return std::nullopt;
    if (const auto* value = found->get_ptr<const std::string*>()) {
        const auto position = std::find(names.begin(), names.end(), *value);
        if (position != names.end())
            return static_cast<std::size_t>(position - names.begin());
    }
    wrongValue(key, *found, "one of " + joined(names));
    return std::nullopt;
}

void JsonObject::object(std::string_view key, Presence presence, const std::function<void(JsonObject&)>& read)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    JsonObject inner(*found, pathOf(key), m_faults);
    if (!found->is_object())
        return;
    read(inner);
    inner.finish();
}

void JsonObject::objects(std::string_view key, Presence presence, const std::function<void(JsonObject&)>& read)
{
    const json* found = find(key, presence);
    if (!found)
        return;
    if (!found->is_array()) {
        wrongValue(key, *found, "a list of objects");
        return;
    }
    for (std::size_t index = 0; index < found->size(); ++index) {
        JsonObject inner((*found)[index], pathOf(key) + "/" + std::to_string(index), m_faults);
        read(inner);
        inner.finish();
    }
}

void JsonObject::finish()
{
    if (!m_value.is_object())
        return;
    const std::vector<std::string_view> known(m_known.begin(), m_known.end());
    for (const auto& [key, value] : m_value.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end())
            fault(key, "unknown key; allowed here: " + joined(known));
    }
}

std::string toText(const std::vector<JsonFault>& faults)
{
    std::string text;
    for (const JsonFault& fault : faults) {
        if (!text.empty())
            text += "\n";
        text += fault.path.empty() ? fault.message : fault.path + ": " + fault.message;
    }
    return text;
}

}
