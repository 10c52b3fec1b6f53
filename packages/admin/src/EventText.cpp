#include "whinyard/admin/TraceReport.h"

namespace whinyard::admin {

namespace {

    std::string counted(std::uint64_t amount, const std::string& unit)
    {
        return std::to_string(amount) + " " + unit + (amount == 1 ? "" : "s");
    }

    std::string units(std::uint64_t thousandths)
    {
        return unitsText(thousandths) + " units";
    }

    // What happened, without its place and reason.
    std::string action(const Event& event)
    {
        const std::string attempt = "attempt " + std::to_string(event.attempt);
        switch (event.kind) {
        case EventKind::requestArrived:
            return "request arrived, " + counted(event.amount, "byte");
        case EventKind::gatePassed:
            return "permitted by configuration revision " + std::to_string(event.amount);
        case EventKind::gateRefused:
            return "not permitted by configuration revision " + std::to_string(event.amount);
        case EventKind::sessionPinned:
            return "session stays on its version";
        case EventKind::sessionMoved:
            return "session moved to another version";
        case EventKind::planMade:
            return "endpoint chosen";
        case EventKind::intentDurable:
            return "intent durable in revision " + std::to_string(event.amount) + " of its partition";
        case EventKind::attemptDispatched:
            return attempt + " dispatched" + (event.amount ? ", " + counted(event.amount, "byte") + " written" : "");
        case EventKind::attemptFirstByte:
            return attempt + " began to answer";
        case EventKind::attemptFailed:
            return attempt + " failed" + (event.amount ? " after " + counted(event.amount, "byte") + " were written" : " before a byte was written");
        case EventKind::attemptFinished:
            return attempt + " finished" + (event.amount ? ", amount " + std::to_string(event.amount) : "");
        case EventKind::attemptResumed:
            return attempt + " resumed at offset " + std::to_string(event.amount);
        case EventKind::lateAnswerDropped:
            return "late answer to " + attempt + " dropped";
        case EventKind::retryPlanned:
            return "retry planned";
        case EventKind::cascadeStep:
            return "cascade step";
        case EventKind::ratingReceived:
            return "rated " + std::to_string(event.amount) + " of 1000";
        case EventKind::outcomeDurable:
            return event.amount ? "outcome durable in revision " + std::to_string(event.amount) + " of its partition" : "outcome recorded";
        case EventKind::answeredFromRecord:
            return "looked up in the record";
        case EventKind::forwarded:
            return "forwarded to another instance";
        case EventKind::billRecorded:
            return "bill line made, " + units(event.amount);
        case EventKind::billMirrored:
            return "bill line held by peers";
        case EventKind::billDurable:
            return "bill line durable" + (event.amount ? ", " + units(event.amount) : "");
        case EventKind::answerCompleted:
            return "whole answer handed over, " + counted(event.amount, "byte");
        case EventKind::answerRefused:
            return "refused";
        case EventKind::answerCut:
            return "answer cut";
        case EventKind::callerGone:
            return "caller went away after " + counted(event.amount, "byte");
        case EventKind::eventsLost:
            return counted(event.amount, "event") + " lost here";
        }
        return {};
    }

}

std::string unitsText(std::uint64_t thousandths)
{
    constexpr std::uint64_t unit = 1'000;
    constexpr std::size_t digits = 3;
    std::string text = std::to_string(thousandths / unit);
    std::string fraction = std::to_string(thousandths % unit);
    fraction.insert(0, digits - fraction.size(), '0');
    while (fraction.ends_with('0'))
        fraction.pop_back();
    return fraction.empty() ? text : text + "." + fraction;
}

std::string describe(const Event& event)
{
    std::string text = action(event);
    if (!event.version.empty())
        text += ", version " + event.version.value;
    if (!event.endpoint.empty())
        text += " at " + event.endpoint.value;
    if (!event.reason.empty())
        text += ": " + event.reason;
    return text;
}

}
