#include "whinyard/endpoint/EndpointStatement.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace whinyard::endpoint {

namespace {

    std::string_view trimmed(std::string_view text)
    {
        const std::size_t first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    // Reads a decimal number that isn't negative.
    std::optional<double> readDecimal(std::string_view text)
    {
        double number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, std::chars_format::fixed);
        const bool isWhole = error == std::errc {} && end == text.data() + text.size();
        return isWhole && std::isfinite(number) && number >= 0 ? std::optional(number) : std::nullopt;
    }

    std::chrono::milliseconds restOf(double seconds)
    {
        const std::chrono::duration<double> longest(longestRest);
        return std::chrono::ceil<std::chrono::milliseconds>(std::min(std::chrono::duration<double>(seconds), longest));
    }

}

EndpointStatement parseStatement(const StatementFields& fields)
{
    EndpointStatement statement;
    const std::string_view rate = trimmed(fields.rate);
    statement.requestsPerSecond = readDecimal(rate);
    statement.isRateUnreadable = !rate.empty() && !statement.requestsPerSecond;
    statement.isLeaving = trimmed(fields.leaving) == "1";
    statement.isBrittle = !trimmed(fields.brittle).empty();
    if (const std::string_view rest = trimmed(fields.rest); !rest.empty()) {
        const std::optional<double> seconds = readDecimal(rest);
        statement.isRestUnreadable = !seconds;
        statement.rest = seconds ? restOf(*seconds) : usualRest;
    }
    return statement;
}

}
