// Sends attempts of a plain service's call: the gate, the choice of an endpoint and the account of each.
#pragma once

#include "internal/RequestContext.h"
#include "whinyard/net/HttpMessage.h"

#include <optional>
#include <string>
#include <vector>

namespace whinyard::router {

// A call as it is passed on.
struct ServiceWork {
    config::Service service;
    std::string key; // The caller's idempotency key; empty if it sent none.
    net::HttpRequest request; // As the endpoint gets it.
};

class ServiceDispatch {
public:
    ServiceDispatch(RequestContext& context, const ServiceWork& work);

    // Passes the gate with the newest configuration, as every dispatch must. Records its verdict.
    bool passGate(Failure& failure);

    // Makes attempts until one is answered, or none may follow: a call that isn't idempotent is sent again
    // only while no byte of it can have reached an endpoint.
    std::optional<net::HttpResponse> run(Failure& failure);

private:
    std::optional<net::HttpResponse> attempt(Failure& failure);
    bool mayRetry();

    RequestContext& m_context;
    const ServiceWork& m_work;
    std::vector<EndpointName> m_excluded;
};

}
