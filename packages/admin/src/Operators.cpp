#include "whinyard/admin/Operators.h"

#include "whinyard/base/Encoding.h"
#include "whinyard/config/Document.h"
#include "whinyard/settings/JsonReader.h"

#include <fstream>
#include <iterator>
#include <set>

namespace whinyard::admin {

namespace {

    using settings::JsonObject;
    using settings::Presence;

    constexpr settings::Range<std::size_t> saltDigits { 16, 128 };
    constexpr settings::Range<std::size_t> digestDigits { 64, 64 };
    constexpr std::size_t longestAuthorization = 2'000;
    constexpr settings::Choice<Role> roles[] {
        { "view", Role::view },
        { "change", Role::change },
    };

    std::vector<Operator> readOperators(JsonObject& object)
    {
        std::vector<Operator> operators;
        std::set<std::string> names;
        object.objects("operators", Presence::required, [&](JsonObject& entry) {
            Operator one;
            entry.nameText("name", one.name, Presence::required);
            entry.choice("role", one.role, Presence::required, roles);
            entry.hexadecimal("keySalt", one.keySalt, Presence::required, saltDigits);
            entry.hexadecimal("keyDigest", one.keyDigest, Presence::required, digestDigits);
            if (!names.insert(one.name).second)
                entry.fault("name", "found \"" + one.name + "\" a second time; allowed: once");
            operators.push_back(std::move(one));
        });
        object.finish();
        return operators;
    }

    // Returns "name:key" of an Authorization field.
    std::optional<std::string> credentialsOf(std::string_view authorization)
    {
        constexpr std::string_view bearer = "Bearer ";
        constexpr std::string_view basic = "Basic ";
        if (authorization.size() > longestAuthorization)
            return std::nullopt;
        if (authorization.starts_with(bearer))
            return std::string(authorization.substr(bearer.size()));
        if (authorization.starts_with(basic))
            return decodeBase64(authorization.substr(basic.size()));
        return std::nullopt;
    }

}

std::optional<std::vector<Operator>> parseOperators(std::string_view text, std::string_view file, Failure& failure)
{
    std::vector<settings::JsonFault> faults;
    std::vector<Operator> operators;
    if (const auto json = settings::parseJson(text, faults)) {
        JsonObject object(*json, "", faults);
        operators = readOperators(object);
    }
    if (faults.empty())
        return operators;
    failure = { ErrorKind::invalidSettings, std::string(file) + ": " + settings::toText(faults) };
    return std::nullopt;
}

std::optional<std::vector<Operator>> loadOperators(const std::string& file, Failure& failure)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream.is_open()) {
        failure = { ErrorKind::invalidSettings, file + " can't be opened" };
        return std::nullopt;
    }
    const std::string text(std::istreambuf_iterator<char>(stream), {});
    return parseOperators(text, file, failure);
}

const Operator* authenticateOperator(const std::vector<Operator>& operators, std::string_view authorization)
{
    const auto credentials = credentialsOf(authorization);
    if (!credentials)
        return nullptr;
    const std::size_t colon = credentials->find(':');
    if (colon == std::string::npos)
        return nullptr;
    const std::string_view name = std::string_view(*credentials).substr(0, colon);
    const std::string_view key = std::string_view(*credentials).substr(colon + 1);
    const Operator* found = nullptr;
    for (const Operator& one : operators) {
        const bool matches = config::keyMatches(one.keySalt, one.keyDigest, key);
        if (matches && one.name == name)
            found = &one;
    }
    return found;
}

}
