#include "whinyard/admin/FleetSources.h"

#include "whinyard/net/Duty.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace whinyard::admin {

namespace {

    constexpr std::chrono::milliseconds peerTimeout { 1'000 };
    constexpr std::size_t mostRequests = 50; // Of one key or session, whose events are asked for everywhere.

    std::string_view toText(peer::MemberState state)
    {
        switch (state) {
        case peer::MemberState::alive:
            return "alive";
        case peer::MemberState::suspect:
            return "suspect";
        case peer::MemberState::leaving:
            return "leaving";
        case peer::MemberState::dead:
            return "dead";
        }
        return {};
    }

    std::set<RequestId> requestsOf(const std::vector<Event>& events)
    {
        std::set<RequestId> requests;
        for (const Event& event : events)
            requests.insert(event.request);
        return requests;
    }

    std::vector<Event> matching(const timeline::EventSource& source, const peer::TraceQuery& query)
    {
        if (!query.request.empty())
            return source.eventsOf(query.request);
        std::set<RequestId> requests;
        for (const std::string& text : { query.keyDigest, query.session.value }) {
            if (!text.empty())
                requests.merge(requestsOf(eventsMentioning(source.eventsMentioning(text), text)));
        }
        std::vector<Event> events;
        for (const RequestId& request : requests) {
            const std::vector<Event> found = source.eventsOf(request);
            events.insert(events.end(), found.begin(), found.end());
        }
        return events;
    }

}

void FiberWaiter::wait(std::chrono::milliseconds duration)
{
    net::sleepFor(duration);
}

PeersFleetView::PeersFleetView(const peer::Peers* peers, OwnStatus own)
    : m_peers(peers)
    , m_own(std::move(own))
{
}

std::vector<InstanceStatus> PeersFleetView::instances()
{
    const InstanceStatus self { m_own.name, m_own.zone, "alive", m_own.revision() };
    if (!m_peers)
        return { self };
    std::vector<InstanceStatus> instances;
    for (const peer::Member& member : m_peers->view()->members) {
        const bool isSelf = member.name == m_own.name;
        instances.push_back({ member.name, member.zone, std::string(toText(member.state)), isSelf ? self.revision : member.configurationRevision });
    }
    return instances;
}

bool PeersFleetView::isReady(std::string& reason)
{
    return m_own.isReady(reason);
}

peer::TraceQueryAnswer answerTraceQuery(const timeline::EventSource& source, const peer::TraceQuery& query)
{
    peer::TraceQueryAnswer answer;
    answer.events = matching(source, query);
    answer.dropped = source.dropped();
    answer.truncated = answer.events.size() > query.limit;
    if (answer.truncated)
        answer.events.resize(query.limit);
    return answer;
}

std::string callDigest(const CustomerName& customer, const ServiceName& service, const std::string& key)
{
    return config::keyDigest({}, customer.value + "\n" + service.value + "\n" + key);
}

PeersTraceSource::PeersTraceSource(peer::Peers* peers, const timeline::EventSource& own)
    : m_peers(peers)
    , m_own(own)
{
}

// A key or session is mentioned where its request was handled. What other instances did for the same
// request, such as forwarding it, is found by its identity afterwards.
std::optional<TraceMaterial> PeersTraceSource::find(const TraceQuestion& question, Failure&)
{
    peer::TraceQuery query;
    query.request = question.request;
    query.session.value = sessionNameOf(question.session.value);
    if (!question.key.empty())
        query.keyDigest = callDigest(question.customer, question.service, question.key);
    TraceMaterial material;
    ask(query, material);
    if (!query.request.empty())
        return material;
    const auto requests = requestsOf(material.events);
    material.truncated = material.truncated || requests.size() > mostRequests;
    std::size_t asked = 0;
    for (const RequestId& request : requests) {
        if (++asked > mostRequests)
            break;
        peer::TraceQuery byIdentity;
        byIdentity.request = request;
        ask(byIdentity, material);
    }
    return material;
}

void PeersTraceSource::ask(const peer::TraceQuery& query, TraceMaterial& material)
{
    material.dropped = 0;
    take(answerTraceQuery(m_own, query), material);
    if (!m_peers)
        return;
    const auto view = m_peers->view();
    for (const peer::Member& member : view->members) {
        const bool isSilent = std::find(material.silent.begin(), material.silent.end(), member.name) != material.silent.end();
        if (member.name == view->self.name || isSilent)
            continue;
        Failure failure;
        auto answer = peer::ask(*m_peers, member.name, query, peerTimeout, failure);
        if (answer)
            take(std::move(*answer), material);
        else
            material.silent.push_back(member.name);
    }
}

void PeersTraceSource::take(peer::TraceQueryAnswer answer, TraceMaterial& material)
{
    material.events.insert(material.events.end(), std::make_move_iterator(answer.events.begin()), std::make_move_iterator(answer.events.end()));
    material.dropped += answer.dropped;
    material.truncated = material.truncated || answer.truncated;
}

}
