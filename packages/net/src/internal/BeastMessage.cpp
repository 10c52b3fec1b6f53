#include "internal/BeastMessage.h"

#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>

namespace whinyard::net::internal {

namespace http = boost::beast::http;

namespace {

    // RFC 9110, section 7.6.1, and the framing that the transport computes itself.
    bool belongsToConnection(http::field field)
    {
        switch (field) {
        case http::field::connection:
        case http::field::content_length:
        case http::field::keep_alive:
        case http::field::proxy_connection:
        case http::field::te:
        case http::field::trailer:
        case http::field::transfer_encoding:
        case http::field::upgrade:
        case http::field::expect:
            return true;
        default:
            return false;
        }
    }

    bool isToken(std::string_view name)
    {
        static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
        return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char c) {
            const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
            return letter || (c >= '0' && c <= '9') || marks.find(static_cast<char>(c)) != std::string_view::npos;
        });
    }

    bool isFieldText(std::string_view value)
    {
        return std::none_of(value.begin(), value.end(), [](unsigned char c) { return (c < 0x20 && c != '\t') || c == 0x7f; });
    }

}

std::vector<HttpField> plainFields(const http::fields& fields)
{
    http::token_list named(fields[http::field::connection]);
    std::vector<HttpField> plain;
    for (const auto& field : fields) {
        if (!belongsToConnection(field.name()) && !named.exists(field.name_string()))
            plain.push_back(HttpField { std::string(field.name_string()), std::string(field.value()) });
    }
    return plain;
}

void addFields(http::fields& target, const std::vector<HttpField>& fields)
{
    for (const HttpField& field : fields) {
        const http::field known = http::string_to_field(field.name);
        if (belongsToConnection(known) || !isToken(field.name) || !isFieldText(field.value))
            continue;
        target.insert(known, field.name, field.value);
    }
}

}
