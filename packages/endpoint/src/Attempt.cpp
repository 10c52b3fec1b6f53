#include "whinyard/endpoint/Attempt.h"

#include <charconv>

namespace whinyard::endpoint {

std::string toText(const AttemptId& attempt)
{
    return toText(attempt.request) + "-" + std::to_string(attempt.number);
}

std::optional<AttemptId> parseAttemptId(std::string_view text)
{
    const std::size_t dash = text.rfind('-');
    if (dash == std::string_view::npos)
        return std::nullopt;
    const std::optional<RequestId> request = parseRequestId(text.substr(0, dash));
    if (!request)
        return std::nullopt;
    const std::string_view digits = text.substr(dash + 1);
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
    if (error != std::errc {} || end != digits.data() + digits.size())
        return std::nullopt;
    return AttemptId { *request, number };
}

RunState runStateOf(const AttemptAccount& account)
{
    if (account.bytesWritten == 0 || account.refusedAsLeaving)
        return RunState::notRun;
    return account.answeredWhole ? RunState::ran : RunState::unknown;
}

}
