#include "internal/Eligibility.h"

#include <algorithm>

namespace whinyard::policy {

bool isExcluded(const EndpointRequest& request, EndpointIndex endpoint)
{
    return std::find(request.excluded.begin(), request.excluded.end(), endpoint) != request.excluded.end();
}

bool isInAllowedZone(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint)
{
    const auto& allowed = request.allowedZones;
    return !request.isZoneRestricted || std::find(allowed.begin(), allowed.end(), table.row(endpoint).zone) != allowed.end();
}

bool isEligible(const EndpointTable& table, const EndpointRequest& request, EndpointIndex endpoint, SteadyTime now)
{
    const EndpointRow& row = table.row(endpoint);
    const bool takesWork = !row.leaving && !row.isEvacuated && table.takesWorkAt(endpoint, now) <= now;
    return takesWork && isInAllowedZone(table, request, endpoint) && !isExcluded(request, endpoint);
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
