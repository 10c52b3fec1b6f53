#include "whinyard/endpoint/EventStream.h"

#include <utility>

namespace whinyard::endpoint {

bool EventStreamParser::feed(std::string_view bytes, Failure& failure)
{
    for (const char byte : bytes) {
        const bool secondOfPair = m_skipLineFeed && byte == '\n';
        m_skipLineFeed = byte == '\r';
        if (secondOfPair)
            continue;
        if (byte == '\n' || byte == '\r') {
            takeLine(m_line);
            m_line.clear();
            continue;
        }
        m_line.push_back(byte);
        if (m_line.size() + m_event.data.size() > eventLimit) {
            failure = { .kind = ErrorKind::endpointFailed, .reason = "an event of the stream is over its limit" };
            return false;
        }
    }
    return true;
}

std::optional<ServerSentEvent> EventStreamParser::next()
{
    if (m_events.empty())
        return std::nullopt;
    ServerSentEvent event = std::move(m_events.front());
    m_events.pop_front();
    return event;
}

void EventStreamParser::takeLine(std::string_view line)
{
    if (line.empty()) {
        finishEvent();
        return;
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (field == "id") {
        m_event.id = value;
    } else if (field == "data") {
        if (m_hasData)
            m_event.data.push_back('\n');
        m_event.data.append(value);
        m_hasData = true;
    }
}

void EventStreamParser::finishEvent()
{
    if (m_hasData)
        m_events.push_back(std::move(m_event));
    m_event = {};
    m_hasData = false;
}

}
