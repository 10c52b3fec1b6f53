// The identity of one attempt of a request at an endpoint, and the account of what was sent for it.
//
// The clients of engines and plain services fill the account; the router decides from it alone
// whether a request can have run.
#pragma once

#include "whinyard/base/Error.h"
#include "whinyard/base/Identity.h"
#include "whinyard/endpoint/EndpointStatement.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::endpoint {

// Names one attempt. Attempts of a request are numbered from 1.
struct AttemptId {
    RequestId request;
    std::uint32_t number = 0;

    auto operator<=>(const AttemptId&) const = default;
};

// Writes `<request>-<number>`, as it stands in the field X-Attempt.
std::string toText(const AttemptId& attempt);

// Reads what toText() wrote; returns nothing for any other text.
std::optional<AttemptId> parseAttemptId(std::string_view text);

// What is known of one attempt. An attempt has certainly not run when no byte was written, or when
// the endpoint refused it as leaving, which the protocol allows only before any of it runs.
struct AttemptAccount {
    std::size_t bytesWritten = 0;
    bool answerStarted = false;
    bool answeredWhole = false;
    bool refusedAsLeaving = false;
    bool endsWithConnection = false; // The answer states no end; see net::HttpStream::endsWithConnection().
    std::optional<EndpointStatement> statement {}; // In the head of the answer; nothing without one.
};

// Returns what one attempt's account proves about its execution.
RunState runStateOf(const AttemptAccount& account);

}
