#include "whinyard/base/Event.h"

#include "whinyard/base/Json.h"

#include <algorithm>
#include <array>

namespace whinyard {

namespace {

    constexpr std::array<std::string_view, eventKindCount> kindNames {
        "requestArrived",
        "gatePassed",
        "gateRefused",
        "sessionPinned",
        "sessionMoved",
        "planMade",
        "intentDurable",
        "attemptDispatched",
        "attemptFirstByte",
        "attemptFailed",
        "attemptFinished",
        "attemptResumed",
        "lateAnswerDropped",
        "retryPlanned",
        "cascadeStep",
        "ratingReceived",
        "outcomeDurable",
        "answeredFromRecord",
        "forwarded",
        "billRecorded",
        "billMirrored",
        "billDurable",
        "answerCompleted",
        "answerRefused",
        "answerCut",
        "callerGone",
        "eventsLost",
    };

    std::optional<EventKind> kindNamed(std::string_view name)
    {
        const auto found = std::find(kindNames.begin(), kindNames.end(), name);
        if (found == kindNames.end())
            return std::nullopt;
        return static_cast<EventKind>(found - kindNames.begin());
    }

    std::optional<Event> readEvent(const nlohmann::json& json)
    {
        const auto kind = kindNamed(json.at("event").get<std::string>());
        const auto request = parseRequestId(json.at("request").get<std::string>());
        if (!kind || !request)
            return std::nullopt;
        Event event;
        event.at = { std::chrono::microseconds(json.at("physicalUs").get<std::int64_t>()), json.at("logical").get<std::uint32_t>() };
        event.instance.value = json.at("instance").get<std::string>();
        event.incarnation.number = json.at("incarnation").get<std::uint64_t>();
        event.request = *request;
        event.kind = *kind;
        event.attempt = json.value("attempt", 0U);
        event.endpoint.value = json.value("endpoint", "");
        event.version.value = json.value("version", "");
        event.amount = json.value("amount", std::uint64_t { 0 });
        event.reason = json.value("reason", "");
        return event;
    }

}

std::string_view toText(EventKind kind)
{
    return kindNames[static_cast<std::size_t>(kind)];
}

std::string toJsonLine(const Event& event)
{
    nlohmann::ordered_json json;
    json["event"] = toText(event.kind);
    json["request"] = toText(event.request);
    json["physicalUs"] = event.at.physical.count();
    json["logical"] = event.at.logical;
    json["instance"] = event.instance.value;
    json["incarnation"] = event.incarnation.number;
    if (event.attempt)
        json["attempt"] = event.attempt;
    if (!event.endpoint.empty())
        json["endpoint"] = event.endpoint.value;
    if (!event.version.empty())
        json["version"] = event.version.value;
    if (event.amount)
        json["amount"] = event.amount;
    if (!event.reason.empty())
        json["reason"] = event.reason;
    return json.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

std::optional<Event> parseEvent(std::string_view jsonLine)
{
    const auto json = parseUntrustedJson(jsonLine);
    if (!json.is_object() || !json.contains("event"))
        return std::nullopt;
    try {
        return readEvent(json);
    } catch (const nlohmann::json::exception&) {
        return std::nullopt;
    }
}

EventRing::EventRing(std::size_t capacity)
    : m_capacity(capacity)
{
}

void EventRing::record(Event event)
{
    const std::lock_guard lock(m_mutex);
    if (m_events.size() == m_capacity) {
        m_events.pop_front();
        ++m_dropped;
    }
    m_events.push_back(std::move(event));
}

std::vector<Event> EventRing::eventsOf(const RequestId& request) const
{
    std::vector<Event> found;
    {
        const std::lock_guard lock(m_mutex);
        std::copy_if(m_events.begin(), m_events.end(), std::back_inserter(found), [&](const Event& event) { return event.request == request; });
    }
    std::stable_sort(found.begin(), found.end(), [](const Event& left, const Event& right) { return left.at < right.at; });
    return found;
}

std::vector<Event> EventRing::all() const
{
    const std::lock_guard lock(m_mutex);
    return { m_events.begin(), m_events.end() };
}

std::uint64_t EventRing::dropped() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
}

}
