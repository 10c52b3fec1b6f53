// What the parts of a forwarded request's run share: the text of a duration in log lines, and a bound.
#pragma once

#include <chrono>
#include <string>

namespace whinyard::router {

// A shorter rest of the deadline is not worth another attempt.
inline constexpr std::chrono::milliseconds shortestAttempt { 20 };

// Returns whole milliseconds.
inline std::string text(std::chrono::nanoseconds duration)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}
