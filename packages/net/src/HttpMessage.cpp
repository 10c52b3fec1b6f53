#include "whinyard/net/HttpMessage.h"

#include <algorithm>
#include <cctype>

namespace whinyard::net {

namespace {

    bool equalIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](unsigned char a, unsigned char b) {
            return std::tolower(a) == std::tolower(b);
        });
    }

    int hexDigit(char character)
    {
        if (character >= '0' && character <= '9')
            return character - '0';
        if (character >= 'a' && character <= 'f')
            return character - 'a' + 10;
        if (character >= 'A' && character <= 'F')
            return character - 'A' + 10;
        return -1;
    }

    // Decodes percent escapes and plus signs; a broken escape stays as it is.
    std::string decodeQuery(std::string_view text)
    {
        std::string decoded;
        for (std::size_t i = 0; i < text.size(); ++i) {
            const bool escape = text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0;
            if (escape) {
                decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
                i += 2;
            } else {
                decoded.push_back(text[i] == '+' ? ' ' : text[i]);
            }
        }
        return decoded;
    }

}

std::string_view fieldValue(const std::vector<HttpField>& fields, std::string_view name)
{
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const HttpField& field) { return equalIgnoringCase(field.name, name); });
    return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

std::string queryValue(std::string_view target, std::string_view name)
{
    const auto question = target.find('?');
    if (question == std::string_view::npos)
        return {};
    std::string_view query = target.substr(question + 1);
    query = query.substr(0, query.find('#'));
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (decodeQuery(pair.substr(0, equals)) == name)
            return equals == std::string_view::npos ? std::string() : decodeQuery(pair.substr(equals + 1));
    }
    return {};
}

}
