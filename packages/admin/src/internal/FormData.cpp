#include "internal/FormData.h"

#include "whinyard/net/HttpMessage.h"

#include <algorithm>

namespace whinyard::admin {

namespace {

    // A form's encoding is that of a query.
    std::string decode(std::string_view text)
    {
        return net::queryValue("?x=" + std::string(text), "x");
    }

}

FormData::FormData(std::string_view body)
{
    while (!body.empty()) {
        const std::string_view pair = body.substr(0, body.find('&'));
        body.remove_prefix(std::min(body.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos)
            m_fields.emplace_back(decode(pair.substr(0, equals)), decode(pair.substr(equals + 1)));
    }
}

std::string FormData::value(std::string_view name) const
{
    const auto found = std::find_if(m_fields.begin(), m_fields.end(), [&](const auto& field) { return field.first == name; });
    return found == m_fields.end() ? std::string() : found->second;
}

std::vector<std::string> FormData::values(std::string_view name) const
{
    std::vector<std::string> found;
    for (const auto& [key, text] : m_fields) {
        if (key == name && !text.empty())
            found.push_back(text);
    }
    return found;
}

}
