// Keeps what an endpoint gets from all instances together below a quota, without a word between them.
//
// Three things set a quota: an endpoint that has just started, or whose zone is taken back after an evacuation, ends under more
// than some requests a second; an endpoint may state a rate that it takes; and a brittle one, which ends when it turns too many
// requests away, must get no more at once than it has slots. Only a few instances use such an endpoint, each
// for its own part: those that rendezvous hashing of the endpoint's and the instances' names puts first (Thaler and Ravishankar,
// IEEE/ACM Transactions on Networking, 1998). Instances whose lists hold some that have ended only leave parts unused; each live
// instance that others don't know yet may add one part. An instance that doesn't know the others uses no such endpoint.
//
// EndpointTable owns one and asks it in each choice. Pure: no I/O, no clock of its own, no allocation per decision.
#pragma once

#include "whinyard/base/Clock.h"
#include "whinyard/base/Identity.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace whinyard::policy {

enum class EndpointIndex : std::uint32_t;

class EndpointQuotas {
public:
    // Instances that use one endpoint under a quota: one that is gone or out of reach leaves the others.
    static constexpr std::size_t mostUsers = 4;

    // Of the bound of a cold endpoint that is dealt out. The rest is for instances that the others don't know yet.
    static constexpr double dealtColdShare = 0.6;

    // Of a stated rate that is dealt out to its users. The rest is for the other instances, which ask now and then whether the
    // rate still holds, where nobody tells them.
    static constexpr double dealtRateShare = 0.9;

    // Over any span of this length an endpoint gets no more than its stated rate allows.
    static constexpr std::chrono::milliseconds ratePeriod { 4'000 };

    // A lower rate counts as this one: an endpoint that got nothing could never end its statement.
    static constexpr double leastRate = 0.05;

    // Takes the instances that live, this one included.
    void useInstances(const InstanceName& self, std::span<const InstanceName> instances);

    // Returns how many instances share what endpoints take; at least one.
    std::size_t instances() const { return m_instances.size() + 1; }

    // Forgets what is known of an endpoint whose index is used again.
    void forget(EndpointIndex endpoint) { m_states.erase(endpoint); }

    // Returns of how many endpoints anything is known.
    std::size_t size() const { return m_states.size(); }

    // Returns whether anything is known of the endpoint.
    bool knows(EndpointIndex endpoint) const { return find(endpoint) != nullptr; }

    // Sets how many requests the endpoint bears in any second while it is cold, from all instances; 0: any number. What was
    // known of an earlier endpoint under the index is forgotten where the name is another one.
    void useColdBound(EndpointIndex endpoint, const EndpointName& name, std::uint32_t requests);

    // Notes until when the endpoint is cold, as is believed now.
    void noteCold(EndpointIndex endpoint, SteadyTime until);

    // Sets how many requests a second the endpoint states that it takes, and when anybody last heard it; nothing: any number.
    void useRate(EndpointIndex endpoint, const EndpointName& name, std::optional<double> requestsPerSecond, SteadyTime heardAt);

    // Counts a request that is being sent. What an endpoint got just before its quota was known counts.
    void noteSend(EndpointIndex endpoint, SteadyTime now);

    bool isCold(EndpointIndex endpoint, SteadyTime now) const;

    // Returns how many endpoints are cold.
    std::size_t coldEndpoints(SteadyTime now) const;

    // Returns the endpoints that state a rate.
    std::vector<EndpointIndex> limited() const;

    // Returns the rate that the endpoint states.
    std::optional<double> rate(EndpointIndex endpoint) const;

    // Returns the earliest time at which this instance may send the endpoint a request: `now` where it may at once.
    SteadyTime nextSend(EndpointIndex endpoint, SteadyTime now) const;

    // Returns how many requests this instance may have at a brittle endpoint at once: over all instances no more than its slots,
    // but for lists of instances that differ. 0 where this instance isn't one of its users.
    std::uint32_t inFlightShare(const EndpointName& endpoint, std::uint32_t slots) const;

    // Returns when any instance is likely to have a request left for the endpoint.
    SteadyTime nextSendOfAny(EndpointIndex endpoint, SteadyTime now) const;

private:
    // The latest requests of one instance that are told apart.
    static constexpr std::size_t mostSends = 32;

    // What this instance may send: so many requests in any span of the length. None: not at all.
    struct Part {
        std::uint32_t requests = 0;
        std::chrono::nanoseconds span { 0 };
    };

    struct State {
        std::uint64_t hash = 0; // Of the endpoint's name; 0: none yet.
        std::uint32_t coldBound = 0;
        SteadyTime coldUntil;
        Part coldPart; // Kept while the endpoint is cold.
        std::optional<double> rate;
        SteadyTime rateHeardAt;
        Part ratePart; // Without requests: this instance only asks, after the span.
        std::array<SteadyTime, mostSends> sends {}; // The latest ones, as a ring.
        std::size_t latest = 0;
    };

    static constexpr std::size_t leastPruned = 256;

    State& stateOf(EndpointIndex endpoint, const EndpointName& name);
    void prune(SteadyTime now);
    const State* find(EndpointIndex endpoint) const;
    std::size_t rankOf(const State& state) const;
    Part coldPartOf(const State& state) const;
    Part ratePartOf(const State& state) const;
    static Part burstOf(const Part& part);
    static SteadyTime nextWithin(const State& state, const Part& part, SteadyTime now);
    SteadyTime nextCold(const State& state, SteadyTime now) const;
    SteadyTime nextOfRate(const State& state, SteadyTime now) const;

    // Only of endpoints with a quota and of those that got a request lately: most of a large fleet's have neither.
    std::unordered_map<EndpointIndex, State> m_states;
    std::size_t m_pruneAt = leastPruned; // So many states, at which those that are no longer needed go.
    std::vector<std::uint64_t> m_instances; // Hashes of the other instances' names.
    std::uint64_t m_self = 0; // 0: the instances aren't known yet.
    std::size_t m_rank = 0; // Of this instance among all, by their hashes.
};

}
