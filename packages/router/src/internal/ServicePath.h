// The path of a plain service's call: repeatable ones by retries, others at most once.
#pragma once

#include "internal/Answer.h"
#include "internal/KeyedCall.h"

namespace whinyard::router {

class ServicePath {
public:
    explicit ServicePath(RequestContext& context);

    // Answers the request for `/v1/services/<name>/...`, or refuses it.
    void handle(const net::HttpRequest& request, net::HttpResponder& responder);

private:
    std::optional<ServiceWork> parse(const net::HttpRequest& request, Failure& failure) const;
    std::optional<ServiceAnswer> runRepeatable(const ServiceWork& work, Failure& failure);

    RequestContext& m_context;
};

}
