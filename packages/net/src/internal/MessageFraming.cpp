#include "internal/MessageFraming.h"

#include <boost/beast/core/string.hpp>

#include <string_view>
#include <vector>

namespace whinyard::net::internal {

namespace http = boost::beast::http;

namespace {

    constexpr std::string_view space = " \t";

    std::string_view trimmed(std::string_view text)
    {
        const auto first = text.find_first_not_of(space);
        return first == std::string_view::npos ? std::string_view() : text.substr(first, text.find_last_not_of(space) - first + 1);
    }

    // Returns the elements of all the fields as one list.
    std::vector<std::string_view> codingsOf(const http::fields& fields)
    {
        std::vector<std::string_view> codings;
        const auto [begin, end] = fields.equal_range(http::field::transfer_encoding);
        for (auto field = begin; field != end; ++field) {
            std::string_view rest(field->value().data(), field->value().size());
            for (auto comma = rest.find(','); comma != std::string_view::npos; comma = rest.find(',')) {
                codings.push_back(trimmed(rest.substr(0, comma)));
                rest.remove_prefix(comma + 1);
            }
            codings.push_back(trimmed(rest));
        }
        return codings;
    }

    bool isChunked(std::string_view coding)
    {
        return boost::beast::iequals({ coding.data(), coding.size() }, "chunked");
    }

}

FramingFault framingFault(const http::fields& fields, unsigned version)
{
    constexpr unsigned version11 = 11;
    const std::vector<std::string_view> codings = codingsOf(fields);
    if (codings.empty())
        return FramingFault::none;
    const bool hasLength = fields.find(http::field::content_length) != fields.end();
    if (version < version11 || hasLength || !isChunked(codings.back()))
        return FramingFault::ambiguous;
    for (std::size_t i = 0; i + 1 < codings.size(); ++i) {
        if (codings[i].empty() || isChunked(codings[i]))
            return FramingFault::ambiguous;
    }
    return codings.size() == 1 ? FramingFault::none : FramingFault::unknownCoding;
}

}
