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
#include <utility>

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
    SteadyTime sentAt;
};

class QueryGuard {
public:
    // An answer that has gone on for so long was not ended by beginning it: engines that end by one do so within a fifth of a second.
    // A longer time refuses sound streams where many engines crash at once.
    static constexpr std::chrono::milliseconds soundFor { 500 };

    QueryGuard(const QueryParts& parts, QueryTraits traits);

    const QueryTraits& traits() const { return m_traits; }
    void useTraits(QueryTraits traits) { m_traits = std::move(traits); }

    // Passes the request before a dispatch. Fails with queryOfDeath, or with overloaded while it isn't known yet which of several
    // requests has ended endpoints.
    bool pass(Failure& failure) const;

    bool isRefused() const { return m_parts.queries.isRefused(m_traits, m_parts.clock.now()); }
    bool isRefusedAsWhole() const { return m_parts.queries.isRefused(m_traits.request, m_parts.clock.now()); }
    bool isSuspect() const { return m_parts.queries.isSuspect(m_traits.request); }

    // Many times the way there and back within a region. The next attempt waits for it.
    static constexpr std::chrono::milliseconds listenPatience { 100 };

    // Asks whether anybody listens there, which suspends the fiber.
    net::Listening listens(const net::Address& endpoint) const { return m_parts.listening.ask(endpoint, listenPatience); }

    // Suspects the request: it was lost with an endpoint at whose address nobody listens any more. `answeredFor` is how long its
    // answer had been arriving there; nothing when no head of it had come.
    void noteEnded(const LostEndpoint& endpoint, std::optional<std::chrono::nanoseconds> answeredFor) const;

    // Asks whether the endpoint has ended, and suspects the request then.
    net::Listening noteLost(const LostEndpoint& endpoint, std::optional<std::chrono::nanoseconds> answeredFor) const;

    // Notes that an answer that began at `begunAt` was completed, or has gone on for soundFor.
    void noteCompleted(SteadyTime begunAt) const;
    void noteSound(SteadyTime begunAt) const { m_parts.queries.noteSound(m_traits.parts, begunAt, m_parts.clock.now()); }

private:
    QueryParts m_parts;
    QueryTraits m_traits;
};

}
