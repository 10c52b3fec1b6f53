// What an endpoint states of itself in the head of an answer, whatever became of the request.
//
// Codecs and clients, each with its own names of fields, have it parsed; EndpointDirectory keeps to it.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace whinyard::endpoint {

struct EndpointStatement {
    std::optional<double> requestsPerSecond; // That it takes from all instances together; nothing: any number.
    bool isRateUnreadable = false; // What the endpoint stated before still holds.
    bool isLeaving = false; // It takes no new work any more.
    std::chrono::milliseconds rest { 0 }; // For so long it wants no request of this instance.
    bool isRestUnreadable = false; // Then `rest` is the usual one.
    bool isBrittle = false; // Ends when it has to turn away more than few requests in a second for want of room.

    bool isUnreadable() const { return isRateUnreadable || isRestUnreadable; }

    bool operator==(const EndpointStatement&) const = default;
};

// The values of the fields that make a statement; empty where the answer has none.
struct StatementFields {
    std::string_view rate; // Requests a second, a decimal number.
    std::string_view leaving; // "1", where the endpoint leaves.
    std::string_view rest; // Seconds, a decimal number.
    std::string_view brittle {}; // Requests a second, a decimal number; one that can't be read stands for none.
};

// Stands for a rest that can't be read.
inline constexpr std::chrono::milliseconds usualRest { 1'000 };

// A longer rest counts as this one.
inline constexpr std::chrono::milliseconds longestRest { 600'000 };

// A number that is none, is negative or not finite marks its part of the statement as unreadable.
EndpointStatement parseStatement(const StatementFields& fields);

}
