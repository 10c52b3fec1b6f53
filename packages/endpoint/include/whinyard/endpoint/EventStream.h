// A parser for server-sent events that arrive in parts cut at any byte.
//
// The engine client feeds it what the connection delivers.
// Source: WHATWG HTML, section 9.2 "Server-sent events"; of its fields only `id` and `data` are kept.
#pragma once

#include "whinyard/base/Error.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::endpoint {

// One event of a stream.
struct ServerSentEvent {
    std::string id; // Empty when the event names none.
    std::string data; // Several data lines are joined by a line feed.

    bool operator==(const ServerSentEvent&) const = default;
};

// Splits a byte stream into events. One event may hold at most `eventLimit` bytes.
class EventStreamParser {
public:
    static constexpr std::size_t eventLimit = 1024 * 1024;

    // Takes the next bytes. Returns false, with endpointFailed, when an event is over the limit.
    bool feed(std::string_view bytes, Failure& failure);

    // Returns the next complete event, or nothing when more bytes are needed.
    std::optional<ServerSentEvent> next();

private:
    void takeLine(std::string_view line);
    void finishEvent();

    std::string m_line; // The bytes of a line whose end has not arrived.
    ServerSentEvent m_event;
    bool m_hasData = false;
    bool m_skipLineFeed = false; // The last line ended with a carriage return.
    std::deque<ServerSentEvent> m_events;
};

}
