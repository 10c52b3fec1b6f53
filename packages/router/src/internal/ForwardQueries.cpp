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

// Whether the endpoint of a lost connection has ended, by its own path or, where that may be at fault, by another instance's. The
// request is suspected then.
net::Listening ForwardRun::inquire(const ForwardAttempt& attempt)
{
    const AttemptTarget& target = attempt.target();
    std::optional<std::chrono::nanoseconds> answeredFor;
    if (attempt.hasHead())
        answeredFor = m_firstEventAt ? now() - *m_firstEventAt : std::chrono::nanoseconds(0);
    const net::Listening listening = attempt.isRelayed() || hasLostPath(attempt) ? inquireByRelay(attempt) : m_guard.listens(target.endpoint.address);
    if (listening == net::Listening::no)
        m_guard.noteEnded({ target.endpoint.name, target.endpoint.address, target.endpoint.incarnation, target.service, now() - std::chrono::duration_cast<SteadyTime::duration>(attempt.age()) }, answeredFor);
    return listening;
}

net::Listening ForwardRun::inquireByRelay(const ForwardAttempt& attempt)
{
    const AttemptTarget& target = attempt.target();
    const std::optional<InstanceName> relay = attempt.isRelayed() ? attempt.relay() : m_core.paths.drawRelay(target.service, {}, now());
    const auto address = relay ? m_core.relays.find(*relay) : m_core.relays.end();
    if (address == m_core.relays.end())
        return net::Listening::unknown;
    const std::vector<net::HttpField> fields { { std::string(relayEndpointField), target.endpoint.name.value }, { std::string(relayRequestField), m_request.id } };
    return m_core.parts.listening.askByWayOf(address->second, fields, target.endpoint.address, QueryGuard::listenPatience);
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
