#include "whinyard/admin/TraceReport.h"

#include "internal/RequestStory.h"
#include "whinyard/base/Encoding.h"

#include <algorithm>
#include <cstdio>
#include <iterator>
#include <set>

namespace whinyard::admin {

namespace {

    constexpr std::size_t shownOriginDigits = 4;
    constexpr std::size_t shownSequenceDigits = 6;

    bool isBefore(const Event& left, const Event& right)
    {
        return std::tie(left.at, left.instance) < std::tie(right.at, right.instance);
    }

    std::vector<Event> ordered(std::vector<Event> events)
    {
        std::stable_sort(events.begin(), events.end(), isBefore);
        std::vector<Event> kept;
        for (Event& event : events) {
            const auto isSame = [&](const Event& other) { return other == event; };
            const auto sameInstant = std::find_if(kept.rbegin(), kept.rend(), [&](const Event& other) { return other.at != event.at; });
            if (std::none_of(kept.rbegin(), sameInstant, isSame))
                kept.push_back(std::move(event));
        }
        return kept;
    }

    std::vector<RequestStory> storiesOf(const std::vector<Event>& events)
    {
        std::vector<RequestStory> stories;
        std::set<RequestId> seen;
        for (const Event& event : events) {
            if (event.request.empty() || !seen.insert(event.request).second)
                continue;
            std::vector<Event> own;
            std::copy_if(events.begin(), events.end(), std::back_inserter(own), [&](const Event& other) { return other.request == event.request; });
            stories.emplace_back(std::move(own));
        }
        return stories;
    }

    std::string ordinal(std::size_t number)
    {
        constexpr std::string_view words[] = { "first", "second", "third", "fourth", "fifth" };
        return number <= std::size(words) ? std::string(words[number - 1]) : std::to_string(number) + "th";
    }

    std::string runSummary(const std::vector<RequestStory>& stories)
    {
        const auto count = [&](auto predicate) { return static_cast<std::size_t>(std::count_if(stories.begin(), stories.end(), predicate)); };
        const std::size_t outcomes = count([](const RequestStory& story) { return story.hasOutcome(); });
        const std::size_t billed = count([](const RequestStory& story) { return story.isBilled(); });
        const std::size_t open = count([](const RequestStory& story) { return story.hasIntent() && !story.hasOutcome(); });
        std::string text = outcomes == 1 ? "confirmed once" : "confirmed " + std::to_string(outcomes) + " times";
        if (open > 0)
            text += "; " + std::to_string(open) + " without a recorded outcome";
        return text + "; billed " + std::to_string(billed);
    }

    // Several calls under one idempotency key have one outcome together; other requests one each.
    std::string summaryOf(const std::vector<RequestStory>& stories)
    {
        if (stories.empty())
            return "no event of it is known";
        const bool hasIntent = std::any_of(stories.begin(), stories.end(), [](const RequestStory& story) { return story.hasIntent(); });
        if (!hasIntent && stories.size() == 1)
            return stories.front().outcome();
        std::string text = hasIntent ? runSummary(stories) : std::to_string(stories.size()) + " requests";
        for (std::size_t index = 0; index < stories.size(); ++index) {
            if (stories[index].isAnsweredFromRecord())
                text += "; " + ordinal(index + 1) + " call answered from the record";
        }
        return text;
    }

    std::vector<TraceLine> linesOf(const std::vector<Event>& events, const std::vector<RequestStory>& stories)
    {
        std::vector<TraceLine> lines;
        for (const Event& event : events)
            lines.push_back({ event, event.kind == EventKind::eventsLost, describe(event) });
        for (const RequestStory& story : stories) {
            const auto gaps = story.gaps();
            lines.insert(lines.end(), gaps.begin(), gaps.end());
        }
        std::stable_sort(lines.begin(), lines.end(), [](const TraceLine& left, const TraceLine& right) { return left.event.at < right.event.at; });
        return lines;
    }

    // Dropped events matter only where something is missing.
    std::vector<std::string> gapsOf(const TraceMaterial& material, const std::vector<TraceLine>& lines)
    {
        const bool isWhole = !lines.empty() && std::none_of(lines.begin(), lines.end(), [](const TraceLine& line) { return line.isGap; });
        std::vector<std::string> gaps;
        for (const InstanceName& instance : material.silent)
            gaps.push_back("no answer from " + instance.value + ": events of it may be missing");
        if (material.dropped > 0 && !isWhole)
            gaps.push_back(std::to_string(material.dropped) + " older events were dropped by the asked instances; some may belong here");
        if (material.truncated)
            gaps.push_back("more events matched than could be handed over");
        return gaps;
    }

}

std::string shortText(const RequestId& request)
{
    const std::string text = toText(request);
    return text.substr(0, shownOriginDigits) + "-" + text.substr(text.size() - shownSequenceDigits);
}

TraceReport makeTraceReport(const TraceMaterial& material)
{
    const std::vector<Event> events = ordered(material.events);
    const std::vector<RequestStory> stories = storiesOf(events);
    TraceReport report;
    report.summary = summaryOf(stories);
    for (const RequestStory& story : stories)
        report.outcomes.push_back({ story.request(), story.outcome() });
    report.lines = linesOf(events, stories);
    report.gaps = gapsOf(material, report.lines);
    return report;
}

std::string timeOfDay(const HybridTime& at)
{
    constexpr std::int64_t million = 1'000'000;
    const std::time_t seconds = at.physical.count() / million;
    std::tm utc {};
    gmtime_r(&seconds, &utc);
    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%d %H:%M:%S", &utc);
    char text[48];
    std::snprintf(text, sizeof text, "%s.%06lld", date, static_cast<long long>(at.physical.count() % million));
    return text;
}

std::string toText(const TraceReport& report)
{
    std::string text = report.summary + "\n";
    const bool several = report.outcomes.size() > 1;
    for (const RequestOutcome& outcome : report.outcomes)
        text += "  " + toText(outcome.request) + ": " + outcome.text + "\n";
    if (!report.lines.empty())
        text += "\n";
    for (const TraceLine& line : report.lines) {
        text += timeOfDay(line.event.at) + "  " + line.event.instance.value + "  ";
        if (several)
            text += shortText(line.event.request) + "  ";
        text += (line.isGap ? "GAP: " : "") + line.text + "\n";
    }
    for (const std::string& gap : report.gaps)
        text += "GAP: " + gap + "\n";
    return text;
}

std::vector<Event> eventsOfLog(std::string_view log, const RequestId& request)
{
    std::vector<Event> events;
    while (!log.empty()) {
        const std::string_view line = log.substr(0, log.find('\n'));
        log.remove_prefix(std::min(log.size(), line.size() + 1));
        auto event = parseEvent(line);
        if (event && (request.empty() || event->request == request))
            events.push_back(std::move(*event));
    }
    return events;
}

std::string sessionNameOf(std::string_view session)
{
    constexpr std::size_t nameBytes = 16;
    const auto secondDot = session.find('.', session.find('.') + 1);
    const auto thirdDot = session.find('.', secondDot + 1);
    if (secondDot == std::string_view::npos || thirdDot == std::string_view::npos)
        return std::string(session);
    const auto payload = decodeBase64(session.substr(secondDot + 1, thirdDot - secondDot - 1));
    if (!payload || payload->size() < nameBytes)
        return std::string(session);
    return toHex(payload->substr(0, nameBytes));
}

std::vector<Event> eventsMentioning(const std::vector<Event>& events, std::string_view text)
{
    const auto isWord = [](char character) { return std::isalnum(static_cast<unsigned char>(character)) || character == '-' || character == '_' || character == '.'; };
    const auto mentions = [&](const std::string& reason) {
        for (auto at = reason.find(text); at != std::string::npos; at = reason.find(text, at + 1)) {
            const std::size_t end = at + text.size();
            if ((at == 0 || !isWord(reason[at - 1])) && (end == reason.size() || !isWord(reason[end])))
                return true;
        }
        return false;
    };
    std::set<RequestId> requests;
    for (const Event& event : events) {
        if (!text.empty() && mentions(event.reason))
            requests.insert(event.request);
    }
    std::vector<Event> kept;
    std::copy_if(events.begin(), events.end(), std::back_inserter(kept), [&](const Event& event) { return requests.contains(event.request); });
    return kept;
}

}
