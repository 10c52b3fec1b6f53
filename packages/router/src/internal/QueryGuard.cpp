#include "internal/QueryGuard.h"

namespace whinyard::router {

namespace {

    // A little longer than a verdict waits for a better explanation of the same losses.
    constexpr std::chrono::milliseconds heldFor { 350 };

}

QueryGuard::QueryGuard(const QueryParts& parts, QueryTraits traits)
    : m_parts(parts)
    , m_traits(std::move(traits))
{
}

// A refusal is final: coming again would end more endpoints. One that is only held comes back when it is known which request of
// those that were lost together has ended the endpoints.
bool QueryGuard::pass(Failure& failure) const
{
    if (isRefused()) {
        failure = { .kind = ErrorKind::queryOfDeath, .reason = isRefusedAsWhole() ? "endpoints that ran this request have ended" : "endpoints that ran requests with a part of this prompt have ended" };
        m_parts.metrics.add("whinyard_queries_refused_total");
        return false;
    }
    if (m_parts.queries.isHeld(m_traits, m_parts.clock.now())) {
        failure = { .kind = ErrorKind::overloaded, .reason = "endpoints that ended may have run this request", .retryAfter = heldFor };
        m_parts.metrics.add("whinyard_queries_held_total");
        return false;
    }
    return true;
}

// A process that has ended is told from a connection that was reset by asking whether anybody listens there: the answer comes
// within a way there and back, long before the list of endpoints shows it.
net::Listening QueryGuard::noteLost(const LostEndpoint& endpoint, std::optional<std::chrono::nanoseconds> answeredFor) const
{
    const net::Listening listening = listens(endpoint.address);
    if (listening == net::Listening::no)
        noteEnded(endpoint, answeredFor);
    return listening;
}

void QueryGuard::noteEnded(const LostEndpoint& endpoint, std::optional<std::chrono::nanoseconds> answeredFor) const
{
    m_parts.metrics.add("whinyard_lost_with_endpoint_total");
    if (answeredFor.value_or(soundFor) > soundFor)
        return;
    const LossStage stage = answeredFor ? LossStage::begun : LossStage::waiting;
    const SteadyTime now = m_parts.clock.now();
    m_parts.queries.noteLoss({ m_traits.request, lifeOf(endpoint.name, endpoint.incarnation), stage, m_traits.parts, std::chrono::duration_cast<std::chrono::milliseconds>(now - endpoint.sentAt) }, endpoint.service, now);
}

void QueryGuard::noteCompleted(SteadyTime begunAt) const
{
    m_parts.queries.noteCompleted(m_traits.request, m_parts.clock.now());
    noteSound(begunAt);
}

}
