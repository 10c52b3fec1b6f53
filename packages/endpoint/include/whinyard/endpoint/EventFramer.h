// Cuts a stream of server-sent events into whole events without changing a byte of them.
//
// The forwarding path passes an endpoint's events on as they are, but only whole ones, and remembers the identity of
// the last, from which a broken stream resumes.
// Source: WHATWG HTML, section 9.2 "Server-sent events".
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace whinyard::endpoint {

// One or more whole events, as they arrived.
struct FramedEvents {
    std::string bytes; // Each event with the blank line that ends it.
    std::uint32_t count = 0;
    std::optional<std::uint64_t> lastId; // Of the last event that names one as a number.
    bool outOfOrder = false; // An identity isn't above the one before it, in these or earlier events.
};

class EventFramer {
public:
    // Many times the longest event of an engine.
    static constexpr std::size_t largestEvent = 256 * 1024;

    // `after` is the identity that the first event has to be above.
    explicit EventFramer(std::optional<std::uint64_t> after = std::nullopt);

    // Takes the next bytes and returns the events that they complete, if any. Events after one that is out of order
    // are not returned.
    FramedEvents feed(std::string_view bytes);

    // Returns whether the bytes so far end between two events.
    bool isWhole() const { return m_rest.empty(); }

    // Returns whether an event is larger than it may be: the stream can't go on.
    bool isOverLimit() const { return m_rest.size() > largestEvent; }

private:
    // Returns the length of the first event of `text` with its blank line; 0 while it isn't complete. Its last byte lies at `from` or
    // behind.
    static std::size_t eventLength(std::string_view text, std::size_t from);
    static std::optional<std::uint64_t> idOf(std::string_view event);

    std::string m_rest; // The beginning of an event whose end has not arrived.
    std::optional<std::uint64_t> m_lastId;
};

}
