#include "internal/RequestContext.h"

#include "whinyard/router/RunVerdict.h"

#include <algorithm>
#include <utility>

namespace whinyard::router {

RequestContext::RequestContext(RouterCore& routerCore, const RequestId& request)
    : core(routerCore)
    , id(request)
    , arrived(routerCore.parts.clock.now())
    , deadline(arrived + routerCore.settings.requestDeadline)
{
}

void RequestContext::record(EventKind kind, EventDetail detail) const
{
    Event event;
    event.at = core.parts.hybridClock.tick();
    event.instance = core.settings.instance;
    event.incarnation = core.settings.incarnation;
    event.request = id;
    event.attempt = detail.attempt;
    event.kind = kind;
    event.endpoint = std::move(detail.endpoint);
    event.version = std::move(detail.version);
    event.amount = detail.amount;
    event.reason = std::move(detail.reason);
    core.parts.events.record(std::move(event));
}

std::chrono::milliseconds RequestContext::timeLeft() const
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now());
    return std::max(left, std::chrono::milliseconds(0));
}

void RequestContext::useContent(const RequestContent& content, std::vector<PartDigest> parts)
{
    guard.emplace(QueryParts { core.parts.clock, core.parts.metrics, core.parts.queries, core.parts.listening }, QueryTraits { digestOf(content), std::move(parts) });
}

endpoint::AttemptId RequestContext::beginAttempt()
{
    accounts.emplace_back();
    return { id, static_cast<std::uint32_t>(accounts.size()) };
}

Failure RequestContext::judged(Failure failure) const
{
    failure.runState = runVerdict(accounts, recorded);
    return failure;
}

RequestId nextRequestId(RouterCore& core)
{
    return { requestOrigin(core.settings.instance, core.settings.incarnation), ++core.lastSequence };
}

}
