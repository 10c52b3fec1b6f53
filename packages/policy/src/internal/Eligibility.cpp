#include "internal/Eligibility.h"

#include <algorithm>

namespace whinyard::policy {

bool isExcluded(const EndpointRequest& request, EndpointIndex endpoint)
{
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint) != request.excluded.end();
}

bool isKeptFrom(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now)
{
    if (request.among.empty())
        return false;
    const bool isNamed = std::find(request.among.begin(), request.among.end(), endpoint) != request.among.end();
    return !isNamed || table.load(endpoint, now).mean >= table.row(endpoint).slots;
}

bool isInAllowedZone(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint)
{
    const auto& allowed = request.allowedZones;
    return !request.isZoneRestricted || std::find(allowed.begin(), allowed.end(), table.row(endpoint).zone) != allowed.end();
}

static bool hasAllItBears(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint)
{
    const EndpointRow& row = table.row(endpoint);
    return request.boundsInFlight && row.slots > 0 && row.ownInFlight >= table.quotas().inFlightShare(table.name(endpoint), row.slots);
}

bool takesRequest(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now)
{
    const EndpointRow& row = table.row(endpoint);
    const bool takesWork = !row.leaving && !row.isEvacuated && table.takesWorkAt(endpoint, now) <= now;
    return takesWork && !hasAllItBears(table, request, endpoint) && isInAllowedZone(table, request, endpoint) && !isExcluded(request, endpoint) && !isKeptFrom(table, request, endpoint, now);
}

bool hasRoom(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now)
{
    return request.neededTokens == 0 || table.memory().hasRoom(endpoint, request.neededTokens, now);
}

bool isEligible(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now)
{
    return takesRequest(table, request, endpoint, now) && hasRoom(table, request, endpoint, now);
}

// Returns noEndpointIndex if no endpoint takes the request.
static EndpointIndex withMostRoom(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, SteadyTime now)
{
    EndpointIndex best = noEndpointIndex;
    double mostRoom = 0;
    for (const EndpointIndex endpoint : list) {
        if (!takesRequest(table, request, endpoint, now))
            continue;
        const double room = table.memory().room(endpoint, now);
        if (best == noEndpointIndex || room > mostRoom) {
            best = endpoint;
            mostRoom = room;
        }
    }
    return best;
}

EndpointPlan planForFull(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, SteadyTime now)
{
    const EndpointIndex endpoint = request.neededTokens > 0 ? withMostRoom(table, request, list, now) : noEndpointIndex;
    if (endpoint == noEndpointIndex)
        return planForNone(table, request, list, now);
    const SteadyTime at = table.memory().roomAt(endpoint, request.neededTokens, now);
    const bool isTooLarge = at == SteadyTime::max();
    EndpointPlan plan;
    plan.room = table.memory().room(endpoint, now);
    if (!isTooLarge)
        plan.expectedWait = std::chrono::ceil<std::chrono::microseconds>(at - now);
    if (at <= request.roomBy) {
        plan.endpoint = endpoint;
        plan.reason = ChoiceReason::mostRoom;
        if (request.roomBy != SteadyTime::max())
            plan.roomWait = plan.expectedWait;
    } else
        plan.reason = isTooLarge ? ChoiceReason::largerThanMemory : ChoiceReason::noRoom;
    return plan;
}

EndpointPlan planForNone(const EndpointTable& table, const EndpointRequest& request, const std::vector<EndpointIndex>& list, SteadyTime now)
{
    SteadyTime first = SteadyTime::max();
    for (const EndpointIndex endpoint : list) {
        if (!isExcluded(request, endpoint) && isInAllowedZone(table, request, endpoint))
            first = std::min(first, table.takesWorkOfAnyAt(endpoint, now));
    }
    EndpointPlan plan;
    if (first == SteadyTime::max())
        return plan;
    plan.reason = ChoiceReason::askedToWait;
    plan.expectedWait = std::chrono::duration_cast<std::chrono::microseconds>(first - now);
    return plan;
}

const std::vector<EndpointIndex>& choiceList(const TargetMembers& members, ChoiceReason& reason)
{
    if (!members.healthy.empty())
        return members.healthy;
    reason = ChoiceReason::allEjected;
    return members.probing.empty() ? members.ejected : members.probing;
}

}
