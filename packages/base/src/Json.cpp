#include "whinyard/base/Json.h"

namespace whinyard {

bool isNestedTooDeeply(std::string_view text)
{
    std::size_t depth = 0;
    bool isInString = false;
    bool isEscaped = false;
    for (const char character : text) {
        if (isEscaped)
            isEscaped = false;
        else if (isInString && character == '\\')
            isEscaped = true;
        else if (character == '"')
            isInString = !isInString;
        else if (!isInString && (character == '[' || character == '{') && ++depth > deepestJson)
            return true;
        else if (!isInString && (character == ']' || character == '}') && depth > 0)
            --depth;
    }
    return false;
}

nlohmann::json parseUntrustedJson(std::string_view text)
{
    return isNestedTooDeeply(text) ? nlohmann::json(nlohmann::json::value_t::discarded) : nlohmann::json::parse(text, nullptr, false);
}

}
