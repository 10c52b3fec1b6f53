// The calls of a PlacePool that its tests share.
#pragma once

#include "whinyard/policy/PlacePool.h"

#include <algorithm>

namespace whinyard::policy::pool {

inline const SteadyTime start { std::chrono::hours(1) };
inline const InstanceName requester { "e-1" };

inline PermitId id(std::uint64_t number) { return { requester, number }; }

inline PermitRequest wish(std::uint64_t number, const std::string& customer = "c-1")
{
    return { id(number), { "z-1" }, { customer }, 1, std::chrono::milliseconds(300), std::chrono::milliseconds(1'500), {} };
}

// The endpoints "a", "b", ... in the zones "z-1", "z-2", ...
inline std::vector<PooledEndpoint> endpoints(std::size_t count, std::uint32_t slots)
{
    std::vector<PooledEndpoint> list;
    for (std::size_t i = 0; i < count; ++i)
        list.push_back({ { std::string(1, static_cast<char>('a' + i)) }, { "z-" + std::to_string(i + 1) }, slots });
    return list;
}

// Returns the pool's own decision about a request.
inline PermitDecision ask(PlacePool& pool, const PermitRequest& request, SteadyTime now = start) { return pool.request(request, now).front(); }

inline std::vector<PermitDecision> giveBack(PlacePool& pool, std::uint64_t number, SteadyTime now, std::optional<EndpointOutcome> outcome = EndpointOutcome::succeeded)
{
    return pool.release(id(number), outcome, std::chrono::milliseconds(50), now);
}

// Grants permits with the numbers from `first` until none is free; returns how many.
inline std::uint64_t fill(PlacePool& pool, std::uint64_t first, SteadyTime now = start)
{
    std::uint64_t count = 0;
    while (ask(pool, wish(first + count), now).verdict == PermitVerdict::granted)
        ++count;
    giveBack(pool, first + count, now, std::nullopt);
    return count;
}

inline std::optional<PermitVerdict> verdictOf(const std::vector<PermitDecision>& decisions, std::uint64_t number)
{
    const auto found = std::find_if(decisions.begin(), decisions.end(), [&](const PermitDecision& decision) { return decision.id == id(number); });
    return found == decisions.end() ? std::nullopt : std::optional(found->verdict);
}

}
