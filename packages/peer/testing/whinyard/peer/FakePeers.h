// The other instances as a test sets them: a fixed view, and answers from functions.
#pragma once

#include "whinyard/peer/Peers.h"

#include <functional>
#include <map>
#include <utility>

namespace whinyard::peer {

class FakePeers final : public Peers {
public:
    // What a call to an instance returns; nothing fails with the reason that the function fills in.
    using Answerer = std::function<std::optional<Response>(const Request&, Failure&)>;

    // A call that was made.
    struct Call {
        InstanceName instance;
        Request request;
        std::chrono::milliseconds timeout { 0 };
    };

    explicit FakePeers(MembershipView view)
        : m_view(std::make_shared<MembershipView>(std::move(view)))
    {
    }

    void setView(MembershipView view) { m_view = std::make_shared<MembershipView>(std::move(view)); }
    void answer(const InstanceName& instance, Answerer answerer) { m_answerers[instance] = std::move(answerer); }
    const std::vector<Call>& calls() const { return m_calls; }
    bool leaving() const { return m_leaving; }

    std::shared_ptr<const MembershipView> view() const override { return m_view; }

    std::optional<Response> call(const InstanceName& instance, const Request& request, std::chrono::milliseconds timeout, Failure& failure) override
    {
        m_calls.push_back({ instance, request, timeout });
        const auto found = m_answerers.find(instance);
        if (found != m_answerers.end())
            return found->second(request, failure);
        failure = { ErrorKind::peerUnreachable, instance.value + " is unreachable", std::chrono::milliseconds(0), RunState::notRun };
        return std::nullopt;
    }

    bool publish(const std::string& topic, std::string value) override
    {
        if (value.size() > largestGossipValue)
            return false;
        GossipEntry& entry = m_entries[{ topic, m_view->self.name }];
        entry = { m_view->self.name, m_view->self.incarnation, topic, entry.version + 1, std::move(value) };
        return true;
    }

    // Adds an entry of another instance.
    void learn(const GossipEntry& entry) { m_entries[{ entry.topic, entry.origin }] = entry; }

    std::vector<GossipEntry> published(const std::string& topic) const override
    {
        std::vector<GossipEntry> result;
        for (const auto& [key, entry] : m_entries) {
            if (key.first == topic)
                result.push_back(entry);
        }
        return result;
    }

    void announceLeaving() override { m_leaving = true; }

private:
    std::shared_ptr<const MembershipView> m_view;
    std::map<InstanceName, Answerer> m_answerers;
    std::map<std::pair<std::string, InstanceName>, GossipEntry> m_entries;
    std::vector<Call> m_calls;
    bool m_leaving = false;
};

}
