// Chooses the instance that a request goes to, as the platform's balancer does: round robin over the
// instances that answer /readyz with 200.
//
// LoadRun uses it.
#pragma once

#include "whinyard/net/HttpClient.h"

#include <vector>

namespace whinyard::standin {

class Balancer {
public:
    explicit Balancer(net::HttpClient& client);

    // Adds an instance by where callers connect and where /readyz is answered.
    void add(const net::Address& callers, const net::Address& readiness);

    // Asks every instance once. Called about every 200 ms.
    void probe();

    // Returns the next ready instance; any instance when none is ready.
    const net::Address& next();

private:
    struct Instance {
        net::Address callers;
        net::Address readiness;
        bool ready = true;
    };

    net::HttpClient& m_client;
    std::vector<Instance> m_instances;
    std::size_t m_turn = 0;
};

}
