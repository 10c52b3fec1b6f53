// The part of EndpointDirectory that learns how fast engines are, with the other instances.
#include "whinyard/endpoint/EndpointDirectory.h"

namespace whinyard::endpoint {

void EndpointDirectory::usePacesOf(const std::vector<backing::ListedEndpoint>& changed, const std::vector<EndpointName>& gone)
{
    if (!m_sharesPaces)
        return;
    for (const backing::ListedEndpoint& endpoint : changed) {
        if (endpoint.kind == backing::ListedKind::engine)
            m_paces.useEngine(endpoint.name, endpoint.service, endpoint.born);
    }
    for (const EndpointName& name : gone)
        m_paces.forget(name);
}

void EndpointDirectory::recordPace(const ChosenEndpoint& chosen, const ModelName& model, std::chrono::nanoseconds elapsed, SteadyTime now)
{
    if (!chosen.plan.showsPace)
        return;
    const policy::PaceSample sample { model, chosen.plan.unreadTokens, elapsed, chosen.plan.soundWait };
    m_paces.learn(chosen.name, chosen.incarnation, sample, now);
}

void EndpointDirectory::takePaceNews(const policy::PaceNews& news, SteadyTime now)
{
    m_paces.take(news, now);
}

double EndpointDirectory::pace(const EndpointName& endpoint) const
{
    const std::optional<policy::EndpointIndex> index = m_table.find(endpoint);
    return index ? m_table.row(*index).pace : 1;
}

void EndpointDirectory::refreshPaces(SteadyTime now)
{
    if (!m_sharesPaces)
        return;
    m_paces.refresh(now);
    const auto use = [this](const EndpointName& name, double pace) {
        if (const std::optional<policy::EndpointIndex> index = m_table.findRemembered(name))
            m_table.usePace(*index, pace);
    };
    for (const EndpointName& name : m_paced)
        use(name, 1);
    m_paced.clear();
    for (const auto& [name, factor] : m_paces.factors()) {
        use(name, factor);
        m_paced.push_back(name);
    }
}

}
