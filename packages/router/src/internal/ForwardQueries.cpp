// The part of ForwardRun that keeps a request from the endpoints that it would end: see policy::QueryOfDeathTable.
#include "internal/ForwardRun.h"

#include "internal/ForwardText.h"
#include "whinyard/base/Log.h"

#include <algorithm>

namespace whinyard::router {

namespace {

    // Many times the way there and back within a region. The next attempt waits for it.
    constexpr std::chrono::milliseconds listenPatience { 100 };

    // A little longer than a verdict waits for a better explanation of the same losses.
    constexpr std::chrono::milliseconds heldFor { 350 };

    // An engine that has answered for so long was not ended by beginning to.
    constexpr std::chrono::milliseconds soundFor { 1'000 };

}

RequestDigest ForwardRun::digest() const
{
    const net::HttpRequest& message = m_request.message;
    return digestOf({ .customer = m_admission.customer.value, .method = message.method, .host = m_request.host, .target = message.target, .body = message.body });
}

bool ForwardRun::isRefused() const
{
    return m_core.parts.queries.isRefused(m_digest, now());
}

// A refusal is final: coming again would end more endpoints. One that is only held comes back when it is known which request of
// those that were lost together has ended the endpoints.
bool ForwardRun::passQueryGate()
{
    if (isRefused()) {
        m_failure = { .kind = ErrorKind::queryOfDeath, .reason = "endpoints that ran this request have ended" };
        m_core.parts.metrics.add("whinyard_queries_refused_total");
        return false;
    }
    if (m_core.parts.queries.isHeld(m_digest)) {
        m_failure = { .kind = ErrorKind::overloaded, .reason = "endpoints that ended may have run this request", .retryAfter = heldFor };
        m_core.parts.metrics.add("whinyard_queries_held_total");
        return false;
    }
    return true;
}

// A process that has ended is told from a connection that was reset by asking whether anybody listens there: the answer comes
// within a way there and back, long before the list of endpoints shows it.
net::Listening ForwardRun::inquire(const ForwardAttempt& attempt)
{
    const endpoint::ChosenEndpoint& endpoint = attempt.target().endpoint;
    const net::Listening listening = m_core.parts.listening.ask(endpoint.address, listenPatience);
    if (listening != net::Listening::no)
        return listening;
    m_core.parts.metrics.add("whinyard_lost_with_endpoint_total");
    if (m_firstEventAt && now() - *m_firstEventAt > soundFor)
        return listening;
    const LossStage stage = attempt.hasHead() ? LossStage::begun : LossStage::waiting;
    m_core.parts.queries.noteLoss({ m_digest, lifeOf(endpoint.name, endpoint.incarnation), stage }, attempt.target().service, now());
    return listening;
}

// Requests that were lost with the same endpoint go to different ones: the one that ended it then takes fewer of the others
// along, and isn't taken for one of them.
std::vector<EndpointName> ForwardRun::endpointsOfOtherSuspects() const
{
    std::vector<EndpointName> names;
    if (!m_core.parts.queries.isSuspect(m_digest))
        return names;
    for (const ForwardRun* run : m_core.runs) {
        if (run != this && run->m_target && m_core.parts.queries.isSuspect(run->m_digest))
            names.push_back(run->m_target->endpoint.name);
    }
    return names;
}

}
