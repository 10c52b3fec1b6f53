#include "whinyard/endpoint/EventFramer.h"

#include <algorithm>
#include <charconv>

namespace whinyard::endpoint {

EventFramer::EventFramer(std::optional<std::uint64_t> after)
    : m_lastId(after)
{
}

FramedEvents EventFramer::feed(std::string_view bytes)
{
    m_rest += bytes;
    FramedEvents events;
    std::size_t begin = 0;
    while (const std::size_t length = eventLength(std::string_view(m_rest).substr(begin))) {
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

std::size_t EventFramer::eventLength(std::string_view text)
{
    std::size_t lineBegin = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (text[position] != '\n')
            continue;
        const std::string_view line = text.substr(lineBegin, position - lineBegin);
        if (line.empty() || line == "\r")
            return position + 1;
        lineBegin = position + 1;
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
