#include "whinyard/policy/LoadConcentration.h"

#include "whinyard/base/Random.h"

#include <algorithm>
#include <utility>

namespace whinyard::policy {

namespace {

    // Requests come unevenly, and one that finds no free slot waits.
    constexpr double usedPart = 0.7; // Of an endpoint's slots.

}

std::vector<EndpointName> concentratedEndpoints(const LoadConcentration& concentration, const std::vector<PooledEndpoint>& endpoints)
{
    std::vector<std::pair<std::uint64_t, const PooledEndpoint*>> ranked;
    for (const PooledEndpoint& endpoint : endpoints)
        ranked.emplace_back(stableHash(endpoint.name.value, concentration.draw), &endpoint);
    std::sort(ranked.begin(), ranked.end(), [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<EndpointName> chosen;
    double room = 0;
    for (std::size_t i = 0; i < ranked.size() && (room <= 0 || room < concentration.requests); ++i) {
        const PooledEndpoint* endpoint = ranked[(concentration.turn + i) % ranked.size()].second;
        room += usedPart * endpoint->slots;
        chosen.push_back(endpoint->name);
    }
    if (chosen.size() == endpoints.size())
        chosen.clear();
    return chosen;
}

}
