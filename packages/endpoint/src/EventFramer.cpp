#include "whinyard/endpoint/EventFramer.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace whinyard::endpoint {

EventFramer::EventFramer(std::optional<std::uint64_t> after)
    : m_lastId(after)
{
}

FramedEvents EventFramer::feed(std::string_view bytes)
{
    std::size_t from = m_rest.size(); // No event ends before.
    m_rest += bytes;
    FramedEvents events;
    std::size_t begin = 0;
    while (const std::size_t length = eventLength(std::string_view(m_rest).substr(begin), std::exchange(from, 0))) {
        const std::optional<std::uint64_t> id = idOf(std::string_view(m_rest).substr(begin, length));
        if (id && m_lastId && *id <= *m_lastId) {
            events.outOfOrder = true;
            break;
        }
        if (id)
            m_lastId = id;
        begin += length;
        ++events.count;
    }
    events.bytes = m_rest.substr(0, begin);
    events.lastId = m_lastId;
    m_rest.erase(0, begin);
    return events;
}

std::size_t EventFramer::eventLength(std::string_view text, std::size_t from)
{
    for (std::size_t position = text.find('\n', from); position != std::string_view::npos; position = text.find('\n', position + 1)) {
        const std::size_t lineEnd = position > 0 && text[position - 1] == '\r' ? position - 1 : position;
        if (lineEnd == 0 || text[lineEnd - 1] == '\n')
            return position + 1;
    }
    return 0;
}

std::optional<std::uint64_t> EventFramer::idOf(std::string_view event)
{
    static constexpr std::string_view field = "id:";
    std::size_t begin = 0;
    while (begin < event.size()) {
        const std::size_t end = std::min(event.find('\n', begin), event.size());
        std::string_view line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(field))
            continue;
        line.remove_prefix(field.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        const auto [last, error] = std::from_chars(line.data(), line.data() + line.size(), id);
        const bool wholeLine = last == line.data() + line.size() || *last == '\r';
        return error == std::errc {} && wholeLine ? std::optional(id) : std::nullopt;
    }
    return std::nullopt;
}

}
