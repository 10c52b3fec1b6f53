// The part of ForwardRun that keeps a request from the endpoints that it would end: see QueryGuard.
#include "internal/ForwardRun.h"

namespace whinyard::router {

QueryTraits ForwardRun::traits() const
{
    const net::HttpRequest& message = m_request.message;
    QueryTraits traits;
    traits.request = digestOf({ .customer = m_admission.customer.value, .method = message.method, .host = m_request.host, .target = message.target, .body = message.body });
    for (std::size_t i = 0; i + 1 < m_request.promptParts.size() && i < mostParts; ++i)
        traits.parts.push_back(digestOfPart(m_service, m_request.promptParts[i].digest));
    return traits;
}

net::Listening ForwardRun::inquire(const ForwardAttempt& attempt)
{
    const AttemptTarget& target = attempt.target();
    std::optional<std::chrono::nanoseconds> answeredFor;
    if (attempt.hasHead())
        answeredFor = m_firstEventAt ? now() - *m_firstEventAt : std::chrono::nanoseconds(0);
    return m_guard.noteLost({ target.endpoint.name, target.endpoint.address, target.endpoint.incarnation, target.service, now() - std::chrono::duration_cast<SteadyTime::duration>(attempt.age()) }, answeredFor);
}

// Requests that were lost with the same endpoint go to different ones: the one that ended it then takes fewer of the others
// along, and isn't taken for one of them.
std::vector<EndpointName> ForwardRun::endpointsOfOtherSuspects() const
{
    std::vector<EndpointName> names;
    if (!m_guard.isSuspect())
        return names;
    for (const ForwardRun* run : m_core.runs) {
        if (run != this && run->m_target && run->m_guard.isSuspect())
            names.push_back(run->m_target->endpoint.name);
    }
    return names;
}

}
