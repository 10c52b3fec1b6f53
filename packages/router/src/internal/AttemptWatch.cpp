#include "internal/AttemptWatch.h"

#include "whinyard/net/HttpServer.h"
#include "whinyard/policy/Redispatch.h"

namespace whinyard::router {

AttemptWatch::AttemptWatch(RequestContext& context, const endpoint::EndpointWish* wish, std::chrono::microseconds unqueuedWait, std::function<void()> close)
    : m_context(context)
    , m_wish(wish)
    , m_unqueuedWait(unqueuedWait)
    , m_close(std::move(close))
    , m_began(context.now())
{
    m_context.core.watches.insert(this);
}

AttemptWatch::~AttemptWatch()
{
    m_context.core.watches.erase(this);
}

void AttemptWatch::look(SteadyTime now)
{
    if (m_givenUp != GivenUp::no)
        return;
    if (m_context.caller && m_context.caller->peerGone())
        giveUp(GivenUp::callerGone);
    else if (m_wish && isToGoElsewhere(now))
        giveUp(GivenUp::redispatched);
}

void AttemptWatch::giveUp(GivenUp why)
{
    m_givenUp = why;
    m_close();
}

bool AttemptWatch::isToGoElsewhere(SteadyTime now)
{
    RouterCore& core = m_context.core;
    policy::WaitingAttempt waiting;
    waiting.idempotent = true;
    waiting.firstByteSeen = m_firstByteSeen;
    waiting.redispatches = m_context.redispatches;
    waiting.waited = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_began);
    waiting.unqueuedWait = m_unqueuedWait;
    // The choice of another endpoint costs more than the other conditions, so it is made only after them.
    if (m_firstByteSeen || waiting.waited < patienceFor(core.settings.redispatches, m_unqueuedWait))
        return false;
    core.parts.directory.recordQueued(m_wish->excluded.back(), now);
    Failure failure;
    const std::optional<endpoint::ChosenEndpoint> other = core.parts.directory.choose(*m_wish, now, failure);
    const policy::EndpointPlan plan = other ? other->plan : policy::EndpointPlan {};
    if (planRedispatch(core.settings.redispatches, waiting, plan, core.redispatchBudget, now) != policy::RedispatchReason::redispatch)
        return false;
    ++m_context.redispatches;
    return true;
}

}
