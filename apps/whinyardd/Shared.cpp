#include "Shared.h"

#include <malloc.h>

#include "whinyard/base/Log.h"

#include <random>

namespace whinyard::daemon {

void releaseFreeMemory()
{
    malloc_trim(0);
}

namespace {

    Incarnation incarnationOf(const Clock& clock)
    {
        const auto sinceEpoch = clock.wallNow().time_since_epoch();
        return { static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()) };
    }

}

LoggedEvents::LoggedEvents(const InstanceName& instance, Incarnation incarnation, std::size_t bytes)
    : m_store(instance, incarnation, { .ownBytes = bytes, .heldBytes = bytes })
{
}

void LoggedEvents::record(Event event)
{
    log::event(event);
    m_store.record(std::move(event));
}

Shared::Shared(const settings::DaemonSettings& daemonSettings)
    : settings(daemonSettings)
    , incarnation(incarnationOf(clock))
    , hybridClock(clock)
    , events(daemonSettings.instance, incarnation, daemonSettings.limits.eventBytes)
{
}

Random seededRandom()
{
    std::random_device device;
    return Random((static_cast<std::uint64_t>(device()) << 32) | device());
}

void logQueryChanges(policy::QueryOfDeathTable& queries)
{
    for (const policy::QueryChange& change : queries.takeChanges())
        log::warning(change.isRefused ? "request refused from now on" : "request no longer refused", { { "trait", partOf(change.request) ? "promptPart" : "request" }, { "digest", toText(change.request) }, { "service", change.service.value }, { "endpointsEnded", std::to_string(change.endpointsEnded) }, { "reason", std::string(toText(change.reason)) } });
}

OutageLog::OutageLog(std::string what)
    : m_what(std::move(what))
{
}

void OutageLog::note(bool works, const Failure& failure)
{
    if (works == m_works)
        return;
    m_works = works;
    if (works)
        log::info(m_what + " is reachable");
    else
        log::warning(m_what + " is unreachable; trying again", { { "reason", failure.reason } });
}

}
