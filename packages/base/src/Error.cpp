#include "whinyard/base/Error.h"

#include <array>
#include <nlohmann/json.hpp>

namespace whinyard {

namespace {

    constexpr std::array<ErrorAnswer, errorKindCount> answers { {
        { ErrorKind::malformedRequest, "malformedRequest", 400, false },
        { ErrorKind::bodyTooLarge, "bodyTooLarge", 413, false },
        { ErrorKind::requestTimeout, "requestTimeout", 408, true },
        { ErrorKind::unauthenticated, "unauthenticated", 401, false },
        { ErrorKind::forbidden, "forbidden", 403, false },
        { ErrorKind::unknownRoute, "unknownRoute", 404, false },
        { ErrorKind::unknownModel, "unknownModel", 404, false },
        { ErrorKind::unknownService, "unknownService", 404, false },
        { ErrorKind::versionNotAllowed, "versionNotAllowed", 403, false },
        { ErrorKind::versionWithdrawn, "versionWithdrawn", 410, false },
        { ErrorKind::keyRequired, "keyRequired", 400, false },
        { ErrorKind::keyReused, "keyReused", 422, false },
        { ErrorKind::stillRunning, "stillRunning", 409, true },
        { ErrorKind::outcomeUnknown, "outcomeUnknown", 409, false },
        { ErrorKind::limitExceeded, "limitExceeded", 429, true },
        { ErrorKind::overloaded, "overloaded", 503, true },
        { ErrorKind::deadlineExceeded, "deadlineExceeded", 504, true },
        { ErrorKind::noEndpoint, "noEndpoint", 503, true },
        { ErrorKind::endpointFailed, "endpointFailed", 502, true },
        { ErrorKind::queryOfDeath, "queryOfDeath", 400, false },
        { ErrorKind::answerCut, "answerCut", 502, true },
        { ErrorKind::configurationStale, "configurationStale", 503, true },
        { ErrorKind::storeUnavailable, "storeUnavailable", 503, true },
        { ErrorKind::storeUncertain, "storeUncertain", 503, true },
        { ErrorKind::swapConflict, "swapConflict", 409, true },
        { ErrorKind::notFound, "notFound", 404, false },
        { ErrorKind::corruptRecord, "corruptRecord", 500, false },
        { ErrorKind::invalidConfiguration, "invalidConfiguration", 422, false },
        { ErrorKind::invalidSettings, "invalidSettings", 400, false },
        { ErrorKind::peerUnreachable, "peerUnreachable", 502, true },
        { ErrorKind::shuttingDown, "shuttingDown", 503, true },
        { ErrorKind::cancelled, "cancelled", 499, false },
        { ErrorKind::internalError, "internalError", 500, false },
    } };

    constexpr bool rowsStandInOrder()
    {
        for (std::size_t row = 0; row < answers.size(); ++row) {
            if (static_cast<std::size_t>(answers[row].kind) != row)
                return false;
        }
        return true;
    }

    static_assert(rowsStandInOrder(), "the table has a row for each kind, in the order of the kinds");

}

const ErrorAnswer& answerFor(ErrorKind kind)
{
    return answers[static_cast<std::size_t>(kind)];
}

std::optional<ErrorKind> errorKindNamed(std::string_view name)
{
    for (const ErrorAnswer& answer : answers) {
        if (answer.name == name)
            return answer.kind;
    }
    return std::nullopt;
}

std::string errorBody(const Failure& failure)
{
    nlohmann::ordered_json error;
    error["kind"] = answerFor(failure.kind).name;
    error["message"] = failure.reason;
    error["notRun"] = failure.runState == RunState::notRun;
    error["retryAfterMs"] = failure.retryAfter.count();
    nlohmann::ordered_json body;
    body["error"] = std::move(error);
    return body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

}
