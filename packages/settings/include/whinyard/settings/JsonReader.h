// A strict reader of JSON with comments: every unknown key, missing key, wrong type and value out of
// range is reported at its JSON path, all of them in one pass.
//
// The settings, the operators' configuration, the operators file and the administration API read with it.
#pragma once

#include "whinyard/base/Identity.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace whinyard::settings {

// One fault of a JSON text.
struct JsonFault {
    std::string path; // A JSON pointer (RFC 6901), for example "/limits/bodyBytes"; empty for the whole text.
    std::string message; // The value found and what is allowed.

    bool operator==(const JsonFault&) const = default;
};

// Whether a key must be there.
enum class Presence : std::uint8_t {
    required,
    optional, // The target keeps its value when the key is absent.
};

// The least and the greatest value allowed, both included.
template <typename T>
struct Range {
    T least;
    T greatest;
};

// A name of an enumerator in a file.
template <typename Enum>
struct Choice {
    std::string_view name;
    Enum value;
};

// Parses JSON with comments. A syntax fault names line and column; a key that stands twice in an
// object is a fault as well. Returns nothing when there is any fault.
std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<JsonFault>& faults);

// Returns whether `text` can be a name: 1 to 64 letters, digits, '.', '_' and '-', starting with a
// letter or digit.
bool isName(std::string_view text);

// Reads the keys of one object. Each reading function takes a key's value into its target if the
// value is right, and else records a fault. Call finish() after the last key.
class JsonObject {
public:
    // `value`, `path`'s referent and `faults` must outlive the reader.
    JsonObject(const nlohmann::json& value, std::string path, std::vector<JsonFault>& faults);

    // Returns whether the key stands in the object.
    bool has(std::string_view key) const;

    // Returns the path of a key of this object.
    std::string pathOf(std::string_view key) const;

    // Records a fault at a key, for rules that only the caller knows.
    void fault(std::string_view key, std::string message);

    // Reads a text without control characters, of at most `longest` bytes.
    void text(std::string_view key, std::string& target, Presence presence, std::size_t longest = 1'000);

    // Reads an even number of hexadecimal digits 0-9 and a-f.
    void hexadecimal(std::string_view key, std::string& target, Presence presence, Range<std::size_t> digits);

    // Reads a text that isName() accepts.
    void nameText(std::string_view key, std::string& target, Presence presence);

    void boolean(std::string_view key, bool& target, Presence presence);
    void number(std::string_view key, double& target, Presence presence, Range<double> range);

    // Reads a list of numbers, at least one. Returns false, and does nothing, if the key doesn't hold a list.
    bool numbers(std::string_view key, std::vector<double>& target, Range<double> range);

    // Reads a list of names, each at most once.
    void nameTexts(std::string_view key, std::vector<std::string>& target, Presence presence);

    template <typename Tag>
    void name(std::string_view key, Name<Tag>& target, Presence presence)
    {
        nameText(key, target.value, presence);
    }

    template <typename Tag>
    void names(std::string_view key, std::vector<Name<Tag>>& target, Presence presence)
    {
        std::vector<std::string> texts;
        nameTexts(key, texts, presence);
        if (!has(key))
            return;
        target.clear();
        for (std::string& value : texts)
            target.push_back(Name<Tag> { std::move(value) });
    }

    template <typename Integer>
    void integer(std::string_view key, Integer& target, Presence presence, Range<Integer> range)
    {
        static_assert(std::is_unsigned_v<Integer>);
        std::uint64_t value = target;
        readInteger(key, value, presence, { range.least, range.greatest });
        target = static_cast<Integer>(value);
    }

    // Reads an integer count of milliseconds; the key ends in "Ms".
    void milliseconds(std::string_view key, std::chrono::milliseconds& target, Presence presence, Range<std::chrono::milliseconds> range);

    // Reads one of the names of `choices`.
    template <typename Enum, std::size_t count>
    void choice(std::string_view key, Enum& target, Presence presence, const Choice<Enum> (&choices)[count])
    {
        std::vector<std::string_view> names;
        for (const auto& candidate : choices)
            names.push_back(candidate.name);
        if (const auto index = readChoice(key, presence, names))
            target = choices[*index].value;
    }

    // Reads an object within this one; `read` is called if it is there, and finish() after it.
    void object(std::string_view key, Presence presence, const std::function<void(JsonObject&)>& read);

    // Reads a list of objects, each as object() does.
    void objects(std::string_view key, Presence presence, const std::function<void(JsonObject&)>& read);

    // Records a fault for each key that was never asked for.
    void finish();

private:
    // Returns the key's value, or null after recording its absence where it is required.
    const nlohmann::json* find(std::string_view key, Presence presence);
    void readInteger(std::string_view key, std::uint64_t& target, Presence presence, Range<std::uint64_t> range);
    std::optional<std::size_t> readChoice(std::string_view key, Presence presence, const std::vector<std::string_view>& names);
    void wrongValue(std::string_view key, const nlohmann::json& found, std::string_view allowed);

    const nlohmann::json& m_value;
    const std::string m_path;
    std::vector<JsonFault>& m_faults;
    std::vector<std::string> m_known; // The keys that were asked for.
};

// Writes faults as one text, one a line.
std::string toText(const std::vector<JsonFault>& faults);

// Returns the name of an enumerator among `choices`.
template <typename Enum, std::size_t count>
std::string_view choiceName(Enum value, const Choice<Enum> (&choices)[count])
{
    for (const auto& candidate : choices) {
        if (candidate.value == value)
            return candidate.name;
    }
    return {};
}

}
