// Keeps one request from the endpoints that it would end, on every path on which requests reach endpoints: see
// policy::QueryOfDeathTable.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Error.h"
#include "whinyard/base/Metrics.h"
#include "whinyard/base/QueryNews.h"
#include "whinyard/net/ListenProbe.h"
#include "whinyard/policy/QueryOfDeath.h"

#include <chrono>
#include <optional>

namespace whinyard::router {

// What a guard works with; everything must outlive it.
struct QueryParts {
    const Clock& clock;
    Metrics& metrics;
    policy::QueryOfDeathTable& queries;
    net::ListenProbe& listening;
};

// The endpoint of an attempt whose connection was lost.
struct LostEndpoint {
    EndpointName name;
    net::Address address;
    std::uint64_t incarnation = 0;
    ServiceName service;
};

class QueryGuard {
public:
    QueryGuard(const QueryParts& parts, const RequestDigest& request);

    const RequestDigest& request() const { return m_request; }
    void useRequest(const RequestDigest& request) { m_request = request; }

    // Passes the request before a dispatch. Fails with queryOfDeath, or with overloaded while it isn't known yet which of several
    // requests has ended endpoints.
    bool pass(Failure& failure) const;

    bool isRefused() const { return m_parts.queries.isRefused(m_request, m_parts.clock.now()); }
    bool isSuspect() const { return m_parts.queries.isSuspect(m_request); }

    // Asks whether the endpoint has ended, which suspends the fiber, and suspects the request then. `answeredFor` is how long its
    // answer had been arriving there; nothing when no head of it had come.
    net::Listening noteLost(const LostEndpoint& endpoint, std::optional<std::chrono::nanoseconds> answeredFor) const;

    void noteCompleted() const { m_parts.queries.noteCompleted(m_request, m_parts.clock.now()); }

private:
    QueryParts m_parts;
    RequestDigest m_request;
};

}
