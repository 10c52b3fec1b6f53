#include "whinyard/timeline/EventBatch.h"

#include "whinyard/base/Compression.h"

#include <algorithm>

namespace whinyard::timeline {

namespace {

    std::vector<RequestId> requestsOf(const std::vector<Event>& events)
    {
        std::vector<RequestId> requests;
        for (const Event& event : events)
            requests.push_back(event.request);
        std::sort(requests.begin(), requests.end());
        requests.erase(std::unique(requests.begin(), requests.end()), requests.end());
        return requests;
    }

    std::nullopt_t corrupt(const EventBatch& batch, const std::string& what, Failure& failure)
    {
        failure = { .kind = ErrorKind::corruptRecord, .reason = "batch " + std::to_string(batch.sequence) + " of " + batch.instance.value + ": " + what };
        return std::nullopt;
    }

}

EventBatch packEvents(const std::vector<Event>& events)
{
    std::string text;
    for (const Event& event : events)
        text += toJsonLine(event) + '\n';
    EventBatch batch;
    batch.count = static_cast<std::uint32_t>(events.size());
    batch.requests = requestsOf(events);
    batch.data = compress(text);
    return batch;
}

std::optional<std::string> unpackText(const EventBatch& batch, Failure& failure)
{
    std::optional<std::string> text = decompress(batch.data, largestBatchText, failure);
    if (!text)
        return corrupt(batch, failure.reason, failure);
    return text;
}

std::optional<std::vector<Event>> unpackEvents(const EventBatch& batch, Failure& failure)
{
    const std::optional<std::string> text = unpackText(batch, failure);
    if (!text)
        return std::nullopt;
    std::vector<Event> events;
    std::string_view rest = *text;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        std::optional<Event> event = parseEvent(rest.substr(0, end));
        if (!event || end == std::string_view::npos)
            return corrupt(batch, "a line is no event", failure);
        events.push_back(std::move(*event));
        rest.remove_prefix(end + 1);
    }
    if (events.size() != batch.count)
        return corrupt(batch, "its number of events differs from what it says", failure);
    return events;
}

}
