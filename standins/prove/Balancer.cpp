#include "prove/Balancer.h"

namespace whinyard::standin {

Balancer::Balancer(net::HttpClient& client)
    : m_client(client)
{
}

void Balancer::add(const net::Address& callers, const net::Address& readiness)
{
    m_instances.push_back({ callers, readiness });
}

void Balancer::probe()
{
    using namespace std::chrono_literals;
    for (Instance& instance : m_instances) {
        net::HttpCallProgress progress;
        Failure failure;
        const auto response = m_client.call(instance.readiness, { .method = "GET", .target = "/readyz", .fields = {}, .body = {} }, { .connectTimeout = 200ms, .timeout = 200ms, .freshConnection = true }, progress, failure);
        instance.ready = response && response->status == 200;
    }
}

const net::Address& Balancer::next()
{
    for (std::size_t tries = 0; tries < m_instances.size(); ++tries) {
        const Instance& instance = m_instances[++m_turn % m_instances.size()];
        if (instance.ready)
            return instance.callers;
    }
    return m_instances[++m_turn % m_instances.size()].callers;
}

}
